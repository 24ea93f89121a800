/** Pace of something whose cost is not bounded by the bytes of its link. */
export interface RatePacer {
    /** Counts units that have been received. */
    count(units: number): void;
    /** Returns the time in milliseconds until further units may be received. */
    delayMs(): number;
}

/** Creates a pacer that has counted nothing; `burst` units are received without a delay, and `perMs` a millisecond in the long run. */
export function createRatePacer(now: () => number, { perMs, burst }: { perMs: number; burst: number; }): RatePacer {
    /** Time up to which the counted units take at the permitted rate. */
    let paidUntil = -Infinity;
    return {
        count(units) {
            paidUntil = Math.max(paidUntil, now() - burst / perMs) + units / perMs;
        },
        delayMs: () => Math.max(0, paidUntil - now()),
    };
}
