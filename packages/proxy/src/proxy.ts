import type { HttpBindings } from "@hono/node-server";
import { RESPONSE_ALREADY_SENT } from "@hono/node-server/utils/response";
import type { Clock } from "@trefoilladder/clock";
import { isIdempotent } from "@trefoilladder/configuration";
import type { Configuration } from "@trefoilladder/configuration";
import type { IdempotencyRegister, Run } from "@trefoilladder/idempotency";
import type { Quota } from "@trefoilladder/quota";
import type { Router } from "@trefoilladder/routing";
import type { Telemetry } from "@trefoilladder/telemetry";
import { Hono } from "hono";
import { err, ok, safeTry } from "neverthrow";
import type { Result } from "neverthrow";
import type { IncomingMessage, ServerResponse } from "node:http";
import { authenticate, authorise, recheck } from "./authorisation";
import type { Grant } from "./authorisation";
import { callerHeader, idempotencyKeysPath, relayPath, requestOutcome } from "./caller-interface";
import { parseCallerRequest, readRequestId } from "./caller-request";
import type { CallerRequest } from "./caller-request";
import type { Delivery } from "./delivery";
import { openExchange } from "./exchange";
import type { Exchange } from "./exchange";
import { problemOfKey, settleRun } from "./idempotent-run";
import { createIssuerRelay } from "./issuer-relay";
import { createLatencyEstimate } from "./latency-estimate";
import { notRun, sendProblem, unknownOutcome } from "./problem";
import type { Problem } from "./problem";
import { resolveProxyOptions } from "./proxy-options";
import type { ProxyOptions } from "./proxy-options";
import { createRecentRequests } from "./recent-requests";
import { createRequestIds } from "./request-ids";
import { runRequest } from "./request-run";
import type { RunParts } from "./request-run";
import { sendResponse } from "./response-relay";
import { createRetryBudget } from "./retry-budget";

/** Right of this instance to admit requests. */
export interface Admission {
    /** Whether the contact lease is held now. */
    holdsLease(): boolean;
    /** Whether the configuration is as new as the one known to exist. */
    isFresh(): boolean;
}

/** Idempotency keys of this instance and the way to the issuers of others. */
export interface IdempotencyParts {
    register: IdempotencyRegister;
    /** Returns the origin of the inner listener of a live incarnation, for example `http://127.0.0.1:9102`. */
    resolveIssuer(incarnation: string): string | undefined;
}

/** Collaborators of the proxy. */
export interface ProxyParts {
    configuration: Configuration;
    quota: Quota;
    router: Pick<Router, "acquire">;
    clock: Clock;
    telemetry: Telemetry;
    /** Without it the instance always admits. */
    admission?: Admission;
    /** Without it no idempotency key is known. */
    idempotency?: IdempotencyParts;
}

/** The request path of one instance. */
export interface Proxy {
    /** Serves callers, for a Node.js server. */
    listener(incoming: IncomingMessage, outgoing: ServerResponse): void;
    /** Serves callers, for the Hono adaptor of Node.js. */
    fetch: Hono<{ Bindings: HttpBindings; }>["fetch"];
    /** Serves requests relayed by other instances; belongs on the inner listener. */
    relay: Hono<{ Bindings: HttpBindings; }>;
    close(): Promise<void>;
}

