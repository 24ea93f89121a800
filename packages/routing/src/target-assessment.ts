import { median, quantile } from "@trefoilladder/placement";
import type { AttemptProgress } from "./attempt-progress";
import { summarizeEvidence } from "./evidence-window";
import type { EvidenceSample } from "./evidence-window";
import { computePeerRates, detectOutlier, overdueThreshold, slowThreshold } from "./outlier-detection";
import type { EvidenceTotals, Finding } from "./outlier-detection";

/** Observations of one instance on a target. */
export interface ObservedTarget {
    id: string;
    cold: boolean;
    samples: readonly EvidenceSample[];
    pendingAttempts: Iterable<AttemptProgress>;
    probeFailed: boolean;
}

/** Evidence totals of a target and the finding derived from them. */
export interface TargetAssessment {
    id: string;
    totals: EvidenceTotals;
    finding: Finding | undefined;
}

/**
 * Minimum time between the first and the last bad or slow attempt in milliseconds; a shorter one may be a single pause
 * of the target or of this process.
 */
const minSpanMs = 750;
/** Overdue threshold in milliseconds for a target without peers. */
const overdueWithoutPeersMs = 1_000;

interface TargetLatency {
    id: string;
    p50: number;
    p95: number;
}

function latenciesOf(targets: readonly ObservedTarget[]): TargetLatency[] {
    return targets.filter(({ cold }) => !cold).flatMap(({ id, samples }) => {
        const times = samples.flatMap(({ headersMs }) => headersMs ?? []);
        return times.length === 0 ? [] : [{ id, p50: quantile(times, 0.5)!, p95: quantile(times, 0.95)! }];
    });
}

/**
 * Compares each target of a service with the medians over its peers. Cold targets are compared too but are not peers,
 * because their latency is not representative.
 */
function assessWindow(targets: readonly ObservedTarget[], now: number): TargetAssessment[] {
    const latencies = latenciesOf(targets);
    const summed = targets.map(target => {
        const peers = latencies.filter(({ id }) => id !== target.id);
        const peerMedian = median(peers.map(({ p50 }) => p50));
        const peerP95 = median(peers.map(({ p95 }) => p95));
        const totals = summarizeEvidence(target.samples, target.pendingAttempts, {
            now,
            slowThresholdMs: peerMedian === undefined ? Infinity : slowThreshold(peerMedian),
            overdueThresholdMs: peerP95 === undefined ? overdueWithoutPeersMs : overdueThreshold(peerP95),
            probeFailed: target.probeFailed,
        });
        return { target, totals };
    });
    const warm = summed.filter(({ target, totals }) => !target.cold && totals.requests + totals.overdue > 0);
    return summed.map(({ target, totals }) => {
        const peers = warm.filter(peer => peer.target !== target);
        const rates = computePeerRates(peers.map(peer => peer.totals));
        return { id: target.id, totals, finding: detectOutlier(totals, rates, { cold: target.cold, minSpanMs }) };
    });
}

/** Assesses the targets of a service over each window; the finding of the shortest window takes precedence. */
export function assessTargets(
    targets: readonly ObservedTarget[],
    now: number,
    windowsMs: readonly number[],
): TargetAssessment[] {
    const byWindow = windowsMs.map(windowMs =>
        assessWindow(
            targets.map(target => ({
                ...target,
                samples: target.samples.filter(({ endedAt }) => now - endedAt <= windowMs),
            })),
            now,
        )
    );
    return byWindow.at(-1)!.map((longest, index) =>
        byWindow.map(assessments => assessments[index]!).find(({ finding }) => finding !== undefined) ?? longest
    );
}
