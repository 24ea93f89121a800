import { attemptOutcome } from "./attempt";
import type { AttemptOutcome } from "./attempt";
import { waitingSince } from "./attempt-progress";
import type { AttemptProgress } from "./attempt-progress";
import type { EvidenceTotals } from "./judgement";

/** An attempt that ended. */
export interface EvidenceSample {
    startedAt: number;
    /** Monotonic time of the end in milliseconds. */
    at: number;
    outcome: AttemptOutcome;
    headersMs: number | undefined;
}

/** Recent attempts on one target. */
export interface EvidenceWindow {
    add(sample: EvidenceSample): void;
    /** Returns the samples that are not older than the window. */
    samples(now: number): readonly EvidenceSample[];
    clear(): void;
}

/** Samples kept for one target, which bounds memory; at 164 requests/s a window of 2 s has 328. */
const maxSamples = 512;
/** Outcomes that say nothing about the target's health: overload is handled by the in-flight limit. */
const neutralOutcomes: ReadonlySet<AttemptOutcome> = new Set([attemptOutcome.shed, attemptOutcome.cancelled]);

/** Creates an empty window of `windowMs` milliseconds. */
export function createEvidenceWindow(windowMs: number): EvidenceWindow {
    let kept: EvidenceSample[] = [];
    return {
        add(sample) {
            if (neutralOutcomes.has(sample.outcome)) {
                return;
            }
            if (kept.length >= maxSamples) {
                kept = kept.slice(maxSamples / 2);
            }
            kept.push(sample);
        },
        samples(now) {
            const first = kept.findIndex(({ at }) => now - at <= windowMs);
            kept = first === -1 ? [] : first === 0 ? kept : kept.slice(first);
            return kept;
        },
        clear() {
            kept = [];
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

function spread(times: readonly number[]): number {
    return times.length === 0 ? 0 : Math.max(...times) - Math.min(...times);
}

/** Sums up what a target showed, by comparison with the thresholds derived from its peers. */
export function summarizeEvidence(
    samples: readonly EvidenceSample[],
    pending: Iterable<AttemptProgress>,
    context: { now: number; slowMs: number; overdueMs: number; probeFailed: boolean; },
): EvidenceTotals {
    const totals: EvidenceTotals = {
        requests: samples.length,
        failures: 0,
        stalls: 0,
        connectFailures: 0,
        resets: 0,
        truncations: 0,
        overdue: 0,
        badSpreadMs: 0,
        timed: 0,
        slow: 0,
        slowSpreadMs: 0,
        probeFailed: context.probeFailed,
    };
    const badTimes: number[] = [];
    const slowTimes: number[] = [];
    for (const { startedAt, at, outcome, headersMs } of samples) {
        const counter = badCounters[outcome] as "failures" | undefined;
        if (counter !== undefined) {
            totals[counter] += 1;
            badTimes.push(at);
            if (outcome === attemptOutcome.stalled) {
                // A stall lasts from its start, so a long one is more than a pause.
                badTimes.push(startedAt);
            }
        }
        if (headersMs !== undefined) {
            totals.timed += 1;
            if (headersMs > context.slowMs) {
                totals.slow += 1;
                slowTimes.push(at);
            }
        }
    }
    for (const progress of pending) {
        const since = waitingSince(progress, context.now);
        const waitedMs = since === undefined ? 0 : context.now - since;
        if (since !== undefined && waitedMs > context.overdueMs) {
            totals.overdue += 1;
            badTimes.push(since, context.now);
        }
        if (since !== undefined && progress.headersMs === undefined && waitedMs > context.slowMs) {
            totals.timed += 1;
            totals.slow += 1;
            slowTimes.push(context.now);
        }
    }
    totals.badSpreadMs = spread(badTimes);
    totals.slowSpreadMs = spread(slowTimes);
    return totals;
}