/** Creates the request path of an instance. */
export function createProxy(parts: ProxyParts, proxyOptions: ProxyOptions = {}): Proxy {
    const { configuration, clock, telemetry, admission, idempotency } = parts;
    const options = resolveProxyOptions(proxyOptions);
    const nextRequestId = createRequestIds();
    const latency = createLatencyEstimate({ minMs: options.minHeadersStallMs, maxMs: options.maxHeadersStallMs });
    const recent = createRecentRequests();

    function checkAdmission(): Result<void, Problem> {
        if (admission?.holdsLease() === false) {
            return err(notRun("instance_isolated", "the instance has lost contact with its fleet", 1_000));
        }
        return admission?.isFresh() === false
            ? err(notRun("configuration_stale", "the instance has not applied the newest configuration", 1_000))
            : ok(undefined);
    }

    const runParts: RunParts = {
        configuration,
        quota: parts.quota,
        router: parts.router,
        clock,
        telemetry,
        options,
        budget: createRetryBudget(clock, options),
        latency,
        recent,
        checkAdmission,
    };
    const relay = idempotency === undefined ? undefined : createIssuerRelay({
        resolveIssuer: idempotency.resolveIssuer,
        clock,
        options,
        latency,
        recent,
        recheck: request => checkAdmission().andThen(() => authorise(configuration, request)).map(() => undefined),
    });

    function issueKey(exchange: Exchange, request: CallerRequest): Result<Delivery, Problem> {
        return safeTry(function*() {
            if (request.authorization === undefined) {
                return err(notRun("key_missing", "an idempotency key is issued to the holder of a key"));
            }
            const caller = yield* authenticate(configuration, request.authorization);
            yield* checkAdmission();
            if (request.method !== "POST" || idempotency === undefined) {
                return err(notRun("route_unknown", "idempotency keys are issued by POST"));
            }
            const { register } = idempotency;
            const key = register.issue(caller.organisation);
            const body = Buffer.from(JSON.stringify({ key, expiresInMs: register.lifetimeMs }));
            sendResponse(exchange, {
                status: 201,
                headers: ["content-type", "application/json", "content-length", String(body.length)],
                body,
                outcome: requestOutcome.ran,
            });
            return ok({ complete: true });
        });
    }

    async function runClaimed(
        exchange: Exchange,
        request: CallerRequest,
        grant: Grant,
        run: Run,
        maxResponseBytes: number,
    ): Promise<Result<Delivery, Problem>> {
        try {
            const result = await runRequest(runParts, exchange, request, grant, maxResponseBytes);
            settleRun(run, result);
            return result;
        }
        catch (error) {
            run.unknown();
            throw error;
        }
    }

    async function runUnderKey(
        exchange: Exchange,
        request: CallerRequest,
        grant: Grant,
        keyText: string,
        relayed: boolean,
    ): Promise<Result<Delivery, Problem>> {
        if (idempotency === undefined || relay === undefined) {
            return err(notRun("idempotency_key_not_issued", "the instance issues no idempotency keys"));
        }
        const { register } = idempotency;
        return safeTry(async function*() {
            const key = yield* register.read(keyText, grant.organisation).mapErr(problemOfKey);
            if (key.incarnation !== register.incarnation) {
                return relayed
                    ? err(unknownOutcome("outcome_unknown", "this incarnation did not issue the idempotency key"))
                    : relay.send(exchange, request, key);
            }
            const claim = yield* (await register.claim(key, `${request.method} ${request.url}`, {
                deadlineAt: exchange.deadlineAt,
                signal: exchange.signal,
            })).mapErr(problemOfKey);
            if (claim.kind === "answered") {
                // The wait may have been long enough for a revocation.
                yield* recheck(configuration, request, grant)
                    .mapErr(problem => ({ ...problem, outcome: requestOutcome.ran }));
                sendResponse(exchange, { ...claim.response, outcome: requestOutcome.ran });
                return ok({ complete: true });
            }
            return runClaimed(exchange, request, grant, claim.run, register.maxResponseBytes);
        });
    }

    /** Checks the head of a request and the caller's right to it, without a wait. */
    function admit(exchange: Exchange, url: string): Result<{ request: CallerRequest; grant?: Grant; }, Problem> {
        return safeTry(function*() {
            const request = yield* parseCallerRequest(exchange.incoming, url, options);
            exchange.deadlineAt = exchange.receivedAt + request.deadlineMs;
            if (request.path === idempotencyKeysPath) {
                return ok({ request });
            }
            const grant = yield* authorise(configuration, request);
            yield* checkAdmission();
            return ok({ request, grant });
        });
    }

    // The waits of the request path are plain awaits: a generator over them costs a tenth of its CPU time.
    async function serve(exchange: Exchange, url: string, relayed: boolean): Promise<Result<Delivery, Problem>> {
        const admitted = admit(exchange, url);
        if (admitted.isErr()) {
            return err(admitted.error);
        }
        const { request, grant } = admitted.value;
        if (grant === undefined) {
            return issueKey(exchange, request);
        }
        const idempotent = isIdempotent(grant.route, request.method);
        if (!idempotent && idempotency !== undefined) {
            const next = idempotency.register.issue(grant.organisation);
            exchange.extraHeaders.push(callerHeader.nextIdempotencyKey, next);
        }
        const result = request.idempotencyKey === undefined && !relayed
            ? await runRequest(runParts, exchange, request, grant, 0)
            : await runUnderKey(exchange, request, grant, request.idempotencyKey ?? "", relayed);
        const requestClass = idempotent ? "idempotent" : "non-idempotent";
        telemetry.recordDuration(grant.organisation, requestClass, clock.now() - exchange.receivedAt);
        return result;
    }

    async function handle(
        incoming: IncomingMessage,
        outgoing: ServerResponse,
        url: string,
        relayed: boolean,
    ): Promise<void> {
        const exchange = openExchange(incoming, outgoing, readRequestId(incoming) ?? nextRequestId(), clock.now());
        try {
            const result = await serve(exchange, url, relayed);
            if (result.isErr()) {
                telemetry.count("requests.refused", { code: result.error.code });
                sendProblem(outgoing, result.error, exchange.requestId, exchange.extraHeaders);
            }
        }
        catch (error) {
            telemetry.fault("request_failed", { name: error instanceof Error ? error.name : "unknown" });
            const outcome = exchange.sent ? requestOutcome.unknown : requestOutcome.notRun;
            sendProblem(outgoing, { code: "internal_error", outcome, detail: "the proxy failed" }, exchange.requestId);
        }
    }

    const callers = new Hono<{ Bindings: HttpBindings; }>();
    callers.all("*", async ({ env }) => {
        await handle(env.incoming, env.outgoing, env.incoming.url ?? "/", false);
        return RESPONSE_ALREADY_SENT;
    });
    const relayed = new Hono<{ Bindings: HttpBindings; }>();
    relayed.all(`${relayPath}/*`, async ({ env }) => {
        await handle(env.incoming, env.outgoing, (env.incoming.url ?? "/").slice(relayPath.length), true);
        return RESPONSE_ALREADY_SENT;
    });

    return {
        listener: (incoming, outgoing) => void handle(incoming, outgoing, incoming.url ?? "/", false),
        fetch: callers.fetch,
        relay: relayed,
        close: async () => relay?.close(),
    };
}
