/** Limit that a list of admissions is checked against. */
export interface CheckedLimit {
    ratePerSecond: number;
    burst: number;
}

/** Absorbs floating-point rounding of the check itself; far below one token. */
const rounding = 1e-6;

/**
 * Returns the largest excess over `rate x window + burst` of any window of the admissions, in tokens; 0 when none is over.
 * A bucket that starts full and may go below 0 is exactly as low as the worst window is over.
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
    return excess <= rounding ? 0 : excess;
}
