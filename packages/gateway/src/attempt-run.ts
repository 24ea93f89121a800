/**
 * All attempts for one request: the first, repeats after failures, and a second one beside an attempt that is late.
 */

import { attemptEnd, chooseCandidate, explainedWaitMs, mayRepeat, outcome } from "@trefoilladder/placement";
import type { AttemptAllowance, AttemptEnd } from "@trefoilladder/placement";
import type { ListedTarget } from "@trefoilladder/replication";
import type { Route } from "@trefoilladder/serving";
import type { OutgoingRequest } from "@trefoilladder/upstream";
import { startAttempt } from "./attempt";
import type { Attempt, AttemptParts, AttemptResult } from "./attempt";

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

/** A request that is being attempted. */
export interface AttemptRun {
    result: Promise<RunResult>;
    /** Ends the run because the caller is gone; a request that may not be repeated and has been sent runs on. */
    abandon(): void;
    readonly arrivals: number;
    readonly targets: readonly string[];
    /** What was known of the target that was chosen last. */
    readonly lastChoice: { sick: number; pathSick: number; utilisation: number; } | undefined;
}

/** What a run needs. */
export interface RunParts extends AttemptParts {
    random(): number;
}

/** Options of a run. */
export interface RunOptions {
    id: string;
    route: Route;
    service: string;
    /** Usual size of responses in kilobytes. */
    responseKb: number;
    allowance: AttemptAllowance;
    bodyKept: boolean;
    /** Monotonic time in milliseconds at which the run ends. */
    endAt: number;
    /** Time in milliseconds after which an attempt without a response is late. */
    lateAfterMs: number;
    requestFor(target: ListedTarget): Omit<OutgoingRequest, "isWanted">;
    keptBytes: number;
    /** Usual time that a target works on such a request, in milliseconds; undefined while unknown. */
    usualMs: number | undefined;
}

/**
 * Idle time up to which a kept connection carries a request that cannot be repeated, in milliseconds. Targets may drop an idle
 * connection without notice, and a request that is sent on it may or may not have run.
 */
const freshIdleMs = 200;
/** Idle time up to which a kept connection carries a request that can be repeated, in milliseconds. */
const repeatableIdleMs = 6_000;

/** Time in milliseconds by which a timer may be early. */
const timerSlackMs = 5;
/** Share of the allowance that attempts beside late ones leave to requests that have failed. */
const lateKeptShare = 0.3;

/** Starts the attempts for a request. */
export function startRun(parts: RunParts, options: RunOptions): AttemptRun {
    const { log, now } = parts;
    const { route, allowance } = options;
    const excluded = new Set<string>();
    const running = new Set<Attempt>();
    const lateTimers = new Set<NodeJS.Timeout>();
    let lastChoice: AttemptRun["lastChoice"];
    let arrivals = 0;
    let failedConnections = 0;
    let unrun = 0;
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
        const isKnown = lastFailure !== undefined && end === "no_target";
        finish({
            kind: "none",
            notRun: arrivals === unrun,
            end: isKnown ? lastFailure!.end : end,
            why: isKnown ? lastFailure!.why : why,
            response: lastFailure?.response,
        });
    }

    function begin(): boolean {
        const candidates = parts.book.candidates(options.service, excluded);
        const canFollow = route.idempotent && options.bodyKept && arrivals + 1 < route.maxAttempts && allowance.has();
        const chosen = chooseCandidate(
            candidates,
            { repeatable: canFollow, responseKb: options.responseKb },
            parts.random,
        );
        if (chosen === undefined) {
            return false;
        }
        const { target } = chosen;
        lastChoice = {
            sick: round(chosen.sick),
            pathSick: round(chosen.pathSick),
            utilisation: round(chosen.utilisation),
        };
        excluded.add(target.id);
        const attempt: Attempt = startAttempt(parts, {
            target,
            request: options.requestFor(target),
            maxIdleMs: route.idempotent ? repeatableIdleMs : freshIdleMs,
            usualMs: options.usualMs,
            keptBytes: options.keptBytes,
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
            noteLateness(attempt);
            attemptBeside(attempt);
        });
    }

    /** Calls back after a delay, unless an answer of the attempt has begun by then. */
    function startTimer(attempt: Attempt, delayMs: number, callback: () => void): void {
        const timer = setTimeout(() => {
            lateTimers.delete(timer);
            if (!settled && running.has(attempt) && !attempt.hasHead) {
                callback();
            }
        }, delayMs);
        lateTimers.add(timer);
    }

    /** Returns the time in milliseconds that is left until the target's queue no longer explains a missing answer. */
    function msUntilLate(attempt: Attempt): number {
        const elapsedMs = now() - (attempt.sentAt ?? now());
        const explainedMs = explainedWaitMs(parts.book.utilisation(attempt.target), options.usualMs);
        const remainingMs = options.lateAfterMs + explainedMs - elapsedMs;
        return remainingMs <= timerSlackMs ? 0 : remainingMs;
    }

    function noteLateness(attempt: Attempt): void {
        const remainingMs = msUntilLate(attempt);
        if (remainingMs === 0) {
            attempt.markUnanswered(outcome.late);
            return;
        }
        startTimer(attempt, remainingMs, () => noteLateness(attempt));
    }

    function attemptBeside(late: Attempt): void {
        const isWorthwhile = route.idempotent && running.size === 1 && arrivals < route.maxAttempts && options.bodyKept;
        if (!isWorthwhile || !allowance.take(lateKeptShare)) {
            return;
        }
        log.request(options.id, "attempt_late", {
            target: late.target.id,
            lateAfterMs: Math.round(options.lateAfterMs),
        });
        begin();
    }

    function onDone(attempt: Attempt, attemptResult: AttemptResult): void {
        running.delete(attempt);
        if (attemptResult.kind !== "ended") {
            finish({ kind: "response", attempt, result: attemptResult });
            return;
        }
        noteFailure(attempt, attemptResult);
        if (running.size > 0) {
            return;
        }
        const state = {
            idempotent: route.idempotent,
            arrivals,
            maxAttempts: route.maxAttempts,
            failedConnections,
            remainingMs: options.endAt - now(),
            allowanceLeft: allowance.has(),
            bodyKept: options.bodyKept,
        };
        if (isAbandoned || !mayRepeat(attemptResult.end, state)) {
            failWith(attemptResult.end, attemptResult.why);
            return;
        }
        if (arrivals > 0) {
            allowance.take();
        }
        if (!begin()) {
            failWith("no_target", "no further target");
        }
    }

    function noteFailure(attempt: Attempt, ended: Extract<AttemptResult, { kind: "ended"; }>): void {
        if (ended.end === attemptEnd.notArrived) {
            failedConnections += 1;
        }
        // What one target has not run was not run at all unless another attempt may have.
        if (ended.end === attemptEnd.notRun) {
            unrun += 1;
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
        failWith("timed_out", "the time is over");
    }

    const endTimer = setTimeout(timeOut, Math.max(0, options.endAt - now()));
    if (!begin()) {
        failWith("no_target", "the service has no target");
    }

    return {
        result,
        abandon() {
            isAbandoned = true;
            // A target at work on a request that may not be repeated goes on: its effect is wanted without an answer too.
            const isAtWork = [...running].some(({ sentAt }) => sentAt !== undefined);
            if (route.idempotent || !isAtWork) {
                failWith("timed_out", "the caller is gone");
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

function round(value: number): number {
    return Math.round(value * 1_000) / 1_000;
}
