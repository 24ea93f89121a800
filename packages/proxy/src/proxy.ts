import type { HttpBindings } from "@hono/node-server";
import { RESPONSE_ALREADY_SENT } from "@hono/node-server/utils/response";
import type { Clock } from "@trefoilladder/clock";
import { isIdempotent, openOrganisation, parseKey, selectRoute, verifySecret } from "@trefoilladder/configuration";
import type { Configuration, Plan, Route } from "@trefoilladder/configuration";
import type { Quota } from "@trefoilladder/quota";
import { attemptOutcome } from "@trefoilladder/routing";
import type { Attempt, Router } from "@trefoilladder/routing";
import type { Telemetry } from "@trefoilladder/telemetry";
import { Hono } from "hono";
import { err, ok, safeTry } from "neverthrow";
import type { Result } from "neverthrow";
import { randomUUID } from "node:crypto";
import type { IncomingMessage, ServerResponse } from "node:http";
import { pipeline } from "node:stream/promises";
import { callerHeader, requestOutcome } from "./caller-interface";
import { sendProblem } from "./problem";
import type { Problem } from "./problem";

/** Collaborators of the proxy. */
export interface ProxyParts {
    configuration: Configuration;
    quota: Quota;
    router: Router;
    clock: Clock;
    telemetry: Telemetry;
}

interface Grant {
    organisation: string;
    plan: Plan;
    route: Route;
}

const defaultDeadlineMs = 10_000;
const hopByHopHeaders = new Set([
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
]);

function notRun(code: Problem["code"], detail: string, retryAfterMs?: number): Problem {
    return { code, outcome: requestOutcome.notRun, detail, retryAfterMs };
}

function findOpenGrant(configuration: Configuration, method: string, path: string): Grant | undefined {
    for (const { value: plan } of configuration.plans.values()) {
        const route = plan.open === true ? selectRoute(plan, method, path) : undefined;
        if (route !== undefined) {
            return { organisation: openOrganisation(plan), plan, route };
        }
    }
    return undefined;
}

function authorise(configuration: Configuration, request: IncomingMessage, path: string): Result<Grant, Problem> {
    const method = request.method ?? "GET";
    const header = request.headers.authorization;
    if (header === undefined) {
        const open = findOpenGrant(configuration, method, path);
        return open === undefined ? err(notRun("key_missing", "the route needs a key")) : ok(open);
    }
    const parsed = header.startsWith("Bearer ") ? parseKey(header.slice("Bearer ".length)) : undefined;
    const key = parsed === undefined ? undefined : configuration.keys.get(parsed.id)?.value;
    if (parsed === undefined || key === undefined || !verifySecret(key, parsed.secret)) {
        return err(notRun("key_invalid", "the key is unknown or revoked"));
    }
    const organisation = configuration.organisations.get(key.organisation)?.value;
    const plan = organisation === undefined ? undefined : configuration.plans.get(organisation.plan)?.value;
    const route = plan === undefined ? undefined : selectRoute(plan, method, path);
    if (plan === undefined || route === undefined) {
        return err(notRun("route_unknown", "the plan has no such route"));
    }
    return ok({ organisation: key.organisation, plan, route });
}

function readDeadline(request: IncomingMessage): Result<number, Problem> {
    const text = request.headers[callerHeader.deadline];
    if (text === undefined) {
        return ok(defaultDeadlineMs);
    }
    if (typeof text !== "string" || !/^-?\d{1,9}$/.test(text)) {
        return err(notRun("deadline_invalid", "the deadline is not a whole number of milliseconds"));
    }
    return Number(text) > 0 ? ok(Number(text)) : err(notRun("deadline_passed", "the deadline has passed"));
}

function forwardedHeaders(request: IncomingMessage, requestId: string, remainingMs: number): Record<string, string> {
    const headers: Record<string, string> = {};
    for (const [name, value] of Object.entries(request.headers)) {
        if (!hopByHopHeaders.has(name) && name !== "host" && name !== "authorization" && value !== undefined) {
            headers[name] = Array.isArray(value) ? value.join(", ") : value;
        }
    }
    headers[callerHeader.requestId] = requestId;
    headers[callerHeader.deadline] = String(Math.max(1, Math.floor(remainingMs)));
    return headers;
}

