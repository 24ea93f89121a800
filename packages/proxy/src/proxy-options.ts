/** Options of the request path. */
export interface ProxyOptions {
    /**
     * Deadline of a request that names none, in milliseconds.
     * @default 10_000
     */
    defaultDeadlineMs?: number;
    /**
     * Longest deadline; a longer one is shortened to it, in milliseconds.
     * @default 600_000
     */
    maxDeadlineMs?: number;
    /**
     * Largest request body in bytes.
     * @default 10_485_760
     */
    maxRequestBytes?: number;
    /**
     * Request bodies up to this size are read completely before a slot is taken, in bytes.
     * @default 65_536
     */
    bufferedRequestBytes?: number;
    /**
     * Longest time without a further byte of the request body, in milliseconds.
     * @default 5_000
     */
    requestBodyStallMs?: number;
    /**
     * Responses with a known length up to this size are sent in one piece after they arrived completely, in bytes.
     * A failure before that point can still be answered with a status.
     * @default 16_384
     */
    heldResponseBytes?: number;
    /**
     * Longest time without a further byte of the response body, in milliseconds.
     * @default 5_000
     */
    responseBodyStallMs?: number;
    /**
     * Upper limit of the time to response headers after which an idempotent request moves to another target, in
     * milliseconds. The limit in use adapts to the latency of the service.
     * @default 3_000
     */
    maxHeadersStallMs?: number;
    /**
     * Lower limit of the same time, in milliseconds. A cold start may add some 100 ms and is no stall.
     * @default 500
     */
    minHeadersStallMs?: number;
    /**
     * Attempts on targets for one request.
     * @default 3
     */
    maxAttempts?: number;
    /**
     * Retries allowed for each request of the last 10 s.
     * @default 0.1
     */
    retryRatio?: number;
    /**
     * Retries allowed in 10 s regardless of the number of requests.
     * @default 3
     */
    minRetries?: number;
    /**
     * Longest time for a caller to send its request headers, in milliseconds.
     * @default 5_000
     */
    headersTimeoutMs?: number;
    /**
     * Longest time for a caller to send a whole request, in milliseconds.
     * @default 60_000
     */
    requestTimeoutMs?: number;
    /**
     * Longest idle time of a caller's connection, in milliseconds.
     * @default 65_000
     */
    keepAliveTimeoutMs?: number;
    /**
     * Largest size of the request line and headers in bytes.
     * @default 16_384
     */
    maxHeaderBytes?: number;
}

/** Options with every default filled in. */
export type ResolvedProxyOptions = Required<ProxyOptions>;

const defaults: ResolvedProxyOptions = {
    defaultDeadlineMs: 10_000,
    maxDeadlineMs: 600_000,
    maxRequestBytes: 10 * 1024 * 1024,
    bufferedRequestBytes: 64 * 1024,
    requestBodyStallMs: 5_000,
    heldResponseBytes: 16 * 1024,
    responseBodyStallMs: 5_000,
    maxHeadersStallMs: 3_000,
    minHeadersStallMs: 500,
    maxAttempts: 3,
    retryRatio: 0.1,
    minRetries: 3,
    headersTimeoutMs: 5_000,
    requestTimeoutMs: 60_000,
    keepAliveTimeoutMs: 65_000,
    maxHeaderBytes: 16 * 1024,
};

/** Fills in the defaults. */
export function resolveProxyOptions(options: ProxyOptions = {}): ResolvedProxyOptions {
    return { ...defaults, ...options };
}
