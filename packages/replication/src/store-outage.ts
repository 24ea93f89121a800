/**
 * Whether the store was away, or only out of this instance's reach.
 *
 * The store may turn single instances away while it serves all others. Answers that others have had, and told of, count like this
 * instance's own: only when nobody had one was the store away.
 */

import type { DecisionLog } from "@trefoilladder/telemetry";

/** Time after an outage of the store in which lapsed records of living targets come back, in milliseconds. */
const lapsedRecordGraceMs = 2_200;

/** What an instance knows of the outages of one stream of the store. */
export interface StoreOutage {
    /**
     * Notes that the store answered this instance or another one, at a monotonic time in milliseconds; it was there since `since`, when
     * the answer is that to a call which waited.
     */
    noteAnswer(at: number, since?: number): void;
    /** Monotonic time in milliseconds at which the last outage ended; -Infinity when none is known. */
    readonly endedAt: number;
}

/**
 * Shortest outage in milliseconds. A target writes its record each 1.5 s and the record lapses after three times that, so that a shorter
 * one costs hardly a living target its record; between two answers to a fleet without an outage pass 1.6 s at most.
 */
const minOutageMs = 2_000;

/** Starts to watch the answers; `now` is the monotonic time of the start in milliseconds. */
export function createStoreOutage({ now, log }: { now: number; log: DecisionLog; }): StoreOutage {
    let answeredAt = now;
    let endedAt = -Infinity;

    return {
        noteAnswer(at, since = at) {
            if (at <= answeredAt) {
                return;
            }
            const silentMs = since - answeredAt;
            answeredAt = at;
            if (silentMs > minOutageMs) {
                endedAt = at;
                log.belief("store_returned", { silentMs: Math.round(silentMs) });
            }
        },
        get endedAt() {
            return endedAt;
        },
    };
}

/**
 * Returns until when lapsed records may come back, at a monotonic time in milliseconds, from the end of the last outage as this instance
 * and others know it. Most of them decide: one that was cut off, or stood still, takes its own silence for an outage.
 */
export function lapseGraceUntil(own: number, others: readonly number[]): number {
    const ends = [own, ...others].sort((a, b) => a - b);
    return ends[Math.floor((ends.length - 1) / 2)]! + lapsedRecordGraceMs;
}