/** Creates the HTTP application that serves callers. */
export function createProxy(parts: ProxyParts): Hono<{ Bindings: HttpBindings; }> {
    const { configuration, quota, router, clock, telemetry } = parts;
    const app = new Hono<{ Bindings: HttpBindings; }>();

    async function forward(
        attempt: Attempt,
        incoming: IncomingMessage,
        outgoing: ServerResponse,
        context: { requestId: string; deadlineAt: number; signal: AbortSignal; },
    ): Promise<void> {
        const startedAt = clock.now();
        const remainingMs = context.deadlineAt - startedAt;
        const hasBody = incoming.headers["content-length"] !== undefined
            || incoming.headers["transfer-encoding"] !== undefined;
        try {
            const answer = await attempt.dispatcher.request({
                path: incoming.url ?? "/",
                method: incoming.method as "GET",
                headers: forwardedHeaders(incoming, context.requestId, remainingMs),
                body: hasBody ? incoming : undefined,
                signal: AbortSignal.any([context.signal, AbortSignal.timeout(Math.max(1, Math.floor(remainingMs)))]),
            });
            const headersMs = clock.now() - startedAt;
            for (const [name, value] of Object.entries(answer.headers)) {
                if (!hopByHopHeaders.has(name) && value !== undefined) {
                    outgoing.setHeader(name, value);
                }
            }
            outgoing.setHeader(callerHeader.requestId, context.requestId);
            outgoing.setHeader(callerHeader.outcome, requestOutcome.ran);
            outgoing.writeHead(answer.statusCode);
            await pipeline(answer.body, outgoing);
            attempt.release({ outcome: attemptOutcome.completed, headersMs });
        }
        catch {
            attempt.release({ outcome: attemptOutcome.reset });
            if (outgoing.headersSent) {
                outgoing.destroy();
                return;
            }
            sendProblem(outgoing, {
                code: "target_unreachable",
                outcome: requestOutcome.unknown,
                detail: "the target gave no complete response",
            }, context.requestId);
        }
    }

    async function handle(incoming: IncomingMessage, outgoing: ServerResponse): Promise<void> {
        const receivedAt = clock.now();
        const requestId = incoming.headers[callerHeader.requestId]?.toString() ?? randomUUID();
        const caller = new AbortController();
        outgoing.once("close", () => caller.abort());
        const path = (incoming.url ?? "/").split("?", 1)[0]!;

        const admitted = await safeTry(async function*() {
            const grant = yield* authorise(configuration, incoming, path);
            const deadlineMs = yield* readDeadline(incoming);
            const deadlineAt = receivedAt + deadlineMs;
            const { ratePerSecond, burst } = grant.plan;
            yield* (await quota.admit({
                organisation: grant.organisation,
                ratePerSecond,
                burst,
                deadlineAt,
                signal: caller.signal,
            })).mapErr(refusal => notRun(refusal.code, refusal.message, refusal.retryAfterMs));
            const attempt = yield* (await router.acquire({
                service: grant.route.service,
                organisation: grant.organisation,
                deadlineAt,
                excluded: new Set(),
                signal: caller.signal,
            })).mapErr(failure => notRun(failure.code, failure.message, 1_000));
            return ok({ grant, deadlineAt, attempt });
        });
        if (admitted.isErr()) {
            telemetry.count("requests.refused", { code: admitted.error.code });
            sendProblem(outgoing, admitted.error, requestId);
            return;
        }
        const { grant, deadlineAt, attempt } = admitted.value;
        await forward(attempt, incoming, outgoing, { requestId, deadlineAt, signal: caller.signal });
        const requestClass = isIdempotent(grant.route, incoming.method ?? "GET") ? "idempotent" : "non-idempotent";
        telemetry.recordDuration(grant.organisation, requestClass, clock.now() - receivedAt);
    }

    app.all("*", async context => {
        await handle(context.env.incoming, context.env.outgoing);
        return RESPONSE_ALREADY_SENT;
    });
    return app;
}
