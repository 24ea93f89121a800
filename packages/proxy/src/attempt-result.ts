import type { RequestOutcome } from "./caller-interface";
import type { Problem } from "./problem";

/** A complete response from a target. */
export interface TargetResponse {
    status: number;
    /** End-to-end headers as alternating names and values. */
    headers: string[];
    body: Buffer;
    outcome: RequestOutcome;
    retryAfterMs?: number;
}

/** Result of one attempt to forward a request to a target. */
export type AttemptResult =
    /** The complete response is in memory; none of it has been sent to the caller. */
    | { kind: "buffered"; response: TargetResponse; }
    /** The target rejected the request before running it. */
    | { kind: "refused"; response: TargetResponse; }
    /** The complete response has been sent to the caller; `copy` is set if it was requested and fits the limit. */
    | { kind: "streamed"; copy?: TargetResponse; }
    /** The response failed after part of it had been sent to the caller. */
    | { kind: "interrupted"; }
    /** The attempt failed before any of the response was sent to the caller. */
    | { kind: "failed"; problem: Problem; sent: boolean; };
