/**
 * All attempts for one request: the first, retries after failures, and a hedged attempt in parallel to a late one.
 */

import {
    attemptEnd,
    chooseProbe,
    chooseTarget,
    explainedWaitMs,
    hedgeReserveShare,
    mayRetry,
    outcome,
    probeReserveShare,
    retryReserveShare,
} from "@trefoilladder/placement";
import type { AttemptEnd, RetryBudget } from "@trefoilladder/placement";
import type { ListedTarget } from "@trefoilladder/replication";
import type { Route } from "@trefoilladder/serving";
import type { OutgoingRequest } from "@trefoilladder/upstream";
import { startAttempt } from "./attempt";
import type { Attempt, AttemptParts, AttemptResult } from "./attempt";
import type { IdleLimits } from "./idle-limits";
import { roundToThousandths } from "./rounding";
import type { RequestWork } from "./service-work";
import type { TargetEligibility } from "./target-eligibility";

/** How the attempts of a request ended. */
export type RunResult =
    | { kind: "response"; attempt: Attempt; result: Exclude<AttemptResult, { kind: "ended"; }>; }
    | {
        kind: "none";
        /** Whether the request has not run and never will. */
        notRun: boolean;
        end: AttemptEnd | "no_target" | "timed_out";
        why: string;
        /** The last response of a target that ran the request and failed. */
        response: Extract<AttemptResult, { kind: "ended"; }>["response"];
    };

/** The running attempts of a request. */
export interface AttemptRun {
    result: Promise<RunResult>;
    /** Ends the run because the caller disconnected; a non-idempotent request that has been sent continues. */
    abandon(): void;
    /** Number of attempts whose request was sent. */
    readonly arrivals: number;
    readonly targets: readonly string[];
    /** Estimates for the target that was chosen last; the log uses these names. */
    readonly lastChoice: { sick: number; pathSick: number; utilisation: number; } | undefined;
}

/** Dependencies of a run. */
export interface RunParts extends AttemptParts {
    random(): number;
    idleLimits: Pick<IdleLimits, "maxIdleMs">;
}

/** Options of a run. */
export interface RunOptions {
    id: string;
    route: Route;
    service: string;
    /** Size in kilobytes of the request's body and of a typical response. */
    transferKb: number;
    retryBudget: RetryBudget;
    /** @default all available targets are eligible */
    eligibility?: Pick<TargetEligibility, "allows" | "recordChoice">;
    bodyBuffered: boolean;
    /** Monotonic time in milliseconds at which the run ends. */
    endAt: number;
    /** Time in milliseconds after which an attempt without a response is late. */
    lateAfterMs: number;
    requestFor(target: ListedTarget): Omit<OutgoingRequest, "canBeSent">;
    maxBufferedBytes: number;
    /** Typical processing time of such a request at a target, in milliseconds; undefined while unknown. */
    typicalMs: number | undefined;
    /** Expected work of the request; undefined when targets are chosen by the number of requests. */
    work?: RequestWork | undefined;
    /** Called with the service time of the request at a target where no request waited. */
    served?(serviceMs: number): void;
}

/** Time in milliseconds by which a timer may fire early. */
const timerSlackMs = 5;

