import { attemptOutcome } from "./attempt";
import type { AttemptOutcome, AttemptReport } from "./attempt";

/** Adaptive limit on the requests in flight on one target, with additive increase and multiplicative decrease. */
export interface InFlightLimit {
    /** Fractional limit; the whole part is the number of slots. */
    value: number;
    /** Short-term and long-term moving averages of the time to the response headers in milliseconds. */
    recentMs: number | undefined;
    baselineMs: number | undefined;
    /** Monotonic time of the earliest next reduction. */
    nextReductionAt: number;
}

const recentWeight = 0.3;
const baselineWeight = 0.02;
/** Ratio of the recent latency to the baseline above which requests are assumed to queue at the target. */
const latencyGrowthFactor = 2;
/** Latency increase that scheduling noise can explain. */
const latencyNoiseMs = 5;
/** Overload signals within this time stem from one overload and reduce the limit once. */
const reductionIntervalMs = 200;

const reductionFactors: Partial<Record<AttemptOutcome, number>> = {
    [attemptOutcome.shed]: 0.5,
    [attemptOutcome.stalled]: 0.5,
    [attemptOutcome.connectFailed]: 0.5,
};
const latencyReductionFactor = 0.8;

/** Creates a limit with an initial value. */
export function createInFlightLimit(value: number): InFlightLimit {
    return { value, recentMs: undefined, baselineMs: undefined, nextReductionAt: 0 };
}

function average(previous: number | undefined, sample: number, weight: number): number {
    return previous === undefined ? sample : previous + weight * (sample - previous);
}

/** Returns the limit adjusted by the result of an attempt; `inFlight` includes the attempt itself. */
export function adjustInFlightLimit(
    limit: InFlightLimit,
    report: AttemptReport,
    context: { now: number; inFlight: number; max: number; },
): InFlightLimit {
    const { headersMs } = report;
    const recentMs = headersMs === undefined ? limit.recentMs : average(limit.recentMs, headersMs, recentWeight);
    const baselineMs = headersMs === undefined
        ? limit.baselineMs
        : average(limit.baselineMs, headersMs, baselineWeight);
    const next = { ...limit, recentMs, baselineMs };
    const latencyIncreased = recentMs !== undefined && baselineMs !== undefined
        && recentMs > latencyGrowthFactor * baselineMs + latencyNoiseMs;
    const factor = reductionFactors[report.outcome] ?? (latencyIncreased ? latencyReductionFactor : undefined);
    if (factor !== undefined) {
        return context.now < limit.nextReductionAt
            ? next
            : { ...next, value: Math.max(1, limit.value * factor), nextReductionAt: context.now + reductionIntervalMs };
    }
    const limitIsUsed = context.inFlight * 2 >= Math.floor(limit.value);
    if (report.outcome === attemptOutcome.completed && limitIsUsed) {
        return { ...next, value: Math.min(context.max, limit.value + 1 / limit.value) };
    }
    return next;
}
