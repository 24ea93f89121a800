import type { Execution } from "@trefoilladder/stand-ins";
import { submissionEnd } from "./history";
import type { History, Submission } from "./history";
import { checkRateBound } from "./rate-bound";

/** Kinds of violation, numbered by the invariants in the design document. */
export const violationKind = {
    keySeenByTarget: "I2-key-seen-by-target",
    foreignExecution: "I2-run-without-entitlement",
    revokedKey: "I2-revoked-key",
    rateExceeded: "I3-rate-exceeded",
    wrongResponse: "I4-wrong-response",
    falseNotRun: "I5-false-not-run",
    ranTwice: "I6-ran-twice",
    leavingTarget: "I7-request-at-leaving-target",
    cutByStop: "I8-cut-by-stop",
    diverged: "I9-diverged",
    lost: "lost",
    misreported: "misreported",
} as const;

/** A violation that a history proves. */
export interface Violation {
    kind: typeof violationKind[keyof typeof violationKind];
    /** Id of the request, instance or organisation concerned. */
    subject: string;
    detail: string;
}

/** Times within which a revoked key must stop working and a leaving target must stop receiving requests. */
const revocationLimitMs = 5_000;
const leavingLimitMs = 3_000;
/**
 * Upper limits, in milliseconds, on the time from sending to execution of the admissions in each pass of the rate check.
 * An admission happened between these two events. Every subset of the admissions must satisfy the rate bound, so a pass
 * skips slower ones and adds a tolerance of `rate x limit`. No pass reports a fleet that keeps the invariant; the short
 * limit detects small excesses, and the long one covers requests that queued.
 */
const admissionDelayLimitsMs = [25, 100, 1_000];

interface Index {
    submissions: Map<string, Submission>;
    executions: Map<string, Execution[]>;
    revokedAt: Map<string, number>;
    /** Submissions by idempotency key; all of them share one response. */
    byIdempotencyKey: Map<string, Submission[]>;
}

type Check = (history: History, index: Index) => Violation[];

function groupBy<Value>(values: readonly Value[], keyOf: (value: Value) => string | undefined): Map<string, Value[]> {
    const groups = new Map<string, Value[]>();
    for (const value of values) {
        const key = keyOf(value);
        if (key === undefined) {
            continue;
        }
        const group = groups.get(key);
        if (group === undefined) {
            groups.set(key, [value]);
        }
        else {
            group.push(value);
        }
    }
    return groups;
}

function checkEntitlement({ executions }: History, { submissions, revokedAt }: Index): Violation[] {
    const violations: Violation[] = [];
    for (const { requestId, target, path, sawKey, startedAt } of executions) {
        if (sawKey) {
            violations.push({ kind: violationKind.keySeenByTarget, subject: requestId, detail: target });
        }
        const submission = submissions.get(requestId);
        if (submission === undefined || !submission.isEntitled || submission.path !== path) {
            violations.push({
                kind: violationKind.foreignExecution,
                subject: requestId,
                detail: `${target} ran ${path} for ${submission?.organisation ?? "an unknown request"}`,
            });
        }
        const lateMs = startedAt - (revokedAt.get(submission?.keyId ?? "") ?? Infinity);
        if (lateMs > revocationLimitMs) {
            violations.push({
                kind: violationKind.revokedKey,
                subject: requestId,
                detail: `ran ${Math.round(lateMs)} ms after the revocation`,
            });
        }
    }
    return violations;
}

function checkRates({ limits, executions }: History, { submissions }: Index): Violation[] {
    const violations: Violation[] = [];
    const byOrganisation = groupBy(executions, ({ requestId }) => submissions.get(requestId)?.organisation);
    for (const { organisation, ratePerSecond, burst } of limits) {
        // Retries by the proxy use the admission of the first attempt, so only the first execution counts.
        const firstStarts = new Map<string, number>();
        for (const { requestId, startedAt } of byOrganisation.get(organisation) ?? []) {
            firstStarts.set(requestId, Math.min(startedAt, firstStarts.get(requestId) ?? Infinity));
        }
        const admissions = [...firstStarts].map(([requestId, startedAt]) => {
            return { sentAt: submissions.get(requestId)!.sentAt, startedAt };
        });
        for (const delayLimitMs of admissionDelayLimitsMs) {
            const withinLimit = admissions.filter(({ sentAt, startedAt }) => startedAt - sentAt <= delayLimitMs);
            const allowed = burst + ratePerSecond * delayLimitMs / 1_000;
            for (const clock of ["startedAt", "sentAt"] as const) {
                const times = withinLimit.map(admission => admission[clock]).sort((a, b) => a - b);
                const { excess } = checkRateBound(times, ratePerSecond, allowed);
                if (excess > 0) {
                    violations.push({
                        kind: violationKind.rateExceeded,
                        subject: organisation,
                        detail: `${excess.toFixed(2)} over ${ratePerSecond}/s burst ${burst}, `
                            + `by ${clock} with a delay limit of ${delayLimitMs} ms`,
                    });
                }
            }
        }
    }
    return violations;
}

