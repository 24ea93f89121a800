/**
 * Test bed of the review's scripts: starts the gateway with the command of the deploy file, and small stand-ins of the store and of
 * the targets. Everything listens on loopback addresses.
 */

import { spawn } from "node:child_process";
import { once } from "node:events";
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { createServer as createHttpServer } from "node:http";
import { connect, createServer as createTcpServer } from "node:net";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";
import { setTimeout as delay } from "node:timers/promises";
import { fileURLToPath } from "node:url";

const root = join(dirname(fileURLToPath(import.meta.url)), "..", "..");

/** Bounds of the small site that the scripts quote. */
export const bounds = { graceS: 6, retryBudgetRatio: 0.2, retrySlack: 60 };

/** Exit codes of a case. */
export const verdict = { held: 0, broken: 1, notRun: 2 };

/** Whether the disruption takes place. */
export const hasTrouble = process.env.TROUBLE !== "0";

export { delay };

/** Collects what was sent, answered and run, and writes it to `record.txt` beside the case. */
export function createRecord(caseUrl) {
    const startedAt = performance.now();
    const lines = [];
    return {
        add(text) {
            lines.push(`${(performance.now() - startedAt).toFixed(1).padStart(9)} ms  ${text}`);
        },
        write() {
            writeFileSync(join(dirname(fileURLToPath(caseUrl)), "record.txt"), `${lines.join("\n")}\n`);
        },
    };
}

/** Processes that this case has started; none outlives it, however it ends. */
const children = new Set();
process.on("exit", () => children.forEach(child => child.kill("SIGKILL")));
process.on("SIGTERM", () => process.exit(verdict.notRun));
process.on("uncaughtException", error => {
    process.stderr.write(`${error.stack}\n`);
    process.exit(verdict.notRun);
});

async function freePort(host) {
    const server = createTcpServer().listen(0, host);
    await once(server, "listening");
    const { port } = server.address();
    server.close();
    await once(server, "close");
    return port;
}

function encodeRecord(key, value) {
    const keyBytes = Buffer.from(key);
    const content = Buffer.concat([Buffer.from([keyBytes.length]), keyBytes, Buffer.from(value)]);
    const length = Buffer.alloc(4);
    length.writeUInt32BE(content.length);
    return Buffer.concat([length, content]);
}

/** Starts a stand-in of the store: keyed topics with append, long-polling read and the newest records. */
async function startStore() {
    const topics = new Map();
    let waiters = [];

    function recordsOf(topic) {
        if (!topics.has(topic)) {
            topics.set(topic, []);
        }
        return topics.get(topic);
    }

    function append(topic, bytes) {
        const records = recordsOf(topic);
        let position = 0;
        while (position < bytes.length) {
            const end = position + 4 + bytes.readUInt32BE(position);
            records.push(bytes.subarray(position, end));
            position = end;
        }
        const woken = waiters;
        waiters = [];
        woken.forEach(wake => wake());
    }

    function newest(topic) {
        const items = new Map();
        recordsOf(topic).forEach((record, offset) => {
            const key = record.toString("utf8", 5, 5 + record[4]);
            const value = record.subarray(5 + record[4]);
            items.delete(key);
            if (value.length > 0) {
                items.set(key, { Key: key, Value: value.toString("base64"), Offset: offset });
            }
        });
        return { items: [...items.values()], HasMore: false, EndOffset: recordsOf(topic).length };
    }

    async function read(topic, from, waitMs) {
        if (recordsOf(topic).length <= from) {
            await Promise.race([new Promise(resolve => waiters.push(resolve)), delay(waitMs)]);
        }
        const offsets = Buffer.alloc(16);
        offsets.writeBigUInt64BE(BigInt(recordsOf(topic).length));
        return Buffer.concat([offsets, ...recordsOf(topic).slice(from)]);
    }

    async function handle(incoming, outgoing) {
        const url = new URL(incoming.url, "http://store");
        const topic = url.searchParams.get("Topic");
        const chunks = [];
        for await (const chunk of incoming) {
            chunks.push(chunk);
        }
        if (url.pathname === "/api/log-append") {
            append(topic, Buffer.concat(chunks));
            const end = recordsOf(topic).length;
            outgoing.end(JSON.stringify({ Offset: end - 1, EndOffset: end }));
        }
        else if (url.pathname === "/api/log-newest") {
            outgoing.end(JSON.stringify(newest(topic)));
        }
        else if (url.pathname === "/api/log-read") {
            const { searchParams } = url;
            outgoing.end(await read(topic, Number(searchParams.get("From")), Number(searchParams.get("WaitMs") ?? 0)));
        }
        else {
            outgoing.writeHead(404).end();
        }
    }

    const server = createHttpServer((incoming, outgoing) => {
        handle(incoming, outgoing).catch(() => outgoing.destroy());
    }).listen(0, "127.0.0.1");
    await once(server, "listening");
    return {
        address: `127.0.0.1:${server.address().port}`,
        put: (topic, key, value) => append(topic, encodeRecord(key, JSON.stringify(value))),
        close() {
            server.close();
            server.closeAllConnections();
        },
    };
}

