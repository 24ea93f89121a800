/**
 * Typical latency of a route's requests on this instance. It determines when an attempt counts as late and is hedged.
 */

/** Latencies of one route. */
export interface LatencyProfile {
    record(ms: number): void;
    /** Returns the mean latency in milliseconds; undefined before the first record. */
    meanMs(): number | undefined;
    /** Returns the time in milliseconds after which an attempt without a response is late. */
    lateAfterMs(latencyObjectiveMs: number): number;
}

/** Weight of the newest latency in the moving averages. */
const newestWeight = 0.1;
/** Mean deviations above the mean latency at which an attempt is late. */
const lateDeviations = 4;
/** Bounds of the lateness threshold as shares of the latency objective. */
const minLateShare = 0.35;
const maxLateShare = 0.75;

/** Creates an empty profile; the upper bound applies until the first latency is recorded. */
export function createLatencyProfile(): LatencyProfile {
    let mean: number | undefined;
    let deviation = 0;
    return {
        record(ms) {
            if (mean === undefined) {
                mean = ms;
                deviation = ms / 2;
                return;
            }
            deviation += newestWeight * (Math.abs(ms - mean) - deviation);
            mean += newestWeight * (ms - mean);
        },
        meanMs: () => mean,
        lateAfterMs(latencyObjectiveMs) {
            const lateMs = mean === undefined ? Infinity : mean + lateDeviations * deviation;
            return Math.min(latencyObjectiveMs * maxLateShare, Math.max(latencyObjectiveMs * minLateShare, lateMs));
        },
    };
}
