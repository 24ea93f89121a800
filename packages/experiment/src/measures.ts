import type { Execution } from "@trefoilladder/stand-ins";
import { build } from "hdr-histogram-js";
import { submissionEnd } from "./history";
import type { History, OrganisationLimit, Submission } from "./history";
import { violationKind } from "./history-checker";
import type { Violation } from "./history-checker";

/** Period in which a target had an injected fault. Times are milliseconds on the shared clock. */
export interface TargetFault {
    target: string;
    from: number;
    to: number;
}

/** Period in which a target was live and warm, so that it should receive its share of the requests. */
export interface ServicePeriod {
    target: string;
    from: number;
    to: number;
}

/** Recorded data from which the measures of a run are computed. */
export interface Observations {
    history: History;
    violations: Violation[];
    faults: TargetFault[];
    servicePeriods: ServicePeriod[];
    /** Organisations that exceed their plan on purpose; the totals of served and refused requests exclude them. */
    burstingOrganisations: readonly string[];
    /** Bytes per second and instance on relayed links between entry instances. */
    controlBytesPerSecond?: number;
}

/** A faulty target counts as detected when it receives less than this share of its requests before the fault. */
const detectedShare = 0.2;
/** A healthy target counts as ejected when it receives less than this share of its earlier requests. */
const falseEjectionShare = 0.1;
const detectionWindowMs = 1_000;
const detectionStepMs = 50;
const ejectionWindowMs = 2_000;
/** A window is evaluated only if its total is at least this share of the previous window's total. */
const minTotalShare = 0.7;
/** Minimum expected requests of a window; with fewer, a window can be nearly empty by chance. */
const minExpected = 12;
const minDetectionExpected = 8;

function countBetween(executions: readonly Execution[], from: number, to: number): number {
    return executions.filter(({ startedAt }) => startedAt >= from && startedAt < to).length;
}

function mean(values: readonly number[]): number | undefined {
    return values.length === 0 ? undefined : values.reduce((sum, value) => sum + value, 0) / values.length;
}

/**
 * Returns the milliseconds from the fault to the first window in which the target receives less than a fifth of its
 * earlier requests, which are counted from `loadFrom`. Undefined when the target had too few requests, infinite when the
 * fault was not detected.
 */
export function measureDetection(
    fault: TargetFault,
    executions: readonly Execution[],
    loadFrom: number,
): number | undefined {
    const own = executions.filter(({ target }) => target === fault.target);
    const expected = countBetween(own, loadFrom, fault.from) / (fault.from - loadFrom) * detectionWindowMs;
    if (expected < minDetectionExpected) {
        return undefined;
    }
    for (let at = fault.from; at + detectionWindowMs <= fault.to; at += detectionStepMs) {
        if (countBetween(own, at, at + detectionWindowMs) < detectedShare * expected) {
            return at - fault.from;
        }
    }
    return Infinity;
}

/**
 * Counts the windows in which a healthy target lost its requests. The expected number comes from the target's previous
 * window, because a router need not balance evenly. A window with clearly fewer requests in total is not evaluated, because
 * a router may then leave targets idle.
 */
export function countFalseEjections({ history, servicePeriods, faults }: Observations): number {
    const { executions } = history;
    let count = 0;
    for (const { target, from, to } of servicePeriods) {
        const own = executions.filter(execution => execution.target === target);
        for (let at = from + ejectionWindowMs; at + ejectionWindowMs <= to; at += ejectionWindowMs) {
            const end = at + ejectionWindowMs;
            const totalBefore = countBetween(executions, at - ejectionWindowMs, at);
            const total = countBetween(executions, at, end);
            const expected = countBetween(own, at - ejectionWindowMs, at) * total / Math.max(1, totalBefore);
            const isFaulty = faults.some(fault => fault.target === target && fault.from < end && fault.to > at);
            const isEvaluated = !isFaulty && expected >= minExpected && total >= minTotalShare * totalBefore;
            count += isEvaluated && countBetween(own, at, end) < falseEjectionShare * expected ? 1 : 0;
        }
    }
    return count;
}

function isServed({ end, status, outcome, endedAt, intendedAt, deadlineMs }: Submission): boolean {
    return end === submissionEnd.response && status === 200 && outcome === "ran" && endedAt <= intendedAt + deadlineMs;
}

function isRefusedByQuota({ status, code }: Submission): boolean {
    return status === 429 || code === "quota_unavailable";
}

/**
 * Counts the refused submissions that were within rate and burst. Repeated submissions also consume the rate, so the check
 * uses what the caller sent, not its schedule.
 */
export function countRefusedWithinRate(submissions: readonly Submission[], limit: OrganisationLimit): number {
    const own = submissions.filter(({ organisation, isEntitled }) => organisation === limit.organisation && isEntitled)
        .sort((a, b) => a.sentAt - b.sentAt);
    let level = limit.burst;
    let previous = own[0]?.sentAt ?? 0;
    let count = 0;
    for (const submission of own) {
        level = Math.min(limit.burst, level + (submission.sentAt - previous) * limit.ratePerSecond / 1_000);
        previous = submission.sentAt;
        if (level >= 1) {
            level -= 1;
            count += isRefusedByQuota(submission) ? 1 : 0;
        }
    }
    return count;
}