/** Starts a target; `handle` receives the request with its complete body, the response and the target. */
async function startTarget(id, handle) {
    const server = createHttpServer((incoming, outgoing) => {
        const chunks = [];
        incoming.on("data", chunk => chunks.push(chunk));
        incoming.on("end", () => handle(incoming, outgoing, { id, body: Buffer.concat(chunks) }));
        incoming.on("error", () => undefined);
        outgoing.on("error", () => undefined);
    });
    server.keepAliveTimeout = 10_000;
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    return { id, port: server.address().port, server };
}

/** Returns the headers that every response of a sound target has. */
export function targetHeaders(incoming, id) {
    const requestId = incoming.headers["request-id"];
    return { "Request-Id": requestId, "Response-Signature": `${id}.${requestId}` };
}

function routeResource({ name, type, timeoutMs }) {
    const spec = {
        Host: "site.example",
        PathPrefix: `/${name}/`,
        Type: type,
        TimeoutMs: timeoutMs,
        TargetLatencyMs: 1_000,
        Priority: 1,
        Service: "archive",
        MaxAttempts: 2,
        Public: false,
    };
    return { ResourceType: "Routes", Metadata: { Name: name }, Spec: spec };
}

/** Returns the arguments of the gateway's command in the deploy file. */
function gatewayArguments() {
    const [, run] = /^run = "node (.*)"$/m.exec(readFileSync(join(root, "deploy", "system.toml"), "utf8"));
    return run.split(" ");
}

function readyStatus(host, port) {
    return new Promise(resolve => {
        const socket = connect({ host, port });
        let text = "";
        socket.on("data", chunk => text += chunk);
        socket.on("error", () => resolve(0));
        socket.on("close", () => resolve(Number(/^HTTP\/1\.1 (\d+)/.exec(text)?.[1] ?? 0)));
        socket.setTimeout(500, () => socket.destroy());
        socket.write("GET /api/ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n");
    });
}

/**
 * Starts the store, the targets and the gateways.
 *
 * @param options gateways: number of gateways; targets: number of targets; routes: the routes; tenant: rate and burst of the tenant;
 *     handle: request handler of the targets; record: the record of the case; log: whether the gateways log to standard error
 */