/** Starts the attempts for a request. */
export function startRun(parts: RunParts, options: RunOptions): AttemptRun {
    const { log, now } = parts;
    const { route, retryBudget } = options;
    const excluded = new Set<string>();
    const running = new Set<Attempt>();
    const lateTimers = new Set<NodeJS.Timeout>();
    let lastChoice: AttemptRun["lastChoice"];
    let arrivals = 0;
    let failedConnections = 0;
    let notRunCount = 0;
    let lastFailure: Pick<Extract<RunResult, { kind: "none"; }>, "end" | "why" | "response"> | undefined;
    let settle: (result: RunResult) => void = () => undefined;
    let settled = false;
    let isAbandoned = false;
    const result = new Promise<RunResult>(resolve => {
        settle = resolve;
    });

    function finish(ending: RunResult): void {
        if (settled) {
            return;
        }
        settled = true;
        clearTimeout(endTimer);
        lateTimers.forEach(timer => clearTimeout(timer));
        const winner = ending.kind === "response" ? ending.attempt : undefined;
        [...running].filter(attempt => attempt !== winner).forEach(attempt => attempt.cancel());
        settle(ending);
    }

    function failWith(end: AttemptEnd | "no_target" | "timed_out", why: string): void {
        const usesLastFailure = lastFailure !== undefined && end === "no_target";
        finish({
            kind: "none",
            notRun: arrivals === notRunCount,
            end: usesLastFailure ? lastFailure!.end : end,
            why: usesLastFailure ? lastFailure!.why : why,
            response: lastFailure?.response,
        });
    }

    function startNextAttempt(): boolean {
        const maxIdleMs = parts.idleLimits.maxIdleMs(options.service, route.idempotent);
        const candidates = parts.targetTracker.candidates(options.service, excluded, { maxIdleMs, work: options.work })
            .filter(({ target }) => options.eligibility?.allows(target) ?? true);
        const canRetry = route.idempotent && options.bodyBuffered && arrivals + 1 < route.maxAttempts
            && retryBudget.hasTokens();
        const mayProbe = canRetry && arrivals === 0 && retryBudget.hasTokens(probeReserveShare);
        const profile = { isRetryable: canRetry, transferKb: options.transferKb };
        const probed = mayProbe ? chooseProbe(candidates, profile, parts.random) : undefined;
        const chosen = probed ?? chooseTarget(candidates, profile, parts.random);
        if (chosen === undefined) {
            return false;
        }
        const { target } = chosen;
        lastChoice = {
            sick: roundToThousandths(chosen.unhealthyProbability),
            pathSick: roundToThousandths(chosen.pathFailureProbability),
            utilisation: roundToThousandths(chosen.utilisation),
        };
        excluded.add(target.id);
        options.eligibility?.recordChoice(target);
        if (chosen.isOutsideSet === true) {
            log.count("sent_outside_target_set");
        }
        const attempt: Attempt = startAttempt(parts, {
            target,
            request: options.requestFor(target),
            maxIdleMs,
            typicalMs: options.typicalMs,
            workMs: options.work?.serviceMs,
            served: serviceMs => options.served?.(serviceMs),
            maxBufferedBytes: options.maxBufferedBytes,
            sent() {
                arrivals += 1;
                startLateTimer(attempt);
            },
            skipped: id => log.request(options.id, "late_response_skipped", { target: target.id, skipped: id }),
            done: attemptResult => onDone(attempt, attemptResult),
        });
        running.add(attempt);
        if (excluded.size > 1) {
            log.request(options.id, "further_attempt", {
                target: target.id,
                ...lastChoice,
                arrivals,
                remainingMs: Math.round(options.endAt - now()),
            });
        }
        return true;
    }

    function startLateTimer(attempt: Attempt): void {
        startTimer(attempt, options.lateAfterMs, () => {
            reportLate(attempt);
            startHedge(attempt);
        });
    }

    /** Calls back after a delay, unless the attempt has ended or its response has begun by then. */
    function startTimer(attempt: Attempt, delayMs: number, callback: () => void): void {
        const timer = setTimeout(() => {
            lateTimers.delete(timer);
            if (!settled && running.has(attempt) && !attempt.hasHead) {
                callback();
            }
        }, delayMs);
        lateTimers.add(timer);
    }

    /** Returns the time in milliseconds until the target's queue no longer explains a missing response. */
    function msUntilLate(attempt: Attempt): number {
        const elapsedMs = now() - (attempt.sentAt ?? now());
        const explainedMs = explainedWaitMs(parts.targetTracker.utilisation(attempt.target), options.typicalMs);
        const remainingMs = options.lateAfterMs + explainedMs - elapsedMs;
        return remainingMs <= timerSlackMs ? 0 : remainingMs;
    }

    function reportLate(attempt: Attempt): void {
        const remainingMs = msUntilLate(attempt);
        if (remainingMs === 0) {
            attempt.markUnanswered(outcome.late);
            return;
        }
        startTimer(attempt, remainingMs, () => reportLate(attempt));
    }

    function startHedge(late: Attempt): void {
        const canHedge = route.idempotent && running.size === 1 && arrivals < route.maxAttempts && options.bodyBuffered;
        if (!canHedge || !retryBudget.take(hedgeReserveShare)) {
            return;
        }
        log.request(options.id, "attempt_late", {
            target: late.target.id,
            lateAfterMs: Math.round(options.lateAfterMs),
        });
        startNextAttempt();
    }

    function onDone(attempt: Attempt, attemptResult: AttemptResult): void {
        running.delete(attempt);
        if (attemptResult.kind !== "ended") {
            finish({ kind: "response", attempt, result: attemptResult });
            return;
        }
        recordFailure(attempt, attemptResult);
        if (running.size > 0) {
            return;
        }
        const state = {
            idempotent: route.idempotent,
            arrivals,
            maxAttempts: route.maxAttempts,
            failedConnections,
            remainingMs: options.endAt - now(),
            budgetLeft: retryBudget.hasTokens(retryReserveShare(attemptResult.end)),
            bodyBuffered: options.bodyBuffered,
        };
        if (isAbandoned || !mayRetry(attemptResult.end, state)) {
            failWith(attemptResult.end, attemptResult.why);
            return;
        }
        if (arrivals > 0) {
            retryBudget.take();
        }
        if (!startNextAttempt()) {
            failWith("no_target", "no further target");
        }
    }

    function recordFailure(attempt: Attempt, ended: Extract<AttemptResult, { kind: "ended"; }>): void {
        if (ended.end === attemptEnd.notArrived) {
            failedConnections += 1;
        }
        // A request that this target has not run may still have run in another attempt.
        if (ended.end === attemptEnd.notRun) {
            notRunCount += 1;
        }
        lastFailure = {
            end: ended.end,
            why: ended.why,
            response: ended.response ?? lastFailure?.response,
        };
        log.request(options.id, "attempt_failed", {
            target: attempt.target.id,
            end: ended.end,
            why: ended.why,
            arrivals,
            ageMs: attempt.sentAt === undefined ? undefined : Math.round(now() - attempt.sentAt),
        });
    }

    function timeOut(): void {
        [...running].filter(attempt => msUntilLate(attempt) === 0)
            .forEach(attempt => attempt.markUnanswered(outcome.timedOut));
        failWith("timed_out", "the deadline has passed");
    }

    const endTimer = setTimeout(timeOut, Math.max(0, options.endAt - now()));
    if (!startNextAttempt()) {
        failWith("no_target", "the service has no target");
    }

    return {
        result,
        abandon() {
            isAbandoned = true;
            // A target that processes a non-idempotent request continues: the caller wants its effect even without a response.
            const isInProgress = [...running].some(({ sentAt }) => sentAt !== undefined);
            if (route.idempotent || !isInProgress) {
                failWith("timed_out", "the caller disconnected");
            }
        },
        get arrivals() {
            return arrivals;
        },
        get targets() {
            return [...excluded];
        },
        get lastChoice() {
            return lastChoice;
        },
    };
}
