/**
 * Common parts of the cases of the second review: stand-ins of the platform's store and of upstreams, gateways as separate processes,
 * and the record of what was sent, answered and run. Everything listens on loopback addresses.
 */

import { spawn } from "node:child_process";
import { once } from "node:events";
import { createWriteStream, mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { createServer, STATUS_CODES } from "node:http";
import { connect, createServer as createListener } from "node:net";
import { tmpdir } from "node:os";
import { join, resolve } from "node:path";
import { fileURLToPath } from "node:url";

const repository = resolve(fileURLToPath(import.meta.url), "../../..");

/** Exit codes of a case. */
export const exitCode = { held: 0, broken: 1, notRun: 2 };

/** Whether the case runs with its disruption. */
export const withTrouble = process.env["TROUBLE"] !== "0";

export function sleep(ms) {
    return new Promise(wake => setTimeout(wake, ms));
}

/** Creates the record of a run; each line begins with the milliseconds since the start. */
export function createRecord(directory) {
    const startedAt = performance.now();
    const lines = [];
    return {
        note(text) {
            lines.push(`${(performance.now() - startedAt).toFixed(0).padStart(6)} ${text}`);
        },
        save: () => writeFileSync(join(directory, "record.txt"), `${lines.join("\n")}\n`),
    };
}

function readAll(incoming) {
    return new Promise((done, fail) => {
        const chunks = [];
        incoming.on("data", chunk => chunks.push(chunk));
        incoming.on("end", () => done(Buffer.concat(chunks)));
        incoming.on("error", fail);
    });
}

/**
 * Starts a stand-in of the platform's store: keyed topics with one partition each. A page of the newest records holds at most
 * `pageRecords` records.
 */
export async function startStore(address, { pageRecords = 500 } = {}) {
    const topics = new Map();
    const waiting = new Set();

    function topicOf(name) {
        const topic = topics.get(name) ?? { records: [], newest: new Map() };
        topics.set(name, topic);
        return topic;
    }

    function append(name, encoded) {
        const topic = topicOf(name);
        const keyEnd = 5 + encoded[4];
        const key = encoded.toString("utf8", 5, keyEnd);
        const value = encoded.subarray(keyEnd);
        const offset = topic.records.push(encoded) - 1;
        topic.newest.delete(key);
        if (value.length > 0) {
            topic.newest.set(key, { Key: key, Value: value.toString("base64"), Offset: offset });
        }
        waiting.forEach(wake => wake());
    }

    function newestPage(topic, after) {
        const sorted = [...topic.newest.values()].sort((a, b) => a.Key < b.Key ? -1 : 1);
        const rest = sorted.filter(({ Key }) => after === null || Key > after);
        return {
            items: rest.slice(0, pageRecords),
            HasMore: rest.length > pageRecords,
            EndOffset: topic.records.length,
        };
    }

    async function read(topic, from, waitMs) {
        if (topic.records.length <= from && waitMs > 0) {
            await new Promise(done => {
                const wake = () => {
                    clearTimeout(timer);
                    waiting.delete(wake);
                    done();
                };
                const timer = setTimeout(wake, waitMs);
                waiting.add(wake);
            });
        }
        const head = Buffer.alloc(16);
        head.writeBigUInt64BE(BigInt(topic.records.length));
        return Buffer.concat([head, ...topic.records.slice(from)]);
    }

    const calls = new Map();
    const server = createServer((incoming, outgoing) => {
        void (async () => {
            const url = new URL(incoming.url, "http://store");
            calls.set(url.pathname, (calls.get(url.pathname) ?? 0) + 1);
            const name = url.searchParams.get("Topic");
            const topic = topicOf(name);
            if (url.pathname === "/api/log-newest") {
                outgoing.end(JSON.stringify(newestPage(topic, url.searchParams.get("after"))));
            }
            else if (url.pathname === "/api/log-read") {
                const from = Number(url.searchParams.get("From"));
                outgoing.end(await read(topic, from, Number(url.searchParams.get("WaitMs") ?? 0)));
            }
            else if (url.pathname === "/api/log-append") {
                append(name, await readAll(incoming));
                outgoing.end(JSON.stringify({ Offset: topic.records.length - 1, EndOffset: topic.records.length }));
            }
            else {
                outgoing.writeHead(404).end();
            }
        })().catch(() => outgoing.destroy());
    });
    server.listen(0, address);
    await once(server, "listening");
    return {
        address: `${address}:${server.address().port}`,
        calls,
        /** Writes the newest record of a key as its bytes. */
        put(name, key, value) {
            const keyBytes = Buffer.from(key);
            const content = Buffer.concat([Buffer.from([keyBytes.length]), keyBytes, value]);
            const length = Buffer.alloc(4);
            length.writeUInt32BE(content.length);
            append(name, Buffer.concat([length, content]));
        },
        putJson(name, key, value) {
            this.put(name, key, Buffer.from(JSON.stringify(value)));
        },
        close() {
            server.close();
            server.closeAllConnections();
        },
    };
}

/** Returns the bytes of an answer as a server sends it. */
function encodeAnswer(status, headers, text) {
    const lines = Object.entries(headers).map(([name, value]) => `${name}: ${value}`);
    return Buffer.from(`HTTP/1.1 ${status} ${STATUS_CODES[status]}\r\n${lines.join("\r\n")}\r\n\r\n${text}`, "latin1");
}

/** Number of pieces of a body that is sent over a time. */
const bodyPieces = 20;

/** Sends a body in pieces over a time and ends the answer. */
async function sendOver(outgoing, body, ms) {
    if (ms === 0) {
        outgoing.end(body);
        return;
    }
    const pieceBytes = Math.ceil(body.length / bodyPieces);
    for (let start = 0; start < body.length && !outgoing.destroyed; start += pieceBytes) {
        outgoing.write(body.subarray(start, start + pieceBytes));
        await sleep(ms / bodyPieces);
    }
    outgoing.end();
}

/**
 * Starts a stand-in of an upstream: some slots and a queue; a request beyond them is rejected as not run.
 *
 * - `workMs` returns the time of a request, `fails` whether the upstream runs it and answers 500.
 * - `ran` is called with the id of each request that begins to run.
 * - `lateBytes` returns bytes that follow an answer late, at the point where the next answer on the channel is expected.
 * - `isUnframed` returns whether an answer has no length and ends with its channel.
 * - `bodyOf` returns the body of the answer to a request, which is sent over `bodyMs`; by default a short one is sent at once.
 */
export async function startUpstream(address, options) {
    const { id, slots = 6, queue = 24, workMs, record, ran, fails, lateBytes, isUnframed, bodyOf, bodyMs = 0 } =
        options;
    let running = 0;
    const queued = [];
    const extraBytes = new WeakMap();

    function startNext() {
        while (running < slots && queued.length > 0) {
            run(queued.shift());
        }
    }

    function answer({ incoming, outgoing }, status, headers, text) {
        const { socket } = incoming;
        const request = incoming.headers["request-id"];
        const earlier = extraBytes.get(socket);
        if (earlier !== undefined) {
            extraBytes.delete(socket);
            record.note(`upstream ${id} first sends ${JSON.stringify(earlier.toString("latin1"))}`);
            socket.write(earlier);
        }
        record.note(`upstream ${id} answers ${request}: ${status}`);
        if (isUnframed?.(id) === true) {
            record.note(`the answer to ${request} has no length`);
            outgoing.useChunkedEncodingByDefault = false;
            void sendOver(outgoing.writeHead(status, { ...headers, Connection: "close" }), text, bodyMs);
            return;
        }
        const framed = { ...headers, "Content-Length": text.length };
        const late = lateBytes?.(id, encodeAnswer(status, framed, text));
        if (late !== undefined) {
            extraBytes.set(socket, late);
        }
        void sendOver(outgoing.writeHead(status, framed), text, bodyMs);
    }

    function loadOf() {
        return { "Instance-Load": `${running},${queued.length},${slots}` };
    }

    function run(exchange) {
        const { incoming, body } = exchange;
        const { socket } = incoming;
        if (socket.destroyed) {
            return;
        }
        running += 1;
        const request = incoming.headers["request-id"];
        record.note(`upstream ${id} runs ${request}`);
        ran?.(request, id);
        let ended = false;
        const end = () => {
            if (!ended) {
                ended = true;
                clearTimeout(timer);
                socket.off("close", end);
                running -= 1;
                startNext();
            }
        };
        const timer = setTimeout(() => {
            const status = fails?.(request) === true ? 500 : 200;
            const headers = { "Request-Id": request, "Response-Signature": `${id}.${request}`, ...loadOf() };
            answer(exchange, status, headers, bodyOf?.(request) ?? `body of ${request} ${body.length}`);
            end();
        }, workMs(incoming));
        socket.once("close", end);
    }

    const server = createServer({ maxHeaderSize: 64 * 1024 }, (incoming, outgoing) => {
        void (async () => {
            const exchange = { incoming, outgoing, body: await readAll(incoming) };
            const request = incoming.headers["request-id"];
            if (incoming.headers["expected-instance"] !== id) {
                outgoing.writeHead(421, { "Instance-Id": id, "Request-Id": request, "Content-Length": 0 }).end();
                return;
            }
            if (running >= slots && queued.length >= queue) {
                answer(exchange, 503, { "Not-Executed": "1", ...loadOf(), "Request-Id": request }, "");
                return;
            }
            queued.push(exchange);
            startNext();
        })().catch(() => undefined);
    });
    server.keepAliveTimeout = 10_000;
    server.maxHeadersCount = 0;
    server.listen(0, address);
    await once(server, "listening");
    return {
        id,
        address: `${address}:${server.address().port}`,
        close() {
            server.close();
            server.closeAllConnections();
        },
    };
}

/** Registers upstreams in the store and writes their entries again at intervals, as the pages say. */
export function createRegistry(store, { zone = "a" } = {}) {
    const timers = [];
    return {
        add({ id, address }, service, { born = Date.now(), slots = 6 } = {}) {
            let sequence = 0;
            const write = () => {
                sequence += 1;
                store.putJson("keyed.servers", id, {
                    Service: service,
                    Address: address,
                    Zone: zone,
                    Version: "v1",
                    Slots: slots,
                    State: "ready",
                    ColdRemainingMs: 0,
                    Sequence: sequence,
                    born,
                });
            };
            write();
            timers.push(setInterval(write, 6_000));
        },
        close: () => timers.forEach(clearInterval),
    };
}

/** Fills in the template of the deploy file; it uses values as JSON and one kind of list. */
function fillTemplate(template, fields) {
    const valueOf = path => path.split(".").reduce((value, name) => value?.[name], fields);
    return template
        .replace(
            /\{\{#(\w+)\}\}\{\{\.\|json\}\}\{\{,\}\}\{\{\/\1\}\}/g,
            (_, name) => fields[name].map(value => JSON.stringify(value)).join(","),
        )
        .replace(/\{\{([\w.]+)\|json\}\}/g, (_, path) => JSON.stringify(valueOf(path)));
}

async function freePorts(address, count) {
    const listeners = await Promise.all(Array.from({ length: count }, async () => {
        const listener = createListener().listen(0, address);
        await once(listener, "listening");
        return listener;
    }));
    const ports = listeners.map(listener => listener.address().port);
    listeners.forEach(listener => listener.close());
    return ports;
}

/** Creates a fleet of gateways, each on a loopback address of its own; the processes are started by `start`. */
export async function createFleet({ count, storeAddress, record, bounds = {} }) {
    const directory = mkdtempSync(join(tmpdir(), "review-2-"));
    const deploy = readFileSync(join(repository, "deploy/system.toml"), "utf8");
    const [program, ...words] = /^run = "([^"]+)"/m.exec(deploy)[1].split(" ");
    const template = readFileSync(join(repository, /^template = "([^"]+)"/m.exec(deploy)[1]), "utf8");
    const net = `127.${1 + Math.floor(Math.random() * 250)}.${1 + Math.floor(Math.random() * 250)}`;
    const addresses = Array.from({ length: count }, (_, index) => `${net}.${index + 1}`);
    const [front, readiness, control, mesh] = await freePorts(addresses[0], 4);
    const children = new Set();
    const machines = addresses.map((address, index) => ({
        name: `front-${index + 1}`,
        address,
        front,
        readiness,
        /** Ends of the process that the case did not cause. */
        ownEnds: [],
        process: undefined,
        isStopped: false,
    }));

    function settingsOf(machine) {
        return {
            Node: machine.name,
            Zone: "a",
            Zones: { a: "r" },
            Ip: machine.address,
            Listen: {
                Front: `${machine.address}:${front}`,
                Readiness: `${machine.address}:${readiness}`,
                Control: `${machine.address}:${control}`,
            },
            InternalPorts: [mesh, mesh + 15],
            Limits: { LinkMbps: 1000, MemoryMb: 350 },
            SeedNodes: addresses.slice(0, 3).map(address => `${address}:${control}`),
            Platform: { Address: storeAddress },
            Bounds: { GraceS: 6, RetryBudgetRatio: 0.2, RetrySlack: 60, ...bounds },
        };
    }

    /** Starts the process of a machine; one that ends by itself is started again after a short delay, as the platform does. */
    function start(machine, { restarts = true } = {}) {
        const path = join(directory, `${machine.name}.yaml`);
        writeFileSync(path, fillTemplate(template, settingsOf(machine)));
        const child = spawn(program === "node" ? process.execPath : program, words, {
            cwd: repository,
            env: { PATH: process.env["PATH"], HOME: process.env["HOME"], TREFOILLADDER_NODE_FILE: path },
            stdio: ["ignore", "pipe", "pipe"],
        });
        const output = [];
        if (process.env["REVIEW_LOGS"]) {
            const w = createWriteStream(join(process.env["REVIEW_LOGS"], machine.name), { flags: "a" });
            child.stdout.pipe(w);
            child.stderr.pipe(w);
        }
        for (const stream of [child.stdout, child.stderr]) {
            stream.on("data", chunk => {
                output.push(chunk);
                if (output.length > 400) {
                    output.shift();
                }
            });
        }
        machine.process = child;
        machine.isStopped = false;
        children.add(child);
        record.note(`machine ${machine.name} starts a process`);
        child.once("exit", (code, signal) => {
            children.delete(child);
            record.note(`machine ${machine.name}: the process ended, code ${code}, signal ${signal}`);
            if (machine.isStopped) {
                return;
            }
            const last = Buffer.concat(output).toString().trim().split("\n").slice(-6).join("\n       ");
            record.note(`its last output: ${last}`);
            machine.ownEnds.push({ code, signal });
            if (restarts) {
                setTimeout(() => closed || start(machine), 500);
            }
        });
        return child;
    }

    // Also when the case is ended from outside or fails, no process stays behind.
    process.on("exit", () => children.forEach(child => child.kill("SIGKILL")));

    let closed = false;
    return {
        machines,
        start,
        /** Sends a signal that the case uses; with `ends`, the end of the process is one that the case caused. */
        signal(machine, name, { ends = false } = {}) {
            machine.isStopped ||= ends;
            record.note(`${name} to machine ${machine.name}`);
            machine.process.kill(name);
        },
        async close() {
            closed = true;
            machines.forEach(machine => machine.isStopped = true);
            const ends = [...children].map(child => once(child, "exit"));
            children.forEach(child => child.kill("SIGKILL"));
            await Promise.all(ends);
            rmSync(directory, { recursive: true });
        },
    };
}

/** Returns whether a machine says that it is ready. */
export async function isReady(machine) {
    try {
        const response = await fetch(`http://${machine.address}:${machine.readiness}/api/ready`, {
            signal: AbortSignal.timeout(1_000),
        });
        return response.status === 200;
    }
    catch {
        return false;
    }
}

/** Waits until all machines are ready; returns false when they are not in time. */
export async function untilReady(machines, maxMs) {
    const endAt = performance.now() + maxMs;
    while (performance.now() < endAt) {
        if ((await Promise.all(machines.map(isReady))).every(Boolean)) {
            return true;
        }
        await sleep(100);
    }
    return false;
}

/** Opens a channel of a client. Answers are read in order; `requests` are sent with `send`. */
export function openChannel(machine, record) {
    const socket = connect({ host: machine.address, port: machine.front, noDelay: true });
    const expected = [];
    let received = Buffer.alloc(0);
    let isClosed = false;
    let isReset = false;

    function settleFirst(answer) {
        const { id, done } = expected.shift();
        record.note(`client ${id}: ${answer.status}${answer.closes ? ", closes" : ""}`);
        done(answer);
    }

    /** Reads a body in chunks; returns undefined while it is incomplete. */
    function readChunks(start) {
        const parts = [];
        let at = start;
        for (;;) {
            const lineEnd = received.indexOf("\r\n", at);
            if (lineEnd < 0) {
                return undefined;
            }
            const size = parseInt(received.toString("latin1", at, lineEnd), 16);
            const next = lineEnd + 2 + size + 2;
            if (next > received.length) {
                return undefined;
            }
            if (size === 0) {
                return { body: Buffer.concat(parts), end: next };
            }
            parts.push(received.subarray(lineEnd + 2, lineEnd + 2 + size));
            at = next;
        }
    }

    /** Reads the body of an answer that begins at an offset; returns undefined while it is incomplete. */
    function readBody(start, valueOf) {
        if (valueOf("transfer-encoding")?.toLowerCase() === "chunked") {
            return readChunks(start);
        }
        const length = valueOf("content-length");
        if (length === undefined) {
            // The end of the channel ends the answer, unless the channel is reset.
            return isClosed && !isReset ? { body: received.subarray(start), end: received.length } : undefined;
        }
        const end = start + Number(length);
        return end <= received.length ? { body: received.subarray(start, end), end } : undefined;
    }

    function readAnswers() {
        while (expected.length > 0) {
            const headEnd = received.indexOf("\r\n\r\n");
            if (headEnd < 0) {
                return;
            }
            const head = received.toString("latin1", 0, headEnd);
            const status = Number(head.slice(9, 12));
            const valueOf = name => new RegExp(`\r\n${name}: *([^\r\n]*)`, "i").exec(head)?.[1];
            const closes = valueOf("connection")?.toLowerCase() === "close";
            const hasBody = status !== 204 && status !== 304;
            const read = hasBody ? readBody(headEnd + 4, valueOf) : { body: Buffer.alloc(0), end: headEnd + 4 };
            if (read === undefined) {
                return;
            }
            received = received.subarray(read.end);
            settleFirst({
                status,
                closes,
                id: valueOf("request-id"),
                signature: valueOf("response-signature"),
                body: read.body,
            });
        }
    }

    socket.on("data", chunk => {
        received = Buffer.concat([received, chunk]);
        readAnswers();
    });
    socket.on("error", () => isReset = true);
    socket.on("close", () => {
        isClosed = true;
        readAnswers();
        while (expected.length > 0) {
            settleFirst({ status: 0, closes: true });
        }
    });
    return {
        socket,
        get isClosed() {
            return isClosed;
        },
        /** Sends a request; resolves with its answer, whose status is 0 when the channel closed without one. */
        send({ id, method = "GET", path, host, key, deadlineMs, body, fields = [] }) {
            const lines = [
                `${method} ${path} HTTP/1.1`,
                `Host: ${host}`,
                `Request-Id: ${id}`,
                `Deadline-Ms: ${deadlineMs}`,
            ];
            if (key !== undefined) {
                lines.push(`Authorization: Bearer ${key}`);
            }
            lines.push(...fields);
            if (body !== undefined) {
                lines.push(`Content-Length: ${body.length}`);
            }
            record.note(`client sends ${id} to ${machine.name}`);
            return new Promise(done => {
                expected.push({ id, done });
                if (isClosed) {
                    settleFirst({ status: 0, closes: true });
                    return;
                }
                socket.write(`${lines.join("\r\n")}\r\n\r\n${body ?? ""}`);
            });
        },
        close: () => socket.destroy(),
    };
}

/** Sends one request on a channel of its own. */
export async function request(machine, record, options) {
    const channel = openChannel(machine, record);
    const timer = setTimeout(() => channel.close(), options.deadlineMs);
    const answer = await channel.send(options);
    clearTimeout(timer);
    channel.close();
    return answer;
}

/** Returns the resources of a configuration. */
export function configuration(version, { routes, services, tenants }) {
    const resource = (type, name, spec) => ({ ResourceType: type, Metadata: { Name: name }, Spec: spec });
    return {
        Version: `r${version}`,
        Resources: [
            ...routes.map(({ name, ...spec }) =>
                resource("Routes", name, {
                    Host: "shop.example",
                    PathPrefix: `/${name}/`,
                    Type: "safe",
                    TimeoutMs: 4000,
                    TargetLatencyMs: 1200,
                    Priority: 1,
                    MaxAttempts: 2,
                    Public: false,
                    ...spec,
                })
            ),
            ...services.map(name =>
                resource("Services", name, {
                    HealthCheckPath: "/health",
                    MaxConnections: 390,
                    Protocol: "h1",
                    Tls: false,
                })
            ),
            ...tenants.map(({ name, ...spec }) => resource("Tenants", name, { Priority: 1, ...spec })),
            resource("Limits", "", {
                MaxHeaderBytes: 16_384,
                MaxBodyBytes: 67_108_864,
                HeaderTimeoutMs: 3_000,
                IdleTimeoutMs: 15_000,
            }),
        ],
    };
}

/** Runs a case, ends everything that it started, and exits with its code. */
export async function runCase(directory, play) {
    const record = createRecord(directory);
    const closers = [];
    let code = exitCode.notRun;
    const limit = setTimeout(() => {
        record.note("the case took too long");
        finish(exitCode.notRun);
    }, 110_000);

    async function finish(result) {
        clearTimeout(limit);
        for (const close of closers.reverse()) {
            await close();
        }
        record.save();
        process.exit(result);
    }

    for (const event of ["SIGTERM", "SIGINT", "uncaughtException"]) {
        process.on(event, error => {
            record.note(`the case was ended: ${error?.stack ?? event}`);
            record.save();
            process.exit(exitCode.notRun);
        });
    }
    try {
        code = await play({ record, onClose: close => closers.push(close) });
    }
    catch (error) {
        record.note(`the case could not run: ${error.stack}`);
    }
    const verdict = Object.entries(exitCode).find(([, value]) => value === code)[0];
    record.note(`result: ${verdict}`);
    console.log(`result: ${verdict}`);
    await finish(code);
}