export async function startBed({ gateways, targets, routes, tenant, handle, record }) {
    const directory = mkdtempSync(join(tmpdir(), "review-"));
    const store = await startStore();
    const ports = await Promise.all(Array.from({ length: 5 }, () => freePort("127.0.2.1")));
    const [callersPort, readinessPort, peersPort, meshPort, metricsPort] = ports;
    const listed = [];
    for (let index = 0; index < targets; index++) {
        listed.push(await startTarget(`i-${index}`, handle));
    }
    const hosts = Array.from({ length: gateways }, (_, index) => `127.0.2.${index + 1}`);
    const instances = new Map();

    function publish(version, { ratePerS = 0, burst = 0, moreRoutes = [] } = {}) {
        const resources = [
            ...[...routes, ...moreRoutes].map(routeResource),
            {
                ResourceType: "Services",
                Metadata: { Name: "archive" },
                Spec: { HealthCheckPath: "/health", MaxConnections: 360, Protocol: "h1", Tls: false },
            },
            {
                ResourceType: "Tenants",
                Metadata: { Name: "taipei" },
                Spec: { ApiKeys: ["key-1"], Priority: 1, RatePerS: ratePerS, Burst: burst },
            },
            {
                ResourceType: "Limits",
                Metadata: {},
                Spec: {
                    MaxHeaderBytes: 16_384,
                    MaxBodyBytes: 67_108_864,
                    HeaderTimeoutMs: 3_000,
                    IdleTimeoutMs: 15_000,
                },
            },
        ];
        store.put("keyed.op", "config", { Version: `r${version}`, Resources: resources });
    }

    publish(7, tenant);
    const startedAt = Date.now();
    listed.forEach(({ id, port }) =>
        store.put("keyed.servers", id, {
            Service: "archive",
            Address: `127.0.0.1:${port}`,
            Zone: "zone-a",
            Version: "v1",
            Slots: 6,
            State: "ready",
            ColdRemainingMs: 0,
            Sequence: 1,
            born: startedAt,
        })
    );

    function start(host) {
        const path = join(directory, `${host}.yaml`);
        const settings = {
            instance: host,
            domain: "zone-a",
            address: host,
            callers: `${host}:${callersPort}`,
            readiness: `${host}:${readinessPort}`,
            peers: `${host}:${peersPort}`,
            meshPort,
            linkMbps: 1_000,
            seeds: hosts.slice(0, 3).map(seed => `${seed}:${peersPort}`),
            store: store.address,
            metrics: { port: metricsPort, path: "/metrics" },
            stopSeconds: bounds.graceS,
            budget: { ratio: bounds.retryBudgetRatio, reserve: bounds.retrySlack },
            logLevel: "info",
        };
        writeFileSync(path, JSON.stringify(settings));
        const child = spawn(process.execPath, gatewayArguments(), {
            cwd: root,
            env: { PATH: process.env.PATH, HOME: process.env.HOME, TREFOILLADDER_NODE_FILE: path },
            stdio: ["ignore", process.env.REVIEW_LOG === "1" ? "inherit" : "ignore", "inherit"],
        });
        instances.set(host, child);
        children.add(child);
        child.once("exit", () => children.delete(child));
        child.on(
            "exit",
            (code, signal) => record.add(`gateway ${host} (${child.pid}) ended, code ${code}, signal ${signal}`),
        );
        record.add(`gateway ${host} started as process ${child.pid}`);
        return child;
    }

    /** Waits until all gateways are ready; the platform asks them likewise. */
    async function waitUntilReady(waitingHosts = hosts) {
        const endAt = performance.now() + 15_000;
        for (const host of waitingHosts) {
            while (await readyStatus(host, readinessPort) !== 200) {
                if (performance.now() > endAt) {
                    throw new Error(`gateway ${host} is not ready`);
                }
                await delay(20);
            }
        }
    }

    hosts.forEach(start);

    return {
        hosts,
        callersPort,
        store,
        targets: listed,
        publish,
        waitUntilReady,
        start,
        processOf: host => instances.get(host),
        readyStatus: host => readyStatus(host, readinessPort),
        async close() {
            for (const child of instances.values()) {
                if (child.exitCode === null && child.signalCode === null) {
                    child.kill("SIGKILL");
                    await once(child, "exit");
                }
            }
            listed.forEach(({ server }) => {
                server.close();
                server.closeAllConnections();
            });
            store.close();
            rmSync(directory, { recursive: true });
        },
    };
}

/** Returns the text of a request's head. */
export function requestText({ method = "GET", path, id, deadlineMs = 5_000, key = "key-1", headers = [], body }) {
    const lines = [
        `${method} ${path} HTTP/1.1`,
        "Host: site.example",
        `Request-Id: ${id}`,
        `Deadline-Ms: ${deadlineMs}`,
        `Authorization: Bearer ${key}`,
        ...headers,
    ];
    if (body !== undefined) {
        lines.push(`Content-Length: ${body.length}`);
    }
    return `${lines.join("\r\n")}\r\n\r\n${body ?? ""}`;
}

/** Opens a client's channel that keeps all received bytes; `ending` is "end" after a close and "reset" after a reset. */
export function openChannel(host, port) {
    const socket = connect({ host, port, noDelay: true });
    const channel = { socket, received: Buffer.alloc(0), ending: undefined, closed: undefined };
    const chunks = [];
    socket.on("data", chunk => {
        chunks.push(chunk);
        channel.onData?.(chunk);
    });
    socket.on("end", () => channel.ending ??= "end");
    socket.on("error", error => channel.ending ??= error.code === "ECONNRESET" ? "reset" : error.code);
    channel.closed = new Promise(resolve =>
        socket.on("close", () => {
            channel.received = Buffer.concat(chunks);
            resolve(channel);
        })
    );
    channel.bytes = () => Buffer.concat(chunks);
    return channel;
}

/**
 * Splits received bytes into responses, as an HTTP/1.1 client does. `isComplete` tells whether a response has all bytes that its
 * framing announces; a response without a length is complete when the channel was closed without a reset.
 */
