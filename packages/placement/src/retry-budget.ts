/**
 * Budget for retries and hedged attempts. It keeps the whole fleet within the retry budget of a service without a message
 * for each attempt.
 *
 * Load pattern: a whole service sheds load or loses its responses for seconds, and every instance tries to retry every
 * request. At other times a few requests fail together at one instance, which then uses the budget that the others leave.
 */

/** Token bucket that all instances share. */
export interface TokenBucket {
    /** Takes a token and returns 0; without one, returns the time until one is expected. */
    take(now: number): number;
    refund(now: number, tokens: number): void;
    level(now: number): number;
}

/** Retry budget of one service. */
export interface RetryBudget {
    /** Credits the budget with the fraction of a retry that each caller's request adds. */
    deposit(): void;
    /** Returns whether a retry is available beside `reservedShare` of the bucket's size, without taking it. */
    hasTokens(reservedShare?: number): boolean;
    /** Takes one retry; false when no more than `reservedShare` of the bucket's size is left. */
    take(reservedShare?: number): boolean;
}

/** Fleet-wide bounds of a retry budget. */
export interface RetryBudgetBounds {
    /** Retries for each request. */
    ratio: number;
    /** Retries in addition to the ratio, over all instances and one window. */
    reserve: number;
}

/**
 * Share of the reserve that the bucket holds. The rest covers tokens that instances take before they receive each other's
 * totals, and requests that cross a window boundary.
 */
const bucketReserveShare = 0.5;
/** Share of the ratio that requests credit to the budget. */
const creditedRatioShare = 0.95;

/** Returns the size of the bucket in tokens for a reserve. */
export function retryBucketTokens({ reserve }: RetryBudgetBounds): number {
    return Math.max(1, reserve * bucketReserveShare);
}

/** Creates a retry budget on a bucket of the size that `retryBucketTokens` returns for its bounds. */
export function createRetryBudget(
    bounds: RetryBudgetBounds,
    bucket: TokenBucket,
    now: () => number,
): RetryBudget {
    const creditedTokens = bounds.ratio * creditedRatioShare;
    const bucketTokens = retryBucketTokens(bounds);
    const hasTokens = (reservedShare = 0) => bucket.level(now()) >= 1 + reservedShare * bucketTokens;
    return {
        deposit: () => bucket.refund(now(), creditedTokens),
        hasTokens,
        take: reservedShare => hasTokens(reservedShare) && bucket.take(now()) === 0,
    };
}
