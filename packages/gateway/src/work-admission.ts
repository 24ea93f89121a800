/**
 * Admission by expected finish, class and organisation.
 *
 * Load pattern: a less urgent class sends 2.2 times its usual load for six seconds, or one organisation 6.8 times its usual load,
 * at a service that also serves urgent requests. All instances read the same load reports, so each admits a share of the requests that falls
 * with the wait, instead of all or none.
 */

import { createOrganisationShares, createReturnTimes } from "@trefoilladder/placement";
import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";
import { refusal } from "./refusal";
import type { Refusal } from "./refusal";
import { roundToThousandths } from "./rounding";
import type { RequestWork } from "./service-work";
import type { TargetCandidate } from "./target-tracker";

/** A request that is admitted or refused. */
export interface WorkedAdmission {
    remainingMs: number;
    /** 0 is the most urgent. */
    priority: number;
    organisation: string | undefined;
    work: RequestWork;
    /** Returns the targets of the service with the expected finish of a request. */
    candidates(work: RequestWork): readonly TargetCandidate[];
}

/** Admission of one service's requests on this instance. */
export interface WorkAdmission {
    /** Decides on a request; targets must be available. */
    admit(request: WorkedAdmission): Result<void, Refusal>;
    /** Returns the Retry-After in seconds of a request that targets rejected. */
    rejectedRetryAfter(request: WorkedAdmission): number;
}

/** Share of the targets with the lowest wait that is considered: the choice of a target takes others at random. */
const consideredShare = 0.75;
const minConsidered = 3;
/** Probability of being unhealthy from which a target is not considered. */
const unhealthyProbability = 0.5;
/** Share of the remaining time that the expected finish may take; less urgent requests need more headroom. */
const urgentFinishShare = 0.85;
const finishShareStep = 0.1;
const minFinishShare = 0.5;
/** Part of the allowed time over which the admitted share falls to 0. */
const finishRamp = 0.25;
/** Range of the wait, as a share of the slack, over which the admitted share falls, and the least admitted share. */
interface SlackRamp {
    start: number;
    end: number;
    least: number;
}

/** Waits grow for as long as the reports are old, so requests are refused before their objective is out of reach. */
const usualRamp: SlackRamp = { start: 0.25, end: 0.8, least: 0.15 };
/** Requests with little slack are little work, and late once they are refused. */
const tightRamp: SlackRamp = { start: 1, end: 2, least: 0.5 };
/** Slack in milliseconds below which the tight ramp applies: waits change by as much within the age of a report. */
const minRampSlackMs = 600;
/** Relative admitted share of returned requests whose latency objective can no longer be met. */
const lostShare = 0.4;
/** Deviation of a class's deadlines, as a share of their mean, up to which a shorter deadline tells the age of a request. */
const maxDeadlineDeviation = 0.1;
/** Wait as a share of the slack below which hardly any request is refused, so that deadlines are those of first arrivals. */
const uncontendedWaitShare = 0.1;
/** Wait as a share of the slack from which requests yield to others in full. */
const contendedWaitShare = 0.5;
const newestDeadlineWeight = 0.05;
/** Wait of the most urgent class, as a share of its slack, from which a class one step below yields; further ones yield earlier. */
const yieldStart = 0.4;
const yieldStep = 0.1;
const yieldRange = 0.4;
/** Admitted share of a less urgent class relative to the most urgent one, at least. */
const minYieldShare = 0.5;
/** Wait as a share of the slack from which an organisation yields, and at which it gets no more than its fair rate. */
const fairRateStart = 0.15;
const fairRateEnd = 0.4;
/** Smallest slack as a share of the service time, for requests whose objective leaves less. */
const minSlackShare = 0.5;
/** Time in milliseconds after its last request for which a class counts as served here. */
const classLifetimeMs = 10_000;
/** Part of a target's capacity that works off the backlog while new requests arrive. */
const backlogShare = 0.4;

/** Returns a share that falls from 1 at `start` to `least` at `end`. */
function ramp(value: number, start: number, end: number, least: number): number {
    const position = Math.min(1, Math.max(0, (value - start) / (end - start)));
    return 1 - (1 - least) * position;
}

function rampOf(work: RequestWork): SlackRamp {
    return work.isTight || slackOf(work) < minRampSlackMs ? tightRamp : usualRamp;
}

function slackOf({ objectiveMs, serviceMs }: RequestWork): number {
    return Math.max(objectiveMs - serviceMs, minSlackShare * serviceMs);
}

/** Returns the mean wait at the targets that a request of this work is likely to go to. */
function expectedWaitMs(candidates: readonly TargetCandidate[], isTight: boolean): number {
    const sound = candidates.filter(candidate => candidate.unhealthyProbability < unhealthyProbability);
    const preferred = sound.filter(({ finish }) => finish!.isTight === undefined || finish!.isReserved === isTight);
    const pool = [preferred, sound, candidates].find(({ length }) => length >= minConsidered) ?? candidates;
    const waits = pool.map(({ finish }) => finish!.waitMs).sort((a, b) => a - b);
    const count = Math.min(waits.length, Math.max(minConsidered, Math.ceil(waits.length * consideredShare)));
    return waits.slice(0, count).reduce((sum, ms) => sum + ms, 0) / Math.max(1, count);
}

