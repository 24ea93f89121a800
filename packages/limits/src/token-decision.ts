/** Decision on a request against an organisation's limit. */
export type TokenDecision =
    /** The token is there after `delayMs` milliseconds, at once when absent; the request must not go on before. */
    | { kind: "granted"; delayMs?: number; }
    /** The bucket is empty. */
    | { kind: "rejected"; retryAfterMs: number; nextTokenMs: number; }
    /** The instance cannot decide yet, since it has just started. */
    | { kind: "starting"; remainingMs: number; }
    /** The instance knows no such limit. */
    | { kind: "unknown"; };

/** Request of one instance for a token of a limit that another one owns. */
export interface TokenRequest {
    /** Identifies the request; a repetition has the same identifier and gets the same decision. */
    id: string;
    /** Name of the limit. */
    name: string;
    /**
     * Longest time in milliseconds for which the request may wait for a token that is not there yet.
     * @default 0
     */
    maxDelayMs?: number;
}

/** Response of the owner. */
export interface TokenResponse extends Pick<TokenRequest, "id" | "name"> {
    decision: TokenDecision;
}
