import type { RandomSource } from "./random-source";

/** Consecutive ejections of a target that has returned to use. */
export interface EjectionHistory {
    count: number;
    /** Monotonic time of the last return in milliseconds. */
    returnedAt: number;
}

interface BackoffPolicy {
    baseEjectionMs: number;
    maxEjectionMs: number;
    slowStartMs: number;
}

function backoffTime(count: number, policy: BackoffPolicy): number {
    return Math.min(policy.maxEjectionMs, policy.baseEjectionMs * 2 ** Math.min(30, count - 1));
}

/** Returns the duration of the `count`-th consecutive ejection in milliseconds, with a jitter of ±10%. */
export function ejectionTime(count: number, policy: BackoffPolicy, random: RandomSource): number {
    return backoffTime(count, policy) * (0.9 + 0.2 * random.next());
}

/**
 * Returns the current number of consecutive ejections. It resets after the target has stayed in use for its slow start
 * plus twice its last ejection time.
 */
export function consecutiveEjections(history: EjectionHistory | undefined, now: number, policy: BackoffPolicy): number {
    if (history === undefined) {
        return 0;
    }
    const resetAfterMs = policy.slowStartMs + 2 * backoffTime(history.count, policy);
    return now - history.returnedAt > resetAfterMs ? 0 : history.count;
}
