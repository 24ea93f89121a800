/** Estimates the rate of events as an exponentially weighted moving average. */
export interface DemandMeter {
    record(now: number): void;
    perSecond(now: number): number;
    /** Time of the last event or rate reading, in milliseconds. */
    lastUpdatedAt(): number;
}

/** Time constant of the average; short enough to follow a burst within the term of a delegation. */
const timeConstantMs = 1_000;

/** Creates a meter whose rate is 0. */
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
        lastUpdatedAt: () => updatedAt,
    };
}
