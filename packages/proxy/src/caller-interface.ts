/** Headers of the caller interface, in lower case. */
export const callerHeader = {
    authorization: "authorization",
    /** Remaining time of the request in milliseconds. */
    deadline: "request-deadline-ms",
    requestId: "request-id",
    idempotencyKey: "idempotency-key",
    outcome: "request-outcome",
} as const;

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
