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
import { authenticate, authorise, recheckGrant } from "./authorisation";
import type { Grant } from "./authorisation";
import { callerHeader, idempotencyKeysPath, relayPath, requestOutcome } from "./caller-interface";
import { parseCallerRequest, readRequestId } from "./caller-request";
import type { CallerRequest } from "./caller-request";
import { openExchange } from "./exchange";
import type { Exchange } from "./exchange";
import { problemOfIdempotencyFailure, settleRun } from "./idempotent-run";
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
import type { SentResponse } from "./sent-response";

/** Conditions under which this instance may admit requests. */
export interface Admission {
    /** Whether the instance currently holds its contact lease. */
    holdsLease(): boolean;
    /** Whether the instance has applied the newest configuration that it knows of. */
    isFresh(): boolean;
}

/** Idempotency register of this instance and lookup of the instances that issued other keys. */
export interface IdempotencyParts {
    register: IdempotencyRegister;
    /** Returns the origin of the inner listener of a live incarnation, for example `http://127.0.0.1:9102`. */
    resolveIssuer(incarnation: string): string | undefined;
}

/** Dependencies of the proxy. */
export interface ProxyParts {
    configuration: Configuration;
    quota: Quota;
    router: Pick<Router, "acquire">;
    clock: Clock;
    telemetry: Telemetry;
    /** If omitted, the instance always admits requests. */
    admission?: Admission;
    /** If omitted, the proxy neither issues nor accepts idempotency keys. */
    idempotency?: IdempotencyParts;
}

/** The request handling of one instance. */
export interface Proxy {
    /** Handles requests of callers; a request listener for a Node.js server. */
    listener(incoming: IncomingMessage, outgoing: ServerResponse): void;
    /** Handles requests of callers; for the Node.js adapter of Hono. */
    fetch: Hono<{ Bindings: HttpBindings; }>["fetch"];
    /** Handles requests relayed by other instances; must be mounted on the inner listener only. */
    relayApp: Hono<{ Bindings: HttpBindings; }>;
    close(): Promise<void>;
}

/** Creates the proxy of an instance. */
export function createProxy(parts: ProxyParts, proxyOptions: ProxyOptions = {}): Proxy {
    const { configuration, clock, telemetry, admission, idempotency } = parts;
    const options = resolveProxyOptions(proxyOptions);
    const nextRequestId = createRequestIds();
    const latency = createLatencyEstimate({ minMs: options.minHeadersStallMs, maxMs: options.maxHeadersStallMs });
    const recentRequests = createRecentRequests();

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
        recentRequests,
        checkAdmission,
    };
    const issuerRelay = idempotency === undefined ? undefined : createIssuerRelay({
        resolveIssuer: idempotency.resolveIssuer,
        clock,
        options,
        latency,
        recentRequests,
        checkBeforeSend: request =>
            checkAdmission().andThen(() => authorise(configuration, request)).map(() => undefined),
    });

    function issueKey(exchange: Exchange, request: CallerRequest): Result<SentResponse, Problem> {
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

    async function runWithClaim(
        exchange: Exchange,
        request: CallerRequest,
        grant: Grant,
        run: Run,
        maxResponseBytes: number,
    ): Promise<Result<SentResponse, Problem>> {
        try {
            const result = await runRequest(runParts, exchange, request, grant, maxResponseBytes);
            settleRun(run, result);
            return result;
        }
        catch (error) {
            run.recordUnknown();
            throw error;
        }
    }

    async function runWithIdempotencyKey(
        exchange: Exchange,
        request: CallerRequest,
        grant: Grant,
        keyText: string,
        relayed: boolean,
    ): Promise<Result<SentResponse, Problem>> {
        if (idempotency === undefined || issuerRelay === undefined) {
            return err(notRun("idempotency_key_not_issued", "the instance issues no idempotency keys"));
        }
        const { register } = idempotency;
        return safeTry(async function*() {
            const key = yield* register.verify(keyText, grant.organisation).mapErr(problemOfIdempotencyFailure);
            if (key.incarnation !== register.incarnation) {
                return relayed
                    ? err(unknownOutcome("outcome_unknown", "this incarnation did not issue the idempotency key"))
                    : issuerRelay.send(exchange, request, key);
            }
            const claim = yield* (await register.claim(key, `${request.method} ${request.url}`, {
                deadlineAt: exchange.deadlineAt,
                signal: exchange.signal,
            })).mapErr(problemOfIdempotencyFailure);
            if (claim.kind === "answered") {
                // The key may have been revoked during the wait.
                yield* recheckGrant(configuration, request, grant)
                    .mapErr(problem => ({ ...problem, outcome: requestOutcome.ran }));
                sendResponse(exchange, { ...claim.response, outcome: requestOutcome.ran });
                return ok({ complete: true });
            }
            return runWithClaim(exchange, request, grant, claim.run, register.maxResponseBytes);
        });
    }

    /** Validates the request head and authorises the caller; runs synchronously. */
    function admitRequest(
        exchange: Exchange,
        url: string,
    ): Result<{ request: CallerRequest; grant?: Grant; }, Problem> {
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

    // Asynchronous steps use plain await: a generator around them costs a tenth of the CPU time of request handling.
    async function serve(exchange: Exchange, url: string, relayed: boolean): Promise<Result<SentResponse, Problem>> {
        const admitted = admitRequest(exchange, url);
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
            : await runWithIdempotencyKey(exchange, request, grant, request.idempotencyKey ?? "", relayed);
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
            const outcome = exchange.mayHaveRun ? requestOutcome.unknown : requestOutcome.notRun;
            sendProblem(outgoing, { code: "internal_error", outcome, detail: "the proxy failed" }, exchange.requestId);
        }
    }

    const callerApp = new Hono<{ Bindings: HttpBindings; }>();
    callerApp.all("*", async ({ env }) => {
        await handle(env.incoming, env.outgoing, env.incoming.url ?? "/", false);
        return RESPONSE_ALREADY_SENT;
    });
    const relayApp = new Hono<{ Bindings: HttpBindings; }>();
    relayApp.all(`${relayPath}/*`, async ({ env }) => {
        await handle(env.incoming, env.outgoing, (env.incoming.url ?? "/").slice(relayPath.length), true);
        return RESPONSE_ALREADY_SENT;
    });

    return {
        listener: (incoming, outgoing) => void handle(incoming, outgoing, incoming.url ?? "/", false),
        fetch: callerApp.fetch,
        relayApp,
        close: async () => issuerRelay?.close(),
    };
}
