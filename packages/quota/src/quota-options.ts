/** Options of the fleet-wide quota. */
export interface QuotaOptions {
    /**
     * Timeout of an `Acquire` call, and longest time from sending it to using its grant, in milliseconds.
     * @default 100
     */
    acquireTimeoutMs?: number;
    /**
     * Longest wait for a token that is about to become available, in milliseconds.
     * @default 250
     */
    maxReservationDelayMs?: number;
    /**
     * Time after a failover in which requests may wait longer for a token, in milliseconds. Levels start at 0 after a
     * failover, and the requests that waited for the new owner arrive together.
     * @default 5000
     */
    recoveryMs?: number;
    /**
     * Longest wait for a token during `recoveryMs`, in milliseconds.
     * @default 2000
     */
    recoveryReservationDelayMs?: number;
    /**
     * Term of a delegation, in milliseconds.
     * @default 2000
     */
    delegationTermMs?: number;
    /**
     * Lowest demand of one instance for an organisation at which the owner delegates, in requests per second.
     * @default 5
     */
    delegationThresholdPerSecond?: number;
    /**
     * Share of an organisation's rate and burst that may be delegated; the rest serves direct `Acquire` calls.
     * @default 0.8
     */
    delegableShare?: number;
    /**
     * Longest time that a request waits for an owner, for example during a failover, in milliseconds.
     * @default 5000
     */
    maxOwnerWaitMs?: number;
}

/** Quota options with defaults applied. */
export type ResolvedQuotaOptions = Required<QuotaOptions>;

/** Applies the defaults to the options. */
export function resolveQuotaOptions(options: QuotaOptions = {}): ResolvedQuotaOptions {
    return {
        acquireTimeoutMs: 100,
        maxReservationDelayMs: 250,
        recoveryMs: 5_000,
        recoveryReservationDelayMs: 2_000,
        delegationTermMs: 2_000,
        delegationThresholdPerSecond: 5,
        delegableShare: 0.8,
        maxOwnerWaitMs: 5_000,
        ...options,
    };
}

/** Rate and burst of an organisation's plan. */
export interface QuotaLimit {
    ratePerSecond: number;
    burst: number;
}

const minGrantUseDelayMs = 5;

/**
 * Returns the longest allowed time between the owner's decision and the use of a direct grant, in milliseconds.
 * A small burst at a high rate allows less time.
 */
export function maxGrantUseDelayMs(limit: QuotaLimit, options: ResolvedQuotaOptions): number {
    const allowedMs = (limit.burst - 1) * 1000 / (2 * limit.ratePerSecond);
    return Math.min(options.acquireTimeoutMs, Math.max(minGrantUseDelayMs, allowedMs));
}

/**
 * Returns the rate and burst that the owner applies so that grants used up to `useDelayMs` later stay within the
 * limit: over any window W, grants <= burst - rate x delay + rate x (W + delay).
 */
export function limitForUseDelay(limit: QuotaLimit, useDelayMs: number): QuotaLimit {
    const burst = limit.burst - limit.ratePerSecond * useDelayMs / 1000;
    if (burst >= 1) {
        return { ratePerSecond: limit.ratePerSecond, burst };
    }
    // Grants one token at a time, spaced so that delayed uses are still at least 1/rate apart.
    return { ratePerSecond: 1 / (1 / limit.ratePerSecond + useDelayMs / 1000), burst: 1 };
}