export function parseResponses(bytes, ending) {
    const responses = [];
    let rest = bytes;
    while (rest.length > 0) {
        const headEnd = rest.indexOf("\r\n\r\n");
        if (headEnd < 0) {
            responses.push({ status: 0, headers: {}, body: rest, framing: "none", isComplete: false });
            return responses;
        }
        const [statusLine, ...headerLines] = rest.toString("latin1", 0, headEnd).split("\r\n");
        const headers = Object.fromEntries(headerLines.map(line => {
            const colon = line.indexOf(":");
            return [line.slice(0, colon).toLowerCase(), line.slice(colon + 1).trim()];
        }));
        const response = { status: Number(statusLine.split(" ")[1]), headers };
        responses.push(response);
        rest = rest.subarray(headEnd + 4);
        if (headers["content-length"] !== undefined) {
            const length = Number(headers["content-length"]);
            response.framing = "length";
            response.body = rest.subarray(0, length);
            response.isComplete = rest.length >= length;
            rest = rest.subarray(length);
        }
        else if (headers["transfer-encoding"] === "chunked") {
            response.framing = "chunked";
            const parts = [];
            response.isComplete = false;
            while (rest.includes("\r\n")) {
                const lineEnd = rest.indexOf("\r\n");
                const size = parseInt(rest.toString("latin1", 0, lineEnd), 16);
                parts.push(rest.subarray(lineEnd + 2, lineEnd + 2 + size));
                response.isComplete = size === 0;
                rest = rest.subarray(lineEnd + 2 + size + 2);
                if (size === 0) {
                    break;
                }
            }
            response.body = Buffer.concat(parts);
        }
        else {
            response.framing = "close";
            response.body = rest;
            response.isComplete = ending === "end";
            rest = Buffer.alloc(0);
        }
    }
    return responses;
}

/** Stand-in of the platform's entry: asks each gateway once a second whether it is ready; two misses take it out of rotation. */
export function createPlatform(bed, record) {
    const misses = new Map(bed.hosts.map(host => [host, 0]));
    const turns = new Map();

    async function ask(host) {
        const status = await bed.readyStatus(host);
        const before = misses.get(host);
        misses.set(host, status === 200 ? 0 : before + 1);
        if (status !== 200 && before === 1) {
            record.add(`gateway ${host} is out of rotation`);
        }
    }

    const timer = setInterval(() => bed.hosts.forEach(host => void ask(host)), 1_000);
    return {
        /** Returns the gateway for a new channel of a kind of request; the gateways take turns. */
        pick(kind) {
            const inRotation = bed.hosts.filter(host => misses.get(host) < 2);
            const usable = inRotation.length > 0 ? inRotation : bed.hosts;
            const turn = (turns.get(kind) ?? 0) + 1;
            turns.set(kind, turn);
            return usable[turn % usable.length];
        },
        close: () => clearInterval(timer),
    };
}

/** Sends one request on a new channel and resolves with its answer, or when the channel ends without one. */
export async function exchange(bed, host, request, record) {
    const channel = openChannel(host, bed.callersPort);
    record.add(`client sends ${request.id} to ${host}`);
    channel.socket.write(requestText(request));
    const answered = new Promise(resolve => {
        channel.onData = () => parseResponses(channel.bytes(), undefined)[0]?.isComplete === true && resolve();
    });
    await Promise.race([answered, channel.closed]);
    const response = parseResponses(channel.bytes(), channel.ending)[0];
    channel.socket.destroy();
    const { status, isComplete = false, framing, body, headers } = response ?? {};
    record.add(
        `client got ${status === undefined ? "no answer" : `status ${status}`} for ${request.id}, ${
            body?.length ?? 0
        } bytes,`
            + ` complete: ${isComplete}, channel ended by ${channel.ending ?? "the client"}`,
    );
    return { status, isComplete, framing, bytes: body?.length ?? 0, headers };
}

/** Runs a case: `run` returns whether the rule was broken. Exits with 2 when the case could not run. */
export async function runCase(caseUrl, run) {
    const record = createRecord(caseUrl);
    let code = verdict.notRun;
    try {
        record.add(hasTrouble ? "with the disruption" : "without the disruption");
        code = await run(record) ? verdict.broken : verdict.held;
        record.add(code === verdict.broken ? "the rule was broken" : "the rule held");
    }
    catch (error) {
        record.add(`the case could not run: ${error.stack}`);
        process.stderr.write(`${error.stack}\n`);
    }
    record.write();
    process.exit(code);
}
