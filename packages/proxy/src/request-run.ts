import type { Clock } from "@trefoilladder/clock";
import { isIdempotent } from "@trefoilladder/configuration";
import type { Configuration } from "@trefoilladder/configuration";
import type { Quota } from "@trefoilladder/quota";
import { attemptOutcome } from "@trefoilladder/routing";
import type { Attempt, Router } from "@trefoilladder/routing";
import type { Telemetry } from "@trefoilladder/telemetry";
import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";
import type { AttemptResult, TargetResponse } from "./attempt-result";
import { recheckGrant } from "./authorisation";
import type { Grant } from "./authorisation";
import { requestOutcome } from "./caller-interface";
import type { CallerRequest } from "./caller-request";
import type { Exchange } from "./exchange";
import { forwardOnce } from "./forwarding";
import type { ForwardingContext } from "./forwarding";
import type { LatencyEstimate } from "./latency-estimate";
import { notRun } from "./problem";
import type { Problem, ProblemCode } from "./problem";
import type { ResolvedProxyOptions } from "./proxy-options";
import type { RecentRequests } from "./recent-requests";
import { readRequestBody } from "./request-body";
import type { RequestBody } from "./request-body";
import { sendResponse } from "./response-relay";
import type { RetryBudget } from "./retry-budget";
import type { SentResponse } from "./sent-response";

/** Dependencies shared by all requests. */
export interface RunParts {
    configuration: Configuration;
    quota: Quota;
    router: Pick<Router, "acquire">;
    clock: Clock;
    telemetry: Telemetry;
    options: ResolvedProxyOptions;
    budget: RetryBudget;
    latency: LatencyEstimate;
    recentRequests: RecentRequests;
    /** Checks that the contact lease is held and the configuration is fresh. */
    checkAdmission(): Result<void, Problem>;
}

/** Problems of an attempt that may succeed on another target. */
const retryableProblems = new Set<ProblemCode>([
    "target_unreachable",
    "target_reset",
    "response_incomplete",
    "deadline_exceeded",
]);
const retryableStatuses = new Set([500, 502, 503, 504]);

/** Result to return to the caller if there is no further attempt. */
type FinalResult = { response: TargetResponse; } | { problem: Problem; };

/** Next step after an attempt: done, respond with the result, or retry and use the result if no retry is possible. */
type Decision =
    | { kind: "done"; sent: SentResponse; }
    | { kind: "respond" | "retry"; result: FinalResult; };

const decisions: {
    [Kind in AttemptResult["kind"]]: (
        result: Extract<AttemptResult, { kind: Kind; }>,
        idempotent: boolean,
    ) => Decision;
} = {
    buffered: ({ response }, idempotent) => ({
        kind: idempotent && retryableStatuses.has(response.status) ? "retry" : "respond",
        result: { response },
    }),
    refused: ({ response }, idempotent) => ({
        kind: idempotent ? "retry" : "respond",
        result: {
            problem: notRun("target_busy", "the target refused the request before running it", response.retryAfterMs),
        },
    }),
    streamed: ({ copy }) => ({ kind: "done", sent: { complete: true, copy } }),
    interrupted: () => ({ kind: "done", sent: { complete: false } }),
    failed: ({ problem, sent }, idempotent) => ({
        kind: retryableProblems.has(problem.code) && (idempotent || !sent) ? "retry" : "respond",
        result: { problem },
    }),
};

function decideNext(result: AttemptResult, idempotent: boolean): Decision {
    return (decisions[result.kind] as (result: AttemptResult, idempotent: boolean) => Decision)(result, idempotent);
}

const noTargets: ReadonlySet<string> = new Set();

