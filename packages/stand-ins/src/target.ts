import type { HttpBindings } from "@hono/node-server";
import { RESPONSE_ALREADY_SENT } from "@hono/node-server/utils/response";
import { Hono } from "hono";
import { once } from "node:events";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { setTimeout as delay } from "node:timers/promises";
import { z } from "zod";
import { serveApplication } from "./http-server";
import { createRandom } from "./random";
import { sharedNow } from "./shared-clock";

/** Schema of a target's faults; rates are probabilities per request. */
export const targetBehaviourSchema = z.strictObject({
    /** Factor on the service time. */
    slowFactor: z.number().positive().default(1),
    /** Rate of 500 responses, sent after the request ran. */
    errorRate: z.number().min(0).max(1).default(0),
    stallBeforeHeadersRate: z.number().min(0).max(1).default(0),
    stallAfterHeadersRate: z.number().min(0).max(1).default(0),
    /** Rate of responses that end before their content length. */
    truncateRate: z.number().min(0).max(1).default(0),
    /** Delay added to every response, in milliseconds. */
    lateMs: z.number().min(0).default(0),
    /** The load endpoint always reports no load. */
    falseLoad: z.boolean().default(false),
    /** Responses carry `x-target-state: draining` and the health endpoint fails. */
    draining: z.boolean().default(false),
    /** Requests to the listener of this failure domain receive no response; empty for none. */
    dropDomain: z.string().default(""),
});

/** Faults of a target, which can be changed while it runs. */
export type TargetBehaviour = z.infer<typeof targetBehaviourSchema>;

/** A request that a target ran. Times are milliseconds on the shared clock. */
export interface Execution {
    target: string;
    requestId: string;
    idempotencyKey?: string;
    /** Token from the body, or from the query of a request without body. */
    token: string;
    method: string;
    path: string;
    sawKey: boolean;
    startedAt: number;
}

/** Options of a target. */
export interface TargetOptions {
    id: string;
    port?: number;
    /** @default 1 */
    seed?: number;
    /** Maximum number of concurrent requests; further ones are shed. @default 6 */
    slots?: number;
    /** Median service time in milliseconds. @default 0 */
    serviceMs?: number;
    /** Shape of the log-normal service time. @default 0.4 */
    serviceSigma?: number;
    /** Duration of the cold start in milliseconds. @default 0 */
    coldMs?: number;
    /** Failure domains with a separate listener. @default [] */
    domains?: readonly string[];
}

/** Stand-in for a target. */
export interface TargetStandIn {
    url: string;
    port: number;
    /** Ports of the failure domains' listeners, by domain. */
    domainPorts: Record<string, number>;
    close(): Promise<void>;
}

const maxConnections = 400;
const connectionSetupMs = 1;
const probeServiceMs = 25;
/** Factor on the service time at the beginning of a cold start; it decreases linearly to 1. */
const coldStartFactor = 5;
const retryAfterSeconds = 1;

async function readBody(incoming: IncomingMessage): Promise<string | undefined> {
    const chunks: Buffer[] = [];
    try {
        for await (const chunk of incoming) {
            chunks.push(chunk as Buffer);
        }
    }
    catch {
        return undefined;
    }
    return Buffer.concat(chunks).toString();
}

function readToken(body: string, url: URL): string {
    try {
        return String((JSON.parse(body) as { token?: unknown; }).token ?? "");
    }
    catch {
        return url.searchParams.get("token") ?? "";
    }
}

