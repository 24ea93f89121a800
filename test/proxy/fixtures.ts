import { createMonotonicClock } from "@trefoilladder/clock";
import { applyRecord, createConfiguration, createKey } from "@trefoilladder/configuration";
import type { Configuration } from "@trefoilladder/configuration";
import { createCallerServer, createProxy } from "@trefoilladder/proxy";
import type { Proxy, ProxyOptions, ProxyParts } from "@trefoilladder/proxy";
import type { Quota } from "@trefoilladder/quota";
import { RoutingFailure } from "@trefoilladder/routing";
import type { AttemptReport, Router } from "@trefoilladder/routing";
import { createTelemetry } from "@trefoilladder/telemetry";
import { err, ok } from "neverthrow";
import { once } from "node:events";
import { createServer } from "node:http";
import type { Server } from "node:http";
import { connect, createServer as createTcpServer } from "node:net";
import type { AddressInfo, Socket } from "node:net";
import { Pool } from "undici";

/** Configuration with two organisations and keys, a plan with lookups (GET) and orders (POST), and a public plan. */
export function buildConfiguration(): { configuration: Configuration; key: string; keyId: string; otherKey: string; } {
    const configuration = createConfiguration();
    const [created, other] = [createKey("laurel"), createKey("mboni")];
    const plan = { ratePerSecond: 1000, burst: 1000 };
    const changes = [
        {
            kind: "put-plan",
            revision: 0,
            plan: {
                name: "standard",
                ...plan,
                routes: [
                    { name: "lookups", service: "dossier", pathPrefix: "/nominees", methods: ["GET", "HEAD"] },
                    { name: "orders", service: "dossier", pathPrefix: "/orders", methods: ["POST"] },
                ],
            },
        },
        {
            kind: "put-plan",
            revision: 0,
            plan: {
                name: "public",
                open: true,
                ...plan,
                routes: [{ name: "charts", service: "dossier", pathPrefix: "/charts", methods: ["GET"] }],
            },
        },
        { kind: "put-organisation", revision: 0, organisation: { name: "laurel", plan: "standard" } },
        { kind: "put-organisation", revision: 0, organisation: { name: "mboni", plan: "standard" } },
        { kind: "create-key", key: created.key },
        { kind: "create-key", key: other.key },
    ];
    const verdict = applyRecord(configuration, { offset: 0, value: { id: "initial-lists", changes } });
    expect(verdict?.code).toBe("accepted");
    return { configuration, key: created.text, keyId: created.key.id, otherKey: other.text };
}

/** Router that tries fixed origins in order and records each attempt report. */
export function createFakeRouter(origins: readonly string[], beforeSlot: () => Promise<void> = async () => undefined) {
    const pools = origins.map(origin => new Pool(origin, { connections: 1, pipelining: 1 }));
    const reports: (AttemptReport & { target: string; })[] = [];
    const state = { held: 0 };
    const router: Pick<Router, "updateTargets" | "acquire" | "close"> = {
        updateTargets: () => undefined,
        async acquire({ excludedTargets }) {
            await beforeSlot();
            const index = origins.findIndex((_, candidate) => !excludedTargets.has(`t${candidate}`));
            if (index < 0) {
                return err(new RoutingFailure("no_target", "no target is left"));
            }
            const target = { id: `t${index}`, service: "dossier", origin: origins[index]!, domain: "a" };
            state.held += 1;
            return ok({
                target,
                dispatcher: pools[index]!,
                release(report) {
                    state.held -= 1;
                    reports.push({ target: target.id, ...report });
                },
            });
        },
        close: async () => void await Promise.all(pools.map(pool => pool.destroy())),
    };
    return { router, reports, state };
}

export interface ProxyFixture {
    url: string;
    port: number;
    key: string;
    keyId: string;
    otherKey: string;
    configuration: Configuration;
    proxy: Proxy;
    server: Server;
    reports: (AttemptReport & { target: string; })[];
    slots: { held: number; };
    close(): Promise<void>;
}

const unlimited: Quota = { admit: async () => ok(undefined) };