/** Creates the admission of a service without requests. */
export function createWorkAdmission(parts: { now(): number; random(): number; }): WorkAdmission {
    const { now, random } = parts;
    const shares = createOrganisationShares(now());
    const returns = createReturnTimes(random);
    /** Latest work of each class, by priority. */
    const classes = new Map<number, { work: RequestWork; at: number; }>();
    /** Deadlines of first arrivals, by latency objective. */
    const deadlines = new Map<number, { meanMs: number; deviationMs: number; }>();

    function mostUrgent(): { priority: number; work: RequestWork; } | undefined {
        const [first] = [...classes].filter(([, { at }]) => now() - at < classLifetimeMs).sort(([a], [b]) => a - b);
        return first === undefined ? undefined : { priority: first[0], work: first[1].work };
    }

    function recordDeadline({ work, remainingMs }: WorkedAdmission): void {
        const known = deadlines.get(work.objectiveMs) ?? { meanMs: remainingMs, deviationMs: 0 };
        known.deviationMs += newestDeadlineWeight * (Math.abs(remainingMs - known.meanMs) - known.deviationMs);
        known.meanMs += newestDeadlineWeight * (remainingMs - known.meanMs);
        deadlines.set(work.objectiveMs, known);
    }

    /** Returns the time since the caller first sent the request, as far as the usual deadline of its class tells. */
    function ageOf({ work, remainingMs }: WorkedAdmission): number {
        const known = deadlines.get(work.objectiveMs);
        return known === undefined || known.deviationMs > maxDeadlineDeviation * known.meanMs
            ? 0
            : Math.max(0, known.meanMs - remainingMs);
    }

    /** Returns the share of a less urgent class that is admitted beside the most urgent one. */
    function yieldShare(urgentWaitShare: number, steps: number): number {
        const start = Math.max(0, yieldStart - yieldStep * (steps - 1));
        return ramp(urgentWaitShare, start, start + yieldRange, minYieldShare);
    }

    function backlogMs(waitMs: number, work: RequestWork): number {
        return Math.max(0, waitMs - rampOf(work).start * slackOf(work)) / backlogShare;
    }

    function retryAfter(request: WorkedAdmission, waitMs: number): number {
        const { work, remainingMs } = request;
        return returns.retryAfterSeconds({
            backlogMs: backlogMs(waitMs, work),
            remainingMs,
            objectiveSlackMs: work.objectiveMs - work.serviceMs - ageOf(request),
        }, now());
    }

    return {
        admit(request) {
            const { work, priority, organisation = "", remainingMs } = request;
            classes.set(priority, { work, at: now() });
            shares.record(organisation, now());
            const candidates = request.candidates(work);
            const waitMs = expectedWaitMs(candidates, work.isTight);
            const waitShare = waitMs / slackOf(work);
            const urgent = mostUrgent();
            const steps = urgent === undefined ? 0 : priority - urgent.priority;
            const urgentWaitShare = steps > 0
                ? expectedWaitMs(candidates, urgent!.work.isTight) / slackOf(urgent!.work)
                : waitShare;
            // Separated classes affect each other only as far as one overflows to the targets of the other.
            const isSeparate = steps > 0 && urgent!.work.isTight !== work.isTight;
            const overflow = isSeparate ? Math.min(1, waitShare / contendedWaitShare) : 1;
            const allowedMs = remainingMs * Math.max(minFinishShare, urgentFinishShare - finishShareStep * priority);
            const finishMs = waitMs + work.serviceMs;
            const fit = ramp(finishMs, allowedMs * (1 - finishRamp), allowedMs, 0);
            const { start, end, least } = rampOf(work);
            const inTime = ramp(waitShare, start, end, least);
            if (waitShare < uncontendedWaitShare) {
                recordDeadline(request);
            }
            const isLost = ageOf(request) + finishMs > work.objectiveMs;
            const lost = isLost ? ramp(waitShare, uncontendedWaitShare, contendedWaitShare, lostShare) : 1;
            const yielded = steps > 0 ? yieldShare(urgentWaitShare * overflow, steps) : 1;
            const fairShare = shares.fairShare(organisation, now());
            const fair = ramp(Math.max(waitShare, urgentWaitShare), fairRateStart, fairRateEnd, fairShare);
            if (random() < Math.min(fit, inTime, yielded) * fair * lost) {
                returns.admitted(now());
                return ok(undefined);
            }
            const inputs = {
                waitMs: Math.round(waitMs),
                remainingMs: Math.round(remainingMs),
                priority,
                workMs: Math.round(work.serviceMs),
                fitShare: roundToThousandths(fit),
                inTimeShare: roundToThousandths(inTime),
                yieldShare: roundToThousandths(yielded),
                fairShare: roundToThousandths(fair),
                lostShare: lost,
            };
            const retryAfterSeconds = retryAfter(request, waitMs);
            return err(refusal("overloaded", 503, { retryAfterSeconds, inputs, priority }));
        },
        rejectedRetryAfter(request) {
            return retryAfter(request, expectedWaitMs(request.candidates(request.work), request.work.isTight));
        },
    };
}

/** Creates the admissions of all services. */
export function createWorkAdmissions(parts: { now(): number; random(): number; }): (service: string) => WorkAdmission {
    const admissions = new Map<string, WorkAdmission>();
    return service => {
        const admission = admissions.get(service) ?? createWorkAdmission(parts);
        admissions.set(service, admission);
        return admission;
    };
}
