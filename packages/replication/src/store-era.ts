/**
 * Era of the store: an integer that rises by one at each restore of the store from a copy. Offsets of different eras are not
 * comparable, since a restored store assigns the offsets behind the copy again.
 */

import type { DecisionLog } from "@trefoilladder/telemetry";

/** Era of a store, or of an instance of an earlier version, that reports none. It is older than all others. */
export const unknownEra = -1;

/** The newest era that is known to this instance. */
export interface StoreEra {
    readonly current: number;
    /** Monotonic time in milliseconds at which the current era began, as far as known; -Infinity when no rise is known. */
    readonly roseAt: number;
    /**
     * Records an era from a response of the store or from another instance, `source`. `ageMs` is the time since it began; undefined
     * when the source does not know it.
     */
    observe(era: number | undefined, source: string, ageMs?: number): void;
    /** Returns whether an era is older than the current one. A response without an era counts as one of the current era. */
    isOlder(era: number | undefined): boolean;
    /** Returns the time in milliseconds since the current era began, up to a maximum; -1 while it is unknown. */
    ageMs(): number;
    /** Adds a listener that is called after each rise, also when the first era becomes known. */
    addRiseListener(listener: () => void): void;
}

/** Maximum reported age of an era in milliseconds; its start no longer matters by then. */
const maxAgeMs = 60_000;

/** Creates the state without a known era. */
export function createStoreEra({ now, log }: { now(): number; log: DecisionLog; }): StoreEra {
    const listeners: (() => void)[] = [];
    let current = unknownEra;
    let roseAt = -Infinity;

    function rise(era: number, source: string, ageMs: number | undefined): void {
        const before = current;
        current = era;
        if (before === unknownEra) {
            // An instance that starts cannot tell a new era from an old one, unless another instance knows its age.
            roseAt = ageMs === undefined ? -Infinity : now() - ageMs;
            log.stateChange("store_era_known", { era, source });
        }
        else {
            roseAt = now() - (ageMs ?? 0);
            log.lifecycle("store_era_rose", { before, era, source, ageMs });
        }
        listeners.forEach(listener => listener());
    }

    /** Other instances may have learned of the current era earlier. */
    function correctStart(ageMs: number): void {
        const startedAt = now() - ageMs;
        roseAt = roseAt === -Infinity ? startedAt : Math.min(roseAt, startedAt);
    }

    return {
        get current() {
            return current;
        },
        get roseAt() {
            return roseAt;
        },
        observe(era = unknownEra, source, ageMs) {
            if (era > current) {
                rise(era, source, ageMs);
            }
            else if (era === current && era !== unknownEra && ageMs !== undefined) {
                correctStart(ageMs);
            }
        },
        isOlder: era => era !== undefined && era < current,
        ageMs: () => roseAt === -Infinity ? -1 : Math.round(Math.min(maxAgeMs, now() - roseAt)),
        addRiseListener: listener => void listeners.push(listener),
    };
}
