import { attemptOutcome } from "./attempt";
import type { AttemptOutcome } from "./attempt";
import { waitingSince } from "./attempt-progress";
import type { AttemptProgress } from "./attempt-progress";
import type { EvidenceTotals } from "./outlier-detection";

/** A finished attempt. */
export interface EvidenceSample {
    startedAt: number;
    /** Monotonic time of the end in milliseconds. */
    endedAt: number;
    outcome: AttemptOutcome;
    headersMs: number | undefined;
}

/** Sliding window of the recent attempts on one target. */
export interface EvidenceWindow {
    add(sample: EvidenceSample): void;
    /** Returns the samples within the window. */
    samples(now: number): readonly EvidenceSample[];
    clear(): void;
}

/** Maximum number of samples of one target, which limits memory; a window of 2 s has 328 at 164 requests/s. */
const maxSamples = 512;
/** Outcomes that do not indicate the target's health; the in-flight limit handles overload. */
const neutralOutcomes: ReadonlySet<AttemptOutcome> = new Set([attemptOutcome.shed, attemptOutcome.cancelled]);

/** Creates an empty window with a length of `windowMs` milliseconds. */
export function createEvidenceWindow(windowMs: number): EvidenceWindow {
    let recent: EvidenceSample[] = [];
    return {
        add(sample) {
            if (neutralOutcomes.has(sample.outcome)) {
                return;
            }
            if (recent.length >= maxSamples) {
                recent = recent.slice(maxSamples / 2);
            }
            recent.push(sample);
        },
        samples(now) {
            const first = recent.findIndex(({ endedAt }) => now - endedAt <= windowMs);
            recent = first === -1 ? [] : first === 0 ? recent : recent.slice(first);
            return recent;
        },
        clear() {
            recent = [];
        },
    };
}

const badCounters: Partial<Record<AttemptOutcome, keyof EvidenceTotals>> = {
    [attemptOutcome.failed]: "failures",
    [attemptOutcome.stalled]: "stalls",
    [attemptOutcome.connectFailed]: "connectFailures",
    [attemptOutcome.reset]: "resets",
    [attemptOutcome.truncated]: "truncations",
};

function timeSpan(times: readonly number[]): number {
    return times.length === 0 ? 0 : Math.max(...times) - Math.min(...times);
}

/** Aggregates the evidence on a target with the thresholds derived from its peers. */
export function summarizeEvidence(
    samples: readonly EvidenceSample[],
    pendingAttempts: Iterable<AttemptProgress>,
    context: { now: number; slowThresholdMs: number; overdueThresholdMs: number; probeFailed: boolean; },
): EvidenceTotals {
    const totals: EvidenceTotals = {
        requests: samples.length,
        failures: 0,
        stalls: 0,
        connectFailures: 0,
        resets: 0,
        truncations: 0,
        overdue: 0,
        badSpanMs: 0,
        timed: 0,
        slow: 0,
        slowSpanMs: 0,
        probeFailed: context.probeFailed,
    };
    const badTimes: number[] = [];
    const slowTimes: number[] = [];
    for (const { startedAt, endedAt, outcome, headersMs } of samples) {
        const counter = badCounters[outcome] as "failures" | undefined;
        if (counter !== undefined) {
            totals[counter] += 1;
            badTimes.push(endedAt);
            if (outcome === attemptOutcome.stalled) {
                // A stall counts from its start, so a long one spans more than a short pause of the target.
                badTimes.push(startedAt);
            }
        }
        if (headersMs !== undefined) {
            totals.timed += 1;
            if (headersMs > context.slowThresholdMs) {
                totals.slow += 1;
                slowTimes.push(endedAt);
            }
        }
    }
    for (const progress of pendingAttempts) {
        const since = waitingSince(progress, context.now);
        const waitedMs = since === undefined ? 0 : context.now - since;
        if (since !== undefined && waitedMs > context.overdueThresholdMs) {
            totals.overdue += 1;
            badTimes.push(since, context.now);
        }
        if (since !== undefined && progress.headersMs === undefined && waitedMs > context.slowThresholdMs) {
            totals.timed += 1;
            totals.slow += 1;
            slowTimes.push(context.now);
        }
    }
    totals.badSpanMs = timeSpan(badTimes);
    totals.slowSpanMs = timeSpan(slowTimes);
    return totals;
}
