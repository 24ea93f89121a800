/** Options of the request path. */
export interface ProxyOptions {
    /**
     * Deadline in milliseconds of a request without a deadline header.
     * @default 10_000
     */
    defaultDeadlineMs?: number;
    /**
     * Maximum deadline in milliseconds; longer ones are reduced to it.
     * @default 600_000
     */
    maxDeadlineMs?: number;
    /**
     * Maximum size of a request body in bytes.
     * @default 10_485_760
     */
    maxRequestBytes?: number;
    /**
     * Request bodies up to this size in bytes are read completely before a slot is acquired.
     * @default 65_536
     */
    bufferedRequestBytes?: number;
    /**
     * Maximum time in milliseconds without new data of the request body.
     * @default 5_000
     */
    requestBodyStallMs?: number;
    /**
     * Responses with a known length up to this size in bytes are buffered completely before they are sent, so that a
     * failure before that point can still be reported with an error status.
     * @default 16_384
     */
    bufferedResponseBytes?: number;
    /**
     * Maximum time in milliseconds without new data of the response body.
     * @default 5_000
     */
    responseBodyStallMs?: number;
    /**
     * Upper limit in milliseconds of the time without response headers after which an idempotent request is retried on
     * another target. The effective timeout adapts to the latency of the service.
     * @default 3_000
     */
    maxHeadersStallMs?: number;
    /**
     * Lower limit in milliseconds of the same time. A cold start may add some 100 ms and must not count as a stall.
     * @default 500
     */
    minHeadersStallMs?: number;
    /**
     * Maximum number of attempts per request.
     * @default 3
     */
    maxAttempts?: number;
    /**
     * Retries allowed per request over the last 10 s.
     * @default 0.1
     */
    retryRatio?: number;
    /**
     * Minimum number of retries allowed in 10 s, regardless of the number of requests.
     * @default 3
     */
    minRetries?: number;
    /**
     * Maximum time in milliseconds for a caller to send its request headers.
     * @default 5_000
     */
    headersTimeoutMs?: number;
    /**
     * Maximum time in milliseconds for a caller to send a complete request.
     * @default 60_000
     */
    requestTimeoutMs?: number;
    /**
     * Maximum idle time of a caller's connection in milliseconds.
     * @default 65_000
     */
    keepAliveTimeoutMs?: number;
    /**
     * Maximum size of the request line and headers in bytes.
     * @default 16_384
     */
    maxHeaderBytes?: number;
}

/** Options with all defaults applied. */
export type ResolvedProxyOptions = Required<ProxyOptions>;

const defaults: ResolvedProxyOptions = {
    defaultDeadlineMs: 10_000,
    maxDeadlineMs: 600_000,
    maxRequestBytes: 10 * 1024 * 1024,
    bufferedRequestBytes: 64 * 1024,
    requestBodyStallMs: 5_000,
    bufferedResponseBytes: 16 * 1024,
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

export function resolveProxyOptions(options: ProxyOptions = {}): ResolvedProxyOptions {
    return { ...defaults, ...options };
}
