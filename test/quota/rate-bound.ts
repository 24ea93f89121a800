/** Limit to check a list of admissions against. */
export interface CheckedLimit {
    ratePerSecond: number;
    burst: number;
}

/** Tolerates floating-point rounding of the check itself; far below one token. */
const roundingTolerance = 1e-6;

/**
 * Returns the largest excess of admissions over `rate x window + burst` in any window, in tokens; 0 without an excess.
 * The lowest level of a bucket that starts full and may go negative equals this excess, negated.
 */
export function excessOverLimit(admittedAt: readonly number[], limit: CheckedLimit): number {
    let level = limit.burst;
    let last = -Infinity;
    let excess = 0;
    for (const time of [...admittedAt].sort((a, b) => a - b)) {
        const refill = last === -Infinity ? 0 : (time - last) * limit.ratePerSecond / 1000;
        level = Math.min(limit.burst, level + refill) - 1;
        last = time;
        excess = Math.max(excess, -level);
    }
    return excess <= roundingTolerance ? 0 : excess;
}
