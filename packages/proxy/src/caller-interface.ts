/** Headers of the caller interface, in lower case. */
export const callerHeader = {
    authorization: "authorization",
    /** Remaining time of the request in milliseconds. */
    deadline: "request-deadline-ms",
    requestId: "request-id",
    idempotencyKey: "idempotency-key",
    /** Idempotency key for the caller's next non-idempotent request. */
    nextIdempotencyKey: "idempotency-key-next",
    outcome: "request-outcome",
} as const;

/** Headers of the interface between the proxy and targets, in lower case. */
export const targetHeader = {
    /** `true` on a 503 response: the target rejected the request before running it. */
    notRun: "x-not-run",
    /** `draining` when the target accepts no new requests. */
    state: "x-target-state",
} as const;

/** Path on the caller listener that issues idempotency keys. */
export const idempotencyKeysPath = "/idempotency-keys";

/** Path prefix on the inner listener for requests relayed to the issuer of their idempotency key. */
export const relayPath = "/relay";

/** Values of the `request-outcome` response header. */
export const requestOutcome = {
    /** The request has not run at any target. */
    notRun: "not-run",
    /** The request may have run. */
    unknown: "unknown",
    /** The request ran and this is its response. */
    ran: "ran",
} as const;

/** Whether a request ran, as far as the proxy knows. */
export type RequestOutcome = typeof requestOutcome[keyof typeof requestOutcome];

/** Hop-by-hop headers, which are not forwarded in either direction. */
export const connectionHeaders = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
] as const;