/** Runs an authorised request: reads the body, takes quota and a slot, sends it to targets and responds. */
export async function runRequest(
    parts: RunParts,
    exchange: Exchange,
    request: CallerRequest,
    grant: Grant,
    maxCopyBytes: number,
): Promise<Result<SentResponse, Problem>> {
    const { configuration, quota, router, clock, options, budget } = parts;
    const idempotent = isIdempotent(grant.route, request.method);
    let excludedTargets = noTargets;
    let attempts = 0;
    /** Whether an earlier attempt may have run the request. */
    let mayHaveRun = false;
    let reserved: Attempt | undefined;

    function checkPreconditions(): Result<void, Problem> {
        if (clock.now() >= exchange.deadlineAt) {
            return err(notRun("deadline_too_short", "the deadline passed before the request could be sent"));
        }
        return parts.checkAdmission().andThen(() => recheckGrant(configuration, request, grant));
    }

    function withOverallOutcome(problem: Problem): Problem {
        return mayHaveRun && problem.outcome === requestOutcome.notRun
            ? { ...problem, outcome: requestOutcome.unknown }
            : problem;
    }

    async function acquireAttempt(abortSource: { readonly signal: AbortSignal; }): Promise<Result<Attempt, Problem>> {
        const acquired = await router.acquire({
            service: grant.route.service,
            organisation: grant.organisation,
            deadlineAt: exchange.deadlineAt,
            excludedTargets,
            get signal() {
                return abortSource.signal;
            },
        });
        return acquired.mapErr(failure => notRun(failure.code, failure.message, 1_000));
    }

    function sendToCaller(response: TargetResponse): Result<SentResponse, Problem> {
        sendResponse(exchange, response);
        return ok({ complete: true, copy: response.body.length <= maxCopyBytes ? response : undefined });
    }

    function canRetry(body: RequestBody): boolean {
        return attempts < options.maxAttempts && !exchange.callerDisconnected && clock.now() < exchange.deadlineAt
            && body.streamStarted !== true;
    }

    function finishWith(result: FinalResult): Result<SentResponse, Problem> {
        return "response" in result ? sendToCaller(result.response) : err(withOverallOutcome(result.problem));
    }

    async function runAttempt(attempt: Attempt, body: RequestBody): Promise<AttemptResult> {
        attempts += 1;
        let reservation: AbortController | undefined;
        let finished = false;
        const context: ForwardingContext = {
            exchange,
            request,
            body,
            clock,
            options,
            latency: parts.latency,
            recentRequests: parts.recentRequests,
            checkBeforeSend: checkPreconditions,
            mayRetry: () => idempotent && canRetry(body) && budget.allows(),
            async reserveNextAttempt(isNeeded) {
                reservation = new AbortController();
                excludedTargets = new Set([...excludedTargets, attempt.target.id]);
                const next = await acquireAttempt(reservation);
                if (next.isErr()) {
                    return false;
                }
                if (finished || !isNeeded()) {
                    next.value.release({ outcome: attemptOutcome.cancelled });
                    return false;
                }
                reserved = next.value;
                return true;
            },
            maxCopyBytes,
            continuesAfterDisconnect: maxCopyBytes > 0,
        };
        const result = await forwardOnce(attempt, context);
        finished = true;
        reservation?.abort();
        return result;
    }

    async function runAttempts(body: RequestBody): Promise<Result<SentResponse, Problem>> {
        let lastResult: FinalResult | undefined;
        for (;;) {
            const acquired = reserved === undefined ? await acquireAttempt(exchange) : ok(reserved);
            reserved = undefined;
            if (acquired.isErr()) {
                return finishWith(lastResult ?? { problem: acquired.error });
            }
            const attempt = acquired.value;
            const permitted = checkPreconditions();
            if (permitted.isErr()) {
                attempt.release({ outcome: attemptOutcome.cancelled });
                return finishWith(
                    lastResult !== undefined && "response" in lastResult ? lastResult : { problem: permitted.error },
                );
            }
            const result = await runAttempt(attempt, body);
            const decision = decideNext(result, idempotent);
            mayHaveRun ||= result.kind === "buffered" || (result.kind === "failed" && result.sent);
            exchange.mayHaveRun = mayHaveRun;
            if (decision.kind === "done") {
                releaseReserved();
                return ok(decision.sent);
            }
            // A complete response from an earlier attempt is more informative than the failure of a later one.
            lastResult = lastResult !== undefined && "response" in lastResult && "problem" in decision.result
                ? lastResult
                : decision.result;
            if (decision.kind === "respond" || !canRetry(body) || !budget.take()) {
                releaseReserved();
                return finishWith(lastResult);
            }
            excludedTargets = new Set([...excludedTargets, attempt.target.id]);
            parts.telemetry.count("requests.retried");
        }
    }

    function releaseReserved(): void {
        reserved?.release({ outcome: attemptOutcome.cancelled });
        reserved = undefined;
    }

    // Reads the body first, so that a slow caller does not hold a quota token and a slot.
    const body = request.hasBody ? await readRequestBody(exchange.incoming, request, options) : ok({});
    if (body.isErr()) {
        return err(body.error);
    }
    const permittedBeforeQuota = checkPreconditions();
    if (permittedBeforeQuota.isErr()) {
        return err(permittedBeforeQuota.error);
    }
    const admitted = await quota.admit({
        organisation: grant.organisation,
        ratePerSecond: grant.plan.ratePerSecond,
        burst: grant.plan.burst,
        deadlineAt: exchange.deadlineAt,
        get signal() {
            return exchange.signal;
        },
    });
    if (admitted.isErr()) {
        return err(notRun(admitted.error.code, admitted.error.message, admitted.error.retryAfterMs));
    }
    const permitted = checkPreconditions();
    if (permitted.isErr()) {
        return err(permitted.error);
    }
    budget.countRequest();
    return runAttempts(body.value);
}
