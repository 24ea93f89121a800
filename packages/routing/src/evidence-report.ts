import { create } from "@bufbuild/protobuf";
import { quantile } from "@trefoilladder/placement";
import { EjectionDecisionSchema, TargetEvidenceSchema } from "@trefoilladder/protocol";
import type { EjectionDecision, TargetEvidence } from "@trefoilladder/protocol";
import { attemptOutcome } from "./attempt";
import type { Ejection } from "./ejection-decisions";
import type { EvidenceTotals } from "./outlier-detection";
import type { TargetState } from "./target-state";

const failedOutcomes: ReadonlySet<string> = new Set([
    attemptOutcome.failed,
    attemptOutcome.reset,
    attemptOutcome.truncated,
]);

/** Returns the evidence on a target since the previous collection and resets its probe counters. */
export function collectRow(
    state: TargetState,
    totals: EvidenceTotals,
    since: number,
    now: number,
): TargetEvidence {
    const samples = state.evidenceWindow.samples(now).filter(({ endedAt }) => endedAt > since);
    const times = samples.flatMap(({ headersMs }) => headersMs ?? []);
    const { probes, probeFailures } = state;
    state.probes = 0;
    state.probeFailures = 0;
    return create(TargetEvidenceSchema, {
        target: state.target.id,
        requests: samples.length,
        failures: samples.filter(({ outcome }) => failedOutcomes.has(outcome)).length,
        stalls: samples.filter(({ outcome }) => outcome === attemptOutcome.stalled).length,
        connectFailures: samples.filter(({ outcome }) => outcome === attemptOutcome.connectFailed).length,
        latencyP50Us: Math.round((quantile(times, 0.5) ?? 0) * 1_000),
        latencyP95Us: Math.round((quantile(times, 0.95) ?? 0) * 1_000),
        probes,
        probeFailures,
        overdue: totals.overdue,
    });
}

/** Converts an ejection to its protocol message. */
export function toDecision(ejection: Ejection, now: number): EjectionDecision {
    return create(EjectionDecisionSchema, {
        target: ejection.target,
        domains: [...ejection.domains],
        evidence: ejection.evidence,
        count: ejection.count,
        remainingMs: Math.max(0, Math.round(ejection.endsAt - now)),
    });
}
