/** Options of the fleet-wide quota. */
export interface QuotaOptions {
    /**
     * Longest time between sending an `Acquire` and using its grant, in milliseconds.
     * @default 100
     */
    acquireTimeoutMs?: number;
    /**
     * Longest wait for a token that is about to become available, in milliseconds.
     * @default 250
     */
    maxBookingDelayMs?: number;
    /**
     * Time after a succession in which requests may wait longer for a token, in milliseconds. Levels start at 0 then,
     * and the requests that waited for the new owner arrive together.
     * @default 5000
     */
    recoveryMs?: number;
    /**
     * Longest wait for a token in that time, in milliseconds.
     * @default 2000
     */
    recoveryBookingDelayMs?: number;
    /**
     * Term of a delegation in milliseconds.
     * @default 2000
     */
    delegationTermMs?: number;
    /**
     * Demand of one instance for an organisation from which on the owner delegates, in requests per second.
     * @default 5
     */
    delegationThresholdPerSecond?: number;
    /**
     * Part of an organisation's rate and burst that may be delegated; the rest answers direct requests.
     * @default 0.8
     */
    delegableShare?: number;
    /**
     * Longest time that a request waits for an owner, for example during a succession, in milliseconds.
     * @default 5000
     */
    maxOwnerWaitMs?: number;
}

/** Options with every default filled in. */
export type ResolvedQuotaOptions = Required<QuotaOptions>;

/** Fills in the defaults. */
export function resolveQuotaOptions(options: QuotaOptions = {}): ResolvedQuotaOptions {
    return {
        acquireTimeoutMs: 100,
        maxBookingDelayMs: 250,
        recoveryMs: 5_000,
        recoveryBookingDelayMs: 2_000,
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

const minShiftMs = 5;

/**
 * Returns the longest allowed time between the owner's decision and the use of a direct grant, in milliseconds.
 * Small bursts at a high rate leave less room for it.
 */
export function maxGrantShiftMs(limit: QuotaLimit, options: ResolvedQuotaOptions): number {
    const room = (limit.burst - 1) * 1000 / (2 * limit.ratePerSecond);
    return Math.min(options.acquireTimeoutMs, Math.max(minShiftMs, room));
}

/**
 * Returns the rate and burst at which the owner may decide so that grants used up to `shiftMs` later stay within the
 * limit: over any window W, grants <= burst - rate x shift + rate x (W + shift).
 */
export function limitBeforeShift(limit: QuotaLimit, shiftMs: number): QuotaLimit {
    const burst = limit.burst - limit.ratePerSecond * shiftMs / 1000;
    if (burst >= 1) {
        return { ratePerSecond: limit.ratePerSecond, burst };
    }
    // One token at a time, spaced so that even shifted uses are 1/rate apart.
    return { ratePerSecond: 1 / (1 / limit.ratePerSecond + shiftMs / 1000), burst: 1 };
}
