import { attemptOutcome } from "./attempt";
import type { AttemptOutcome, AttemptReport } from "./attempt";

/** Adaptive bound of the requests in flight on one target, by additive increase and multiplicative decrease. */
export interface InFlightLimit {
    /** Fractional limit; the whole part is the number of slots. */
    value: number;
    /** Recent and long-term averages of the time to the response headers in milliseconds. */
    recentMs: number | undefined;
    usualMs: number | undefined;
    /** Monotonic time before which the limit is not reduced again. */
    reducibleAt: number;
}

const recentWeight = 0.3;
const usualWeight = 0.02;
/** Growth of the recent latency over the usual one that counts as queueing at the target. */
const latencyGrowth = 2;
/** Difference below which latency growth is scheduling noise. */
const latencyNoiseMs = 5;
/** Signs within this time belong to one overload and reduce the limit once. */
const reductionPauseMs = 200;

const reductionFactors: Partial<Record<AttemptOutcome, number>> = {
    [attemptOutcome.shed]: 0.5,
    [attemptOutcome.stalled]: 0.5,
    [attemptOutcome.connectFailed]: 0.5,
};
const latencyReductionFactor = 0.8;

/** Creates the limit of a target. */
export function createInFlightLimit(value: number): InFlightLimit {
    return { value, recentMs: undefined, usualMs: undefined, reducibleAt: 0 };
}

function average(previous: number | undefined, sample: number, weight: number): number {
    return previous === undefined ? sample : previous + weight * (sample - previous);
}

/** Returns the limit after an attempt; `inFlight` counts the attempt itself. */
export function adjustInFlightLimit(
    limit: InFlightLimit,
    report: AttemptReport,
    context: { now: number; inFlight: number; max: number; },
): InFlightLimit {
    const { headersMs } = report;
    const recentMs = headersMs === undefined ? limit.recentMs : average(limit.recentMs, headersMs, recentWeight);
    const usualMs = headersMs === undefined ? limit.usualMs : average(limit.usualMs, headersMs, usualWeight);
    const next = { ...limit, recentMs, usualMs };
    const slower = recentMs !== undefined && usualMs !== undefined
        && recentMs > latencyGrowth * usualMs + latencyNoiseMs;
    const factor = reductionFactors[report.outcome] ?? (slower ? latencyReductionFactor : undefined);
    if (factor !== undefined) {
        return context.now < limit.reducibleAt
            ? next
            : { ...next, value: Math.max(1, limit.value * factor), reducibleAt: context.now + reductionPauseMs };
    }
    const used = context.inFlight * 2 >= Math.floor(limit.value);
    if (report.outcome === attemptOutcome.completed && used) {
        return { ...next, value: Math.min(context.max, limit.value + 1 / limit.value) };
    }
    return next;
}