function groupCalls(submissions: readonly Submission[]): Submission[][] {
    const calls = new Map<string, Submission[]>();
    for (const submission of submissions) {
        const call = calls.get(submission.callId);
        if (call === undefined) {
            calls.set(submission.callId, [submission]);
        }
        else {
            call.push(submission);
        }
    }
    return [...calls.values()];
}

/** Computes the measures of a run. */
export function computeMeasures(observations: Observations) {
    const { history, violations, faults, servicePeriods } = observations;
    const { submissions, executions, limits, revocations } = history;
    const revokedAt = new Map(revocations.map(({ keyId, at }) => [keyId, at]));
    const counted = groupCalls(submissions).filter(([first]) =>
        first!.isEntitled && first!.isWithinRate && first!.intendedAt < (revokedAt.get(first!.keyId ?? "") ?? Infinity)
    );
    const latency = build({ highestTrackableValue: 120_000_000, numberOfSignificantValueDigits: 3 });
    const organisations = Object.fromEntries(limits.map(limit => {
        const { organisation } = limit;
        const calls = counted.filter(([first]) => first!.organisation === organisation);
        return [organisation, {
            calls: calls.length,
            servedByDeadline: calls.length === 0 ? 1 : calls.filter(call => call.some(isServed)).length / calls.length,
            refusedWithinRate: countRefusedWithinRate(submissions, limit),
        }];
    }));
    counted.filter(call => call.some(isServed)).forEach(call => {
        const { intendedAt } = call[0]!;
        const endedAt = call.find(isServed)!.endedAt;
        latency.recordValue(Math.max(1, Math.round((endedAt - intendedAt) * 1_000)));
    });
    const sendDelay = build({ highestTrackableValue: 120_000_000, numberOfSignificantValueDigits: 3 });
    groupCalls(submissions).forEach(([first]) =>
        sendDelay.recordValue(Math.max(1, Math.round((first!.sentAt - first!.intendedAt) * 1_000)))
    );
    const results = Object.entries(organisations)
        .filter(([organisation]) => !observations.burstingOrganisations.includes(organisation))
        .map(([, result]) => result);
    const loadFrom = Math.min(...servicePeriods.map(({ from }) => from));
    const detections = faults.map(fault => measureDetection(fault, executions, loadFrom));
    const detected = detections.filter((value): value is number => value !== undefined && Number.isFinite(value));
    const countOf = (kind: Violation["kind"]) => violations.filter(violation => violation.kind === kind).length;
    const violationCounts: Record<string, number> = {};
    violations.forEach(({ kind }) => violationCounts[kind] = (violationCounts[kind] ?? 0) + 1);
    const ends = Object.values(submissionEnd).map(end => [end, submissions.filter(s => s.end === end).length]);
    const responseCodes: Record<string, number> = {};
    for (const { status, code } of submissions.filter(({ end }) => end === submissionEnd.response)) {
        const name = code === undefined ? String(status) : `${status} ${code}`;
        responseCodes[name] = (responseCodes[name] ?? 0) + 1;
    }
    return {
        submissions: submissions.length,
        executions: executions.length,
        detection: {
            badTargets: faults.length,
            notDetected: detections.filter(value => value === Infinity).length,
            tooFewRequests: detections.filter(value => value === undefined).length,
            meanMs: mean(detected),
            worstMs: detected.length === 0 ? undefined : Math.max(...detected),
        },
        idleTargets:
            servicePeriods.filter(service => executions.every(({ target }) => target !== service.target)).length,
        falseEjections: countFalseEjections(observations),
        servedByDeadline: {
            worst: Math.min(1, ...results.map(result => result.servedByDeadline)),
            mean: mean(results.map(result => result.servedByDeadline)),
            organisations,
        },
        refusedWithinRate: results.reduce((sum, result) => sum + result.refusedWithinRate, 0),
        refusedWithinRateShare: results.reduce((sum, result) => sum + result.refusedWithinRate, 0)
            / Math.max(1, results.reduce((sum, result) => sum + result.calls, 0)),
        admittedOverRate: countOf(violationKind.rateExceeded),
        runTwice: countOf(violationKind.ranTwice),
        falseNotRun: countOf(violationKind.falseNotRun),
        lost: countOf(violationKind.lost) + countOf(violationKind.wrongResponse),
        cutByStops: countOf(violationKind.cutByStop),
        violationCounts,
        controlBytesPerSecond: observations.controlBytesPerSecond,
        latencyMs: {
            p50: latency.getValueAtPercentile(50) / 1_000,
            p99: latency.getValueAtPercentile(99) / 1_000,
            p999: latency.getValueAtPercentile(99.9) / 1_000,
        },
        /** Send delay of the load generator; when it is high, the machine was overloaded and all other times are unreliable. */
        sendDelayP99Ms: sendDelay.getValueAtPercentile(99) / 1_000,
        ends: Object.fromEntries(ends) as Record<string, number>,
        responseCodes,
    };
}

/** Measures of a run. */
export type Measures = ReturnType<typeof computeMeasures>;