function submissionsOfSameRequest(submission: Submission, { byIdempotencyKey }: Index): Submission[] {
    return byIdempotencyKey.get(submission.idempotencyKey ?? "") ?? [submission];
}

function isReportedAsRun({ end, status, outcome }: Submission): boolean {
    return end === submissionEnd.response && status === 200 && outcome === "ran";
}

function checkResponses({ submissions }: History, index: Index): Violation[] {
    return submissions
        .filter(isReportedAsRun)
        .filter(submission =>
            submission.responseToken !== submission.token
            || !submissionsOfSameRequest(submission, index)
                .some(({ requestId }) => requestId === submission.responseRequestId)
        )
        .map(({ requestId, token, responseToken, responseRequestId }) => ({
            kind: violationKind.wrongResponse,
            subject: requestId,
            detail: `expected ${token}, got ${responseToken ?? "an incomplete body"} of ${responseRequestId ?? "none"}`,
        }));
}

function checkNotRun({ submissions }: History, { executions }: Index): Violation[] {
    return submissions
        .filter(({ outcome, requestId }) => outcome === "not-run" && executions.has(requestId))
        .map(({ requestId, code, status }) => ({
            kind: violationKind.falseNotRun,
            subject: requestId,
            detail: `reported as not run (${status} ${code ?? ""}) but ran at ${
                executions.get(requestId)!.map(({ target }) => target).join(", ")
            }`,
        }));
}

function checkAtMostOnce({ executions }: History, { submissions }: Index): Violation[] {
    const nonIdempotent = executions.filter(({ requestId }) => submissions.get(requestId)?.isIdempotent === false);
    const groups = [
        ...groupBy(nonIdempotent, ({ requestId }) => requestId),
        ...groupBy(nonIdempotent, ({ idempotencyKey }) => idempotencyKey),
    ];
    return groups.filter(([, runs]) => runs.length > 1).map(([subject, runs]) => ({
        kind: violationKind.ranTwice,
        subject,
        detail: `ran ${runs.length} times, at ${runs.map(({ target }) => target).join(", ")}`,
    }));
}

function checkDepartures({ departures, executions }: History): Violation[] {
    const departedAt = new Map(departures.map(({ target, at }) => [target, at]));
    return executions
        .map(({ requestId, target, startedAt }) => {
            return { requestId, target, lateMs: startedAt - (departedAt.get(target) ?? Infinity) };
        })
        .filter(({ lateMs }) => lateMs > leavingLimitMs)
        .map(({ requestId, target, lateMs }) => ({
            kind: violationKind.leavingTarget,
            subject: requestId,
            detail: `started at ${target} ${Math.round(lateMs)} ms after its departure was announced`,
        }));
}

function checkStops({ stops, submissions }: History): Violation[] {
    return submissions
        .filter(({ end, instance, sentAt, endedAt }) =>
            end === submissionEnd.reset
            && stops.some(stop => stop.instance === instance && sentAt <= stop.endedAt && endedAt >= stop.at)
        )
        .map(({ requestId, instance }) => ({
            kind: violationKind.cutByStop,
            subject: requestId,
            detail: `cut during the planned stop of ${instance}`,
        }));
}

function checkLost({ submissions }: History, index: Index): Violation[] {
    return submissions
        .filter(isReportedAsRun)
        .filter(submission =>
            !submissionsOfSameRequest(submission, index).some(({ requestId }) => index.executions.has(requestId))
        )
        .map(({ requestId }) => ({
            kind: violationKind.lost,
            subject: requestId,
            detail: "reported as run, but no target ran it",
        }));
}

/** Checks that every response states an outcome, and that no request is reported as run if no target ran it, e.g. a shed one. */
function checkOutcomes({ submissions }: History, index: Index): Violation[] {
    const known = ["ran", "not-run", "unknown"];
    const isWrongRan = (submission: Submission) =>
        submission.outcome === "ran" && submission.status !== 200
        && !submissionsOfSameRequest(submission, index).some(({ requestId }) => index.executions.has(requestId));
    return submissions
        .filter(submission =>
            submission.end === submissionEnd.response
            && (!known.includes(submission.outcome ?? "") || isWrongRan(submission))
        )
        .map(({ requestId, status, outcome }) => ({
            kind: violationKind.misreported,
            subject: requestId,
            detail: `response ${status} with outcome ${outcome ?? "missing"}`,
        }));
}

const checks: readonly Check[] = [
    checkEntitlement,
    checkRates,
    checkResponses,
    checkNotRun,
    checkAtMostOnce,
    checkDepartures,
    checkStops,
    checkLost,
    checkOutcomes,
];

/** Returns all violations that the history proves; a history consistent with the invariants has none. */
export function checkHistory(history: History): Violation[] {
    const index: Index = {
        submissions: new Map(history.submissions.map(submission => [submission.requestId, submission])),
        executions: groupBy(history.executions, ({ requestId }) => requestId),
        revokedAt: new Map(history.revocations.map(({ keyId, at }) => [keyId, at])),
        byIdempotencyKey: groupBy(history.submissions, ({ idempotencyKey }) => idempotencyKey),
    };
    return checks.flatMap(check => check(history, index));
}
