/**
 * State that targets reported in their responses to this instance. It applies to one incarnation of a target, independently of the
 * records in the store.
 */

import type { TargetRecord } from "@trefoilladder/serving";

/** One run of a target, identified by its start time. */
export type Incarnation = Pick<TargetRecord, "id" | "startedAt">;

/** Reported states by incarnation. */
export interface IncarnationReports {
    /** Records that an incarnation is leaving; returns false when that was known. */
    markLeaving(target: Incarnation): boolean;
    isLeaving(target: Incarnation): boolean;
    /**
     * Records that an incarnation accepts no requests from this instance for a time in milliseconds, up to a maximum. Returns the
     * milliseconds by which this extends the known time, or 0.
     */
    markThrottling(target: Incarnation, forMs: number): number;
    /** Returns the remaining time in milliseconds for which an incarnation accepts no requests from this instance. */
    throttlingMs(target: Incarnation): number;
    /** Returns whether any incarnation may be throttling this instance now. */
    isAnyThrottling(): boolean;
}

/** Maximum number of leaving incarnations that are kept, about the number of targets; the oldest are evicted first. */
const maxLeaving = 32_768;
/** Longest time in milliseconds for which a target may throttle an instance; a faulty target may request hours. */
const maxThrottlingMs = 300_000;

function keyOf({ id, startedAt }: Incarnation): string {
    return `${id}/${startedAt}`;
}

/** Creates an empty set of reports; `now` returns the monotonic time in milliseconds. */
export function createIncarnationReports(now: () => number): IncarnationReports {
    const leaving = new Set<string>();
    /** Monotonic times in milliseconds at which throttling incarnations accept requests again. */
    const throttlingEnds = new Map<string, number>();
    let latestEnd = -Infinity;

    function evictOldest(): void {
        const oldest = leaving.keys().next();
        if (leaving.size > maxLeaving && oldest.done !== true) {
            leaving.delete(oldest.value);
        }
    }

    function deleteExpired(at: number): void {
        [...throttlingEnds].filter(([, end]) => end <= at).forEach(([key]) => throttlingEnds.delete(key));
    }

    return {
        markLeaving(target) {
            const key = keyOf(target);
            if (leaving.has(key)) {
                return false;
            }
            leaving.add(key);
            evictOldest();
            return true;
        },
        isLeaving: target => leaving.has(keyOf(target)),
        markThrottling(target, forMs) {
            const at = now();
            const key = keyOf(target);
            const end = at + Math.min(maxThrottlingMs, forMs);
            const addedMs = end - Math.max(at, throttlingEnds.get(key) ?? -Infinity);
            if (addedMs <= 0) {
                return 0;
            }
            deleteExpired(at);
            throttlingEnds.set(key, end);
            latestEnd = Math.max(latestEnd, end);
            return addedMs;
        },
        throttlingMs: target => Math.max(0, (throttlingEnds.get(keyOf(target)) ?? -Infinity) - now()),
        isAnyThrottling: () => now() < latestEnd,
    };
}
