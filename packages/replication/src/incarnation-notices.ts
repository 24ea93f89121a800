/**
 * What targets said of themselves in answers to this instance. It belongs to one start of a target and holds whatever the store tells,
 * or fails to tell.
 */

import type { TargetRecord } from "@trefoilladder/serving";

/** One start of a target. */
export type Incarnation = Pick<TargetRecord, "id" | "startedAt">;

/** Notices by incarnation. */
export interface IncarnationNotices {
    /** Notes that an incarnation leaves; returns whether that is new. */
    noteLeaving(target: Incarnation): boolean;
    isLeaving(target: Incarnation): boolean;
    /**
     * Notes that an incarnation wants nothing from this instance for a time in milliseconds; returns the time that is added to what is known,
     * as far as it is honoured.
     */
    noteTurnedAway(target: Incarnation, forMs: number): number;
    /** Returns the time in milliseconds for which an incarnation wants nothing from this instance. */
    msTurnedAway(target: Incarnation): number;
    /** Tells whether any incarnation may want nothing now. */
    hasTurnedAway(): boolean;
}

/** Incarnations that leave and are remembered, about as many as there are targets; the oldest are forgotten first. */
const maxLeaving = 32_768;
/** Longest time in milliseconds for which a target may turn an instance away; a faulty one may say hours. */
const maxTurnedAwayMs = 300_000;

function keyOf({ id, startedAt }: Incarnation): string {
    return `${id}/${startedAt}`;
}

/** Creates an empty set of notices; `now` returns the monotonic time in milliseconds. */
export function createIncarnationNotices(now: () => number): IncarnationNotices {
    const leaving = new Set<string>();
    /** Times at which the incarnations that turned this instance away want requests again. */
    const turnedAway = new Map<string, number>();
    let lastEnd = -Infinity;

    function forgetOldest(): void {
        const oldest = leaving.keys().next();
        if (leaving.size > maxLeaving && oldest.done !== true) {
            leaving.delete(oldest.value);
        }
    }

    function forgetEnded(at: number): void {
        [...turnedAway].filter(([, end]) => end <= at).forEach(([key]) => turnedAway.delete(key));
    }

    return {
        noteLeaving(target) {
            const key = keyOf(target);
            if (leaving.has(key)) {
                return false;
            }
            leaving.add(key);
            forgetOldest();
            return true;
        },
        isLeaving: target => leaving.has(keyOf(target)),
        noteTurnedAway(target, forMs) {
            const at = now();
            const key = keyOf(target);
            const end = at + Math.min(maxTurnedAwayMs, forMs);
            const addedMs = end - Math.max(at, turnedAway.get(key) ?? -Infinity);
            if (addedMs <= 0) {
                return 0;
            }
            forgetEnded(at);
            turnedAway.set(key, end);
            lastEnd = Math.max(lastEnd, end);
            return addedMs;
        },
        msTurnedAway: target => Math.max(0, (turnedAway.get(keyOf(target)) ?? -Infinity) - now()),
        hasTurnedAway: () => now() < lastEnd,
    };
}
