/** Estimates a rate of events as an exponentially weighted average. */
export interface DemandMeter {
    record(now: number): void;
    perSecond(now: number): number;
    /** Time of the last event in milliseconds. */
    lastAt(): number;
}

/** Time constant of the average; short enough to follow a burst within a delegation's term. */
const timeConstantMs = 1_000;

/** Creates a meter without events. */
export function createDemandMeter(now: number): DemandMeter {
    let rate = 0;
    let updatedAt = now;

    function decay(time: number): void {
        rate *= Math.exp(-Math.max(0, time - updatedAt) / timeConstantMs);
        updatedAt = Math.max(updatedAt, time);
    }

    return {
        record(time) {
            decay(time);
            rate += 1000 / timeConstantMs;
        },
        perSecond(time) {
            decay(time);
            return rate;
        },
        lastAt: () => updatedAt,
    };
}
