/** Headers of the caller interface, in lower case. */
export const callerHeader = {
    authorization: "authorization",
    /** Remaining time of the request in milliseconds. */
    deadline: "request-deadline-ms",
    requestId: "request-id",
    idempotencyKey: "idempotency-key",
    /** Key for the caller's next non-idempotent request. */
    nextIdempotencyKey: "idempotency-key-next",
    outcome: "request-outcome",
} as const;

/** Headers of the interface between the proxy and targets, in lower case. */
export const targetHeader = {
    /** `true` on a 503 response: the target refused the request before running it. */
    notRun: "x-not-run",
    /** `draining` when the target takes no new requests. */
    state: "x-target-state",
} as const;

/** Path on the caller listener that issues idempotency keys. */
export const idempotencyKeysPath = "/idempotency-keys";

/** Path prefix on the inner listener for requests relayed to the issuer of their idempotency key. */
export const relayPath = "/relay";

/** Values of the `request-outcome` response header. */
export const requestOutcome = {
    /** No byte of the request can have run at a target. */
    notRun: "not-run",
    /** The request may have run. */
    unknown: "unknown",
    /** The request ran and this is its response. */
    ran: "ran",
} as const;

/** What is known about the execution of a request. */
export type RequestOutcome = typeof requestOutcome[keyof typeof requestOutcome];

/** Headers that concern one connection and are not passed on, in either direction. */
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