export async function startProxy(
    origins: readonly string[],
    options: ProxyOptions = {},
    parts: Partial<ProxyParts> & { beforeSlot?: () => Promise<void>; } = {},
): Promise<ProxyFixture> {
    const built = buildConfiguration();
    const { router, reports, state } = createFakeRouter(origins, parts.beforeSlot);
    const telemetry = createTelemetry({ instance: "test", level: "silent" });
    const clock = createMonotonicClock();
    const proxy = createProxy({
        configuration: built.configuration,
        quota: unlimited,
        router,
        clock,
        telemetry,
        ...parts,
    }, options);
    const server = createCallerServer(proxy, options);
    const port = await listen(server);
    return {
        ...built,
        url: `http://127.0.0.1:${port}`,
        port,
        proxy,
        server,
        reports,
        slots: state,
        async close() {
            server.close();
            server.closeAllConnections();
            await Promise.all([proxy.close(), router.close()]);
        },
    };
}

export async function listen(server: { listen(port: number, host: string): unknown; address(): unknown; }) {
    server.listen(0, "127.0.0.1");
    await once(server as Server, "listening");
    return (server.address() as AddressInfo).port;
}

/** Target that sends raw bytes: the handler receives the socket and the received data as text. */
export async function startRawTarget(
    handler: (socket: Socket, text: string, requestIndex: number, connectionIndex: number) => void,
) {
    let requests = 0;
    let connections = 0;
    const sockets = new Set<Socket>();
    const received: string[] = [];
    const server = createTcpServer(socket => {
        const connection = connections++;
        sockets.add(socket);
        socket.on("error", () => undefined).on("close", () => sockets.delete(socket));
        socket.on("data", data => {
            received.push(data.toString());
            handler(socket, data.toString(), requests++, connection);
        });
    });
    const port = await listen(server);
    return {
        origin: `http://127.0.0.1:${port}`,
        received,
        connections: () => connections,
        closed: () => connections - sockets.size,
        close() {
            sockets.forEach(socket => socket.destroy());
            server.close();
        },
    };
}

/** Builds a raw HTTP response with a content length. */
export function rawResponse(body: string, status = "200 OK", headers: Record<string, string> = {}): string {
    const lines = Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`).join("");
    return `HTTP/1.1 ${status}\r\n${lines}content-length: ${body.length}\r\n\r\n${body}`;
}

/** Sends raw text on a new connection; returns the first complete response, or the data received within `waitMs`. */
export async function sendRaw(port: number, text: string, waitMs = 1_000): Promise<string> {
    const socket = connect(port, "127.0.0.1");
    let response = "";
    await new Promise<void>(resolve => {
        const timer = setTimeout(resolve, waitMs);
        const finish = () => {
            clearTimeout(timer);
            resolve();
        };
        socket.on("error", () => undefined).on("close", finish).on("data", data => {
            response += data.toString();
            const [head, body] = [response.split("\r\n\r\n", 1)[0]!, response.slice(response.indexOf("\r\n\r\n") + 4)];
            if (body.length >= Number(/content-length: (\d+)/i.exec(head)?.[1] ?? Infinity)) {
                finish();
            }
        });
        socket.write(text);
    });
    socket.destroy();
    return response;
}

/** Returns an origin on which no server listens. */
export async function closedOrigin(): Promise<string> {
    const server = createServer();
    const port = await listen(server);
    server.close();
    await once(server, "close");
    return `http://127.0.0.1:${port}`;
}

/** Raw target started by `startRawTarget`. */
export type RawTarget = Awaited<ReturnType<typeof startRawTarget>>;

/** Closes the targets and fixtures of a test after it ends, even if it fails. */
export function useRawTargets() {
    const open: { close(): unknown; }[] = [];
    afterEach(async () => {
        await Promise.all(open.splice(0).map(item => item.close()));
    });
    return {
        open,
        async target(...handler: Parameters<typeof startRawTarget>): Promise<RawTarget> {
            const started = await startRawTarget(...handler);
            open.push(started);
            return started;
        },
    };
}
