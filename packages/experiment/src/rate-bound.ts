/** Result of a check of admissions against rate and burst. */
export interface RateBoundResult {
    /** Largest number of admissions above `rate x window + burst` in any window; 0 when the bound holds. */
    excess: number;
    /** Time at which the largest excess was reached, in milliseconds. */
    at: number;
}

/**
 * Checks `admitted <= rate x window + burst` for all windows in one pass over sorted times. The level of a virtual token
 * bucket never falls below zero if and only if every window satisfies the bound, and its lowest value below zero is the
 * largest excess of any window.
 */
export function checkRateBound(
    sortedTimesMs: readonly number[],
    ratePerSecond: number,
    burst: number,
): RateBoundResult {
    let level = burst;
    let previous = sortedTimesMs[0] ?? 0;
    const result: RateBoundResult = { excess: 0, at: previous };
    for (const at of sortedTimesMs) {
        level = Math.min(burst, level + (at - previous) * ratePerSecond / 1_000) - 1;
        previous = at;
        // Tolerates the rounding error of a long sum.
        if (-level > result.excess + 1e-6) {
            result.excess = -level;
            result.at = at;
        }
    }
    return result;
}