/** Starts a target on loopback that echoes every request. */
export async function startTarget(options: TargetOptions): Promise<TargetStandIn> {
    const slots = options.slots ?? 6;
    const serviceMs = options.serviceMs ?? 0;
    const coldMs = options.coldMs ?? 0;
    const random = createRandom(options.seed ?? 1);
    const startedAt = sharedNow();
    const seenSockets = new WeakSet<Socket>();
    let behaviour = targetBehaviourSchema.parse({});
    let executions: Execution[] = [];
    const counts = { shed: 0, probes: 0 };
    let inFlight = 0;
    let connections = 0;

    function serviceTime(): number {
        if (serviceMs === 0) {
            return behaviour.lateMs;
        }
        const warmUpProgress = coldMs === 0 ? 1 : Math.min(1, (sharedNow() - startedAt) / coldMs);
        const factor = behaviour.slowFactor * (coldStartFactor + (1 - coldStartFactor) * warmUpProgress);
        return factor * random.logNormal(serviceMs, options.serviceSigma ?? 0.4) + behaviour.lateMs;
    }

    function send(
        outgoing: ServerResponse,
        status: number,
        value: unknown,
        headers: Record<string, string> = {},
    ): void {
        const body = JSON.stringify(value);
        outgoing.writeHead(status, {
            "content-type": "application/json",
            "content-length": Buffer.byteLength(body),
            ...(behaviour.draining ? { "x-target-state": "draining" } : {}),
            ...headers,
        });
        outgoing.end(body);
    }

    function shed(outgoing: ServerResponse): void {
        counts.shed += 1;
        send(outgoing, 503, { error: "no free slot" }, {
            "retry-after": String(retryAfterSeconds),
            "x-not-run": "true",
        });
    }

    /** Waits for the service time; returns false when the client cancelled. */
    async function waitForService(ms: number, outgoing: ServerResponse): Promise<boolean> {
        if (ms > 0) {
            const cancelled = new AbortController();
            const cancel = () => cancelled.abort();
            outgoing.once("close", cancel);
            await delay(ms, undefined, { signal: cancelled.signal }).catch(() => undefined);
            outgoing.off("close", cancel);
        }
        return !outgoing.destroyed;
    }

    async function respond(outgoing: ServerResponse, execution: Execution, body: string): Promise<void> {
        const { target, requestId, method, path, sawKey, token } = execution;
        const value = { target, method, path, requestId, sawKey, body, token };
        if (random.chance(behaviour.stallBeforeHeadersRate)) {
            await once(outgoing, "close");
            return;
        }
        if (random.chance(behaviour.errorRate)) {
            send(outgoing, 500, { error: "fault", ...value });
            return;
        }
        const stall = random.chance(behaviour.stallAfterHeadersRate);
        if (stall || random.chance(behaviour.truncateRate)) {
            const text = JSON.stringify(value);
            outgoing.writeHead(200, { "content-type": "application/json", "content-length": Buffer.byteLength(text) });
            const closed = once(outgoing, "close");
            outgoing.write(text.slice(0, text.length / 2), () => void (stall || outgoing.destroy()));
            await closed;
            return;
        }
        send(outgoing, 200, value);
    }

    async function runRequest(incoming: IncomingMessage, outgoing: ServerResponse, url: URL): Promise<void> {
        const isNewConnection = !seenSockets.has(incoming.socket);
        seenSockets.add(incoming.socket);
        const body = await readBody(incoming);
        if (body === undefined) {
            return;
        }
        const requestId = incoming.headers["request-id"]?.toString() ?? "";
        const execution: Execution = {
            target: options.id,
            requestId,
            idempotencyKey: incoming.headers["idempotency-key"]?.toString(),
            token: readToken(body, url),
            method: incoming.method ?? "GET",
            path: url.pathname,
            sawKey: incoming.headers.authorization !== undefined,
            startedAt: sharedNow(),
        };
        executions.push(execution);
        if (await waitForService(serviceTime() + (isNewConnection ? connectionSetupMs : 0), outgoing)) {
            await respond(outgoing, execution, body);
        }
    }

    async function handleProbe(outgoing: ServerResponse): Promise<void> {
        counts.probes += 1;
        if (await waitForService(probeServiceMs, outgoing)) {
            send(outgoing, behaviour.draining ? 503 : 200, { status: behaviour.draining ? "draining" : "ok" });
        }
    }

    async function handle(incoming: IncomingMessage, outgoing: ServerResponse, domain?: string): Promise<void> {
        const url = new URL(incoming.url ?? "/", "http://target");
        if (domain !== undefined && domain === behaviour.dropDomain) {
            await once(outgoing, "close");
            return;
        }
        if (url.pathname === "/load") {
            send(outgoing, 200, { inFlight: behaviour.falseLoad ? 0 : inFlight, slots });
            return;
        }
        if (inFlight >= slots) {
            shed(outgoing);
            return;
        }
        inFlight += 1;
        try {
            await (url.pathname === "/health" ? handleProbe(outgoing) : runRequest(incoming, outgoing, url));
        }
        finally {
            inFlight -= 1;
        }
    }

    function createApplication(domain?: string): Hono<{ Bindings: HttpBindings; }> {
        const app = new Hono<{ Bindings: HttpBindings; }>();
        app.get("/control/domains", context => context.json(domainPorts));
        app.get("/control/executions", context => context.json({ executions, counts }));
        app.delete("/control/executions", context => {
            executions = [];
            return context.body(null, 204);
        });
        app.put("/control/behaviour", async context => {
            const changed = targetBehaviourSchema.safeParse({ ...behaviour, ...await context.req.json<object>() });
            if (!changed.success) {
                return context.json({ issues: changed.error.issues }, 400);
            }
            behaviour = changed.data;
            return context.json(behaviour);
        });
        app.all("*", async context => {
            await handle(context.env.incoming, context.env.outgoing, domain);
            return RESPONSE_ALREADY_SENT;
        });
        return app;
    }

    function limitConnections(socket: Socket): void {
        connections += 1;
        socket.once("close", () => connections -= 1);
        if (connections > maxConnections) {
            socket.destroy();
        }
    }

    const server = await serveApplication(createApplication().fetch, options.port ?? 0);
    const domainServers = await Promise.all((options.domains ?? []).map(async domain => {
        const opened = await serveApplication(createApplication(domain).fetch, 0);
        return [domain, opened] as const;
    }));
    const domainPorts = Object.fromEntries(domainServers.map(([domain, opened]) => [domain, opened.port]));
    const servers = [server, ...domainServers.map(([, opened]) => opened)];
    servers.forEach(opened => opened.server.on("connection", limitConnections));
    return {
        url: `http://127.0.0.1:${server.port}`,
        port: server.port,
        domainPorts,
        close: async () => void await Promise.all(servers.map(opened => opened.close())),
    };
}
