/**
 * Detection of outages of the store, as opposed to failures that affect only this instance.
 *
 * The store may reject single instances while it serves all others. Responses that other instances report count like this
 * instance's own: the store had an outage only when no instance received a response.
 */

import type { DecisionLog } from "@trefoilladder/telemetry";

/** Time in milliseconds after an outage of the store within which live targets renew their expired records. */
const expiredRecordGraceMs = 2_200;

/** Outages of the store that an instance has detected for one stream. */
export interface StoreOutage {
    /**
     * Records a response of the store to this instance or another one, at a monotonic time in milliseconds. For a call that waited,
     * `since` is the time since which the store was available.
     */
    recordResponse(at: number, since?: number): void;
    /** Monotonic time in milliseconds at which the last outage ended; -Infinity when none was detected. */
    readonly endedAt: number;
}

/**
 * Shortest gap between responses in milliseconds that counts as an outage. A target writes its record every 1.5 s and the record
 * expires after three times that, so hardly any live target loses its record in a shorter gap; without an outage, a fleet
 * receives a response at least every 1.6 s.
 */
const minOutageMs = 2_000;

/** Starts to track responses; `now` is the monotonic time of the start in milliseconds. */
export function createStoreOutage({ now, log }: { now: number; log: DecisionLog; }): StoreOutage {
    let lastResponseAt = now;
    let endedAt = -Infinity;

    return {
        recordResponse(at, since = at) {
            if (at <= lastResponseAt) {
                return;
            }
            const gapMs = since - lastResponseAt;
            lastResponseAt = at;
            if (gapMs > minOutageMs) {
                endedAt = at;
                log.stateChange("store_returned", { silentMs: Math.round(gapMs) });
            }
        },
        get endedAt() {
            return endedAt;
        },
    };
}

/**
 * Returns the monotonic time in milliseconds until which expired records may be renewed, from the end of the last outage as this
 * instance and others detected it. Uses the median: an instance that was partitioned or suspended mistakes its own gap for an outage.
 * Targets also renew their records after a restore of the store from a copy, which began a new era at `eraRoseAt`.
 */
export function expiryGraceUntil(own: number, others: readonly number[], eraRoseAt = -Infinity): number {
    const ends = [own, ...others].sort((a, b) => a - b);
    return Math.max(ends[Math.floor((ends.length - 1) / 2)]!, eraRoseAt) + expiredRecordGraceMs;
}
