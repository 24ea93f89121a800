import type { RandomSource } from "./random-source";

/** Consecutive ejections of a target that has returned. */
export interface EjectionHistory {
    count: number;
    /** Monotonic time of the last return in milliseconds. */
    returnedAt: number;
}

interface BackoffPolicy {
    ejectionMs: number;
    maxEjectionMs: number;
    slowStartMs: number;
}

function nominalTime(count: number, policy: BackoffPolicy): number {
    return Math.min(policy.maxEjectionMs, policy.ejectionMs * 2 ** Math.min(30, count - 1));
}

/** Returns the time in milliseconds of the `count`-th consecutive ejection, with jitter of 10% either way. */
export function ejectionTime(count: number, policy: BackoffPolicy, random: RandomSource): number {
    return nominalTime(count, policy) * (0.9 + 0.2 * random.next());
}

/**
 * Returns the number of consecutive ejections that still counts. A target that stayed in use for its slow start and
 * twice its last ejection time starts over.
 */
export function rememberedCount(history: EjectionHistory | undefined, now: number, policy: BackoffPolicy): number {
    if (history === undefined) {
        return 0;
    }
    const forgottenAfterMs = policy.slowStartMs + 2 * nominalTime(history.count, policy);
    return now - history.returnedAt > forgottenAfterMs ? 0 : history.count;
}
