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
import { recheck } from "./authorisation";
import type { Grant } from "./authorisation";
import { requestOutcome } from "./caller-interface";
import type { CallerRequest } from "./caller-request";
import type { Delivery } from "./delivery";
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

/** What every run of a request uses. */
export interface RunParts {
    configuration: Configuration;
    quota: Quota;
    router: Pick<Router, "acquire">;
    clock: Clock;
    telemetry: Telemetry;
    options: ResolvedProxyOptions;
    budget: RetryBudget;
    latency: LatencyEstimate;
    recent: RecentRequests;
    /** Checks the contact lease and the freshness of the configuration. */
    checkAdmission(): Result<void, Problem>;
}

/** Problems of an attempt after which another target may succeed. */
const retryableProblems = new Set<ProblemCode>([
    "target_unreachable",
    "target_reset",
    "response_incomplete",
    "deadline_exceeded",
]);
const retryableStatuses = new Set([500, 502, 503, 504]);

/** What to answer when no further attempt is possible. */
type Answer = { response: TargetResponse; } | { problem: Problem; };

/** Decision after an attempt: the end of the run, an answer, or another attempt with an answer in reserve. */
type Decision =
    | { kind: "done"; delivery: Delivery; }
    | { kind: "answer" | "retry"; answer: Answer; };

const decisions: {
    [Kind in AttemptResult["kind"]]: (
        result: Extract<AttemptResult, { kind: Kind; }>,
        idempotent: boolean,
    ) => Decision;
} = {
    held: ({ response }, idempotent) => ({
        kind: idempotent && retryableStatuses.has(response.status) ? "retry" : "answer",
        answer: { response },
    }),
    refused: ({ response }, idempotent) => ({
        kind: idempotent ? "retry" : "answer",
        answer: {
            problem: notRun("target_busy", "the target refused the request before running it", response.retryAfterMs),
        },
    }),
    streamed: ({ copy }) => ({ kind: "done", delivery: { complete: true, copy } }),
    interrupted: () => ({ kind: "done", delivery: { complete: false } }),
    failed: ({ problem, sent }, idempotent) => ({
        kind: retryableProblems.has(problem.code) && (idempotent || !sent) ? "retry" : "answer",
        answer: { problem },
    }),
};

function decide(result: AttemptResult, idempotent: boolean): Decision {
    return (decisions[result.kind] as (result: AttemptResult, idempotent: boolean) => Decision)(result, idempotent);
}

const noTargets: ReadonlySet<string> = new Set();

/** Runs an authorised request: body, quota, slot, attempts on targets, response. */
export async function runRequest(
    parts: RunParts,
    exchange: Exchange,
    request: CallerRequest,
    grant: Grant,
    copyBytes: number,
): Promise<Result<Delivery, Problem>> {
    const { configuration, quota, router, clock, options, budget } = parts;
    const idempotent = isIdempotent(grant.route, request.method);
    let excluded = noTargets;
    let attempts = 0;
    /** Whether an earlier attempt may have run the request. */
    let maybeRan = false;
    let reserved: Attempt | undefined;

    function check(): Result<void, Problem> {
        if (clock.now() >= exchange.deadlineAt) {
            return err(notRun("deadline_too_short", "the deadline passed before the request could be sent"));
        }
        return parts.checkAdmission().andThen(() => recheck(configuration, request, grant));
    }

    function truthful(problem: Problem): Problem {
        return maybeRan && problem.outcome === requestOutcome.notRun
            ? { ...problem, outcome: requestOutcome.unknown }
            : problem;
    }

    async function acquire(caller: { readonly signal: AbortSignal; }): Promise<Result<Attempt, Problem>> {
        const acquired = await router.acquire({
            service: grant.route.service,
            organisation: grant.organisation,
            deadlineAt: exchange.deadlineAt,
            excluded,
            get signal() {
                return caller.signal;
            },
        });
        return acquired.mapErr(failure => notRun(failure.code, failure.message, 1_000));
    }

    function deliver(response: TargetResponse): Result<Delivery, Problem> {
        sendResponse(exchange, response);
        return ok({ complete: true, copy: response.body.length <= copyBytes ? response : undefined });
    }

    function canRetry(body: RequestBody): boolean {
        return attempts < options.maxAttempts && !exchange.callerGone && clock.now() < exchange.deadlineAt
            && body.started !== true;
    }

    function endWith(answer: Answer): Result<Delivery, Problem> {
        return "response" in answer ? deliver(answer.response) : err(truthful(answer.problem));
    }

    async function tryOnce(attempt: Attempt, body: RequestBody): Promise<AttemptResult> {
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
            recent: parts.recent,
            recheck: check,
            mayRetry: () => idempotent && canRetry(body) && budget.allows(),
            async reserveNext(wanted) {
                reservation = new AbortController();
                excluded = new Set([...excluded, attempt.target.id]);
                const next = await acquire(reservation);
                if (next.isErr()) {
                    return false;
                }
                if (finished || !wanted()) {
                    next.value.release({ outcome: attemptOutcome.cancelled });
                    return false;
                }
                reserved = next.value;
                return true;
            },
            copyBytes,
            outlivesCaller: copyBytes > 0,
        };
        const result = await forwardOnce(attempt, context);
        finished = true;
        reservation?.abort();
        return result;
    }

    async function attemptUntilDone(body: RequestBody): Promise<Result<Delivery, Problem>> {
        let answer: Answer | undefined;
        for (;;) {
            const acquired = reserved === undefined ? await acquire(exchange) : ok(reserved);
            reserved = undefined;
            if (acquired.isErr()) {
                return endWith(answer ?? { problem: acquired.error });
            }
            const attempt = acquired.value;
            const permitted = check();
            if (permitted.isErr()) {
                attempt.release({ outcome: attemptOutcome.cancelled });
                return endWith(answer !== undefined && "response" in answer ? answer : { problem: permitted.error });
            }
            const result = await tryOnce(attempt, body);
            const decision = decide(result, idempotent);
            maybeRan ||= result.kind === "held" || (result.kind === "failed" && result.sent);
            exchange.sent = maybeRan;
            if (decision.kind === "done") {
                releaseReserved();
                return ok(decision.delivery);
            }
            // A complete response of an earlier attempt says more than the failure of a later one.
            answer = answer !== undefined && "response" in answer && "problem" in decision.answer
                ? answer
                : decision.answer;
            if (decision.kind === "answer" || !canRetry(body) || !budget.take()) {
                releaseReserved();
                return endWith(answer);
            }
            excluded = new Set([...excluded, attempt.target.id]);
            parts.telemetry.count("requests.retried");
        }
    }

    function releaseReserved(): void {
        reserved?.release({ outcome: attemptOutcome.cancelled });
        reserved = undefined;
    }

    // The body comes first: a token and a slot are not held while a caller sends slowly.
    const body = request.hasBody ? await readRequestBody(exchange.incoming, request, options) : ok({});
    if (body.isErr()) {
        return err(body.error);
    }
    const timely = check();
    if (timely.isErr()) {
        return err(timely.error);
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
    const permitted = check();
    if (permitted.isErr()) {
        return err(permitted.error);
    }
    budget.countRequest();
    return attemptUntilDone(body.value);
}
