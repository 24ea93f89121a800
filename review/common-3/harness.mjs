/**
 * Small deployment of gateways on loopback addresses, with stand-ins of the platform's store and of the upstreams.
 */

import { spawn } from "node:child_process";
import { once } from "node:events";
import { appendFileSync, mkdtempSync, openSync, rmSync, writeFileSync } from "node:fs";
import { createServer, request } from "node:http";
import { connect, createServer as createTcpServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as delay } from "node:timers/promises";

/** Command of the gateway in deploy/system.toml. */
const gatewayCommand = [
    "--max-old-space-size=96",
    "--max-semi-space-size=1",
    "target/trefoilladder-gateway.js",
];

/** Interval in milliseconds at which upstreams write their entries (HeartbeatMs of the users' settings). */
const heartbeatMs = 1_500;

/** Returns a free port of all loopback addresses that are used here. */
async function freePort() {
    const server = createTcpServer().listen(0, "127.0.0.1");
    await once(server, "listening");
    const { port } = server.address();
    server.close();
    await once(server, "close");
    return port;
}

/** Writes the events of a run with their times in seconds to a file. */
export function createRecord(path) {
    writeFileSync(path, "");
    const startedAt = performance.now();
    return text => appendFileSync(path, `${((performance.now() - startedAt) / 1_000).toFixed(3)} ${text}\n`);
}

function encodeRecord(key, value) {
    const keyBytes = Buffer.from(key);
    const content = Buffer.concat([Buffer.from([keyBytes.length]), keyBytes, value]);
    const length = Buffer.alloc(4);
    length.writeUInt32BE(content.length);
    return Buffer.concat([length, content]);
}

async function readAll(incoming) {
    const chunks = [];
    for await (const chunk of incoming) {
        chunks.push(chunk);
    }
    return Buffer.concat(chunks);
}

/**
 * Starts a stand-in of the store. `fault(topic, call)` returns undefined for a call that is answered, or the status of a rejection.
 */
export async function startStore() {
    /** Records of each topic: key, value and the encoded record. */
    const topics = new Map();
    const waiters = new Set();
    const store = { address: "", fault: () => undefined, calls: 0 };

    const recordsOf = topic => topics.get(topic) ?? topics.set(topic, []).get(topic);

    function add(topic, encoded) {
        const keyLength = encoded[4];
        const key = encoded.toString("utf8", 5, 5 + keyLength);
        recordsOf(topic).push({ key, value: encoded.subarray(5 + keyLength), encoded });
        [...waiters].forEach(wake => wake());
    }

    store.put = (topic, key, value) =>
        add(topic, encodeRecord(key, value === undefined ? Buffer.alloc(0) : Buffer.from(JSON.stringify(value))));

    function newest(topic) {
        const items = new Map();
        recordsOf(topic).forEach(({ key, value }, offset) => {
            items.delete(key);
            if (value.length > 0) {
                items.set(key, { Key: key, Value: value.toString("base64"), Offset: offset });
            }
        });
        return { items: [...items.values()], HasMore: false, EndOffset: recordsOf(topic).length };
    }

    async function read(topic, from, waitMs) {
        const endAt = performance.now() + waitMs;
        while (recordsOf(topic).length <= from && performance.now() < endAt) {
            await new Promise(resolve => {
                const timer = setTimeout(resolve, endAt - performance.now());
                const wake = () => {
                    waiters.delete(wake);
                    clearTimeout(timer);
                    resolve();
                };
                waiters.add(wake);
            });
        }
        const head = Buffer.alloc(16);
        head.writeBigUInt64BE(BigInt(recordsOf(topic).length));
        return Buffer.concat([head, ...recordsOf(topic).slice(from).map(({ encoded }) => encoded)]);
    }

    const server = createServer(async (incoming, outgoing) => {
        store.calls += 1;
        const url = new URL(incoming.url, "http://store");
        const topic = url.searchParams.get("Topic");
        const body = await readAll(incoming);
        const status = store.fault(topic, url.pathname);
        if (status !== undefined) {
            outgoing.writeHead(status).end();
            return;
        }
        const headers = { "content-type": "application/json" };
        if (url.pathname === "/api/log-newest") {
            outgoing.writeHead(200, headers).end(JSON.stringify(newest(topic)));
        }
        else if (url.pathname === "/api/log-append") {
            const offset = recordsOf(topic).length;
            add(topic, body);
            outgoing.writeHead(200, headers).end(JSON.stringify({ Offset: offset, EndOffset: offset + 1 }));
        }
        else if (url.pathname === "/api/log-read") {
            const from = Number(url.searchParams.get("From"));
            const bytes = await read(topic, from, Number(url.searchParams.get("WaitMs") ?? 0));
            outgoing.writeHead(200, { "content-type": "application/octet-stream" }).end(bytes);
        }
        else {
            outgoing.writeHead(404).end();
        }
    }).listen(0, "127.0.0.1");
    await once(server, "listening");
    store.address = `127.0.0.1:${server.address().port}`;
    store.close = () => {
        server.close();
        server.closeAllConnections();
    };
    return store;
}

/**
 * Starts a stand-in of an upstream, which writes its entry to the store. `run(incoming, outgoing, answer)` is called for each request
 * once it has arrived; `answer(status, body)` sends a signed response. `through` returns the address to list in place of its own.
 */
export async function startUpstream(store, { id, service, address = "127.0.0.1", slots = 6, run, through }) {
    let sequence = 0;
    let state = "ready";
    const born = Date.now();
    const server = createServer(async (incoming, outgoing) => {
        if (incoming.headers["expected-instance"] !== id) {
            outgoing.writeHead(421, { "instance-id": id }).end();
            return;
        }
        const requestId = incoming.headers["request-id"];
        const body = await readAll(incoming).catch(() => undefined);
        const answer = (status, content) => {
            const headers = { "request-id": requestId, "content-length": Buffer.byteLength(content) };
            outgoing.writeHead(status, { ...headers, "response-signature": `${id}.${requestId}` }).end(content);
        };
        run(incoming, outgoing, answer, body);
    }).listen(0, address);
    server.keepAliveTimeout = 10_000;
    await once(server, "listening");
    const { port } = server.address();
    const listed = await through?.(`${address}:${port}`) ?? `${address}:${port}`;
    const write = () => {
        sequence += 1;
        store.put("keyed.servers", id, {
            Service: service,
            Address: listed,
            Zone: "a",
            Version: "v1",
            Slots: slots,
            State: state,
            ColdRemainingMs: 0,
            Sequence: sequence,
            born,
        });
    };
    write();
    const timer = setInterval(write, heartbeatMs);
    return {
        id,
        port,
        address,
        drain() {
            state = "draining";
            write();
        },
        /** Ends the entry without a word, and serves on. */
        leave() {
            clearInterval(timer);
            store.put("keyed.servers", id, undefined);
        },
        close() {
            clearInterval(timer);
            server.close();
            server.closeAllConnections();
        },
    };
}

/** Returns a resource of the configuration. */
export const resource = (type, name, spec) => ({ ResourceType: type, Metadata: { Name: name }, Spec: spec });

/** Starts gateways, the one with index i at the address 127.0.1.(i + 1). */
export async function startGateways({ store, count, seeds, record, stopSeconds = 6, budget, domains = ["a"] }) {
    const directory = mkdtempSync(join(tmpdir(), "review-"));
    const ports = [];
    for (let index = 0; index < 5; index++) {
        ports.push(await freePort());
    }
    const [callers, readiness, peers, meshPort, metricsPort] = ports;
    const gateways = [];

    function start(index) {
        const host = `127.0.1.${index + 1}`;
        const domain = domains[index % domains.length];
        const settings = {
            instance: `front-${domain}-${index + 1}`,
            domain,
            regions: Object.fromEntries(domains.map(name => [name, "r"])),
            address: host,
            callers: `${host}:${callers}`,
            readiness: `${host}:${readiness}`,
            peers: `${host}:${peers}`,
            meshPort,
            linkMbps: 1_000,
            memoryMb: 350,
            seeds: (seeds ?? [0, 1, 2].map(seed => `127.0.1.${seed + 1}`)).map(seed => `${seed}:${peers}`),
            store: store.address,
            metrics: { port: metricsPort, path: "/metrics" },
            stopSeconds,
            budget: budget ?? { ratio: 0.2, reserve: 60 },
            logLevel: "info",
            expectedWork: false,
        };
        const path = join(directory, `${host}.json`);
        writeFileSync(path, JSON.stringify(settings));
        const log = openSync(join(directory, `${host}.log`), "a");
        const child = spawn(process.execPath, gatewayCommand, {
            env: { TREFOILLADDER_NODE_FILE: path },
            stdio: ["ignore", log, log],
        });
        record(`gateway ${index + 1} started`);
        gateways[index] = { index, host, child };
    }

    for (let index = 0; index < count; index++) {
        start(index);
    }
    return {
        directory,
        gateways,
        ports: { callers, readiness, peers, meshPort, metricsPort },
        start,
        async kill(index, signal = "SIGKILL") {
            const { child } = gateways[index];
            record(`gateway ${index + 1} gets ${signal}`);
            const exited = child.exitCode === null && child.signalCode === null ? once(child, "exit") : undefined;
            child.kill(signal);
            await exited;
        },
        /** Waits until a gateway says that it is ready. */
        async ready(index, maxMs = 15_000) {
            const endAt = performance.now() + maxMs;
            while (performance.now() < endAt) {
                if (await isReady(gateways[index].host, readiness)) {
                    return true;
                }
                await delay(50);
            }
            return false;
        },
        async close() {
            for (const { child } of gateways) {
                if (child.exitCode === null && child.signalCode === null) {
                    child.kill("SIGKILL");
                    await once(child, "exit");
                }
            }
            if (process.env.KEEP_LOGS === undefined) {
                rmSync(directory, { recursive: true });
            }
            else {
                console.log(directory);
            }
        },
    };
}

function isReady(host, port) {
    return new Promise(resolve => {
        const call = request({ host, port, path: "/api/ready", agent: false }, response => {
            response.resume();
            resolve(response.statusCode === 200);
        });
        call.on("error", () => resolve(false));
        call.end();
    });
}

let lastRequest = 0;

/** Sends a request on a channel of its own; `result` resolves with its status, 0 when the channel ends without an answer. */
export function send({ host, port, path, method = "GET", key, deadlineMs = 4_000, body, headers = {}, agent = false }) {
    lastRequest += 1;
    const id = `c${process.pid}-${lastRequest}`;
    const result = new Promise(resolve => {
        const call = request({
            host,
            port,
            path,
            method,
            agent,
            headers: {
                host: "review.example",
                "request-id": id,
                "deadline-ms": String(deadlineMs),
                ...key === undefined ? {} : { authorization: `Bearer ${key}` },
                ...body === undefined ? {} : { "content-length": Buffer.byteLength(body) },
                ...headers,
            },
        }, response => {
            const chunks = [];
            response.on("data", chunk => chunks.push(chunk));
            response.on(
                "end",
                () =>
                    resolve({
                        id,
                        status: response.statusCode,
                        body: Buffer.concat(chunks),
                        headers: response.headers,
                    }),
            );
            response.on("error", () => resolve({ id, status: 0 }));
        });
        const timer = setTimeout(() => call.destroy(), deadlineMs);
        call.on("close", () => clearTimeout(timer));
        call.on("error", () => resolve({ id, status: 0 }));
        call.end(body);
    });
    return { id, result };
}

/**
 * Starts a link to an address: a proxy that passes bytes on after a delay, and those of the answers at a limited rate. Resolves with
 * its port.
 */
export async function startLink({ host, port, delayMs, bytesPerSecond }) {
    const server = createTcpServer(client => {
        const gateway = connect(port, host);
        const drop = () => {
            gateway.destroy();
            client.destroy();
        };
        gateway.on("error", () => undefined);
        client.on("error", () => undefined);
        client.on("data", bytes => setTimeout(() => gateway.writable && gateway.write(bytes), delayMs));
        client.on("close", drop);
        let sending = Promise.resolve();
        gateway.on("data", bytes => {
            gateway.pause();
            sending = delay(bytes.length / bytesPerSecond * 1_000).then(() => {
                gateway.resume();
                setTimeout(() => client.writable && client.write(bytes), delayMs);
            });
        });
        // What arrived before the end is still passed on.
        gateway.on("close", () => void sending.then(() => setTimeout(drop, delayMs + 50)));
    }).listen(0, "127.0.0.1");
    await once(server, "listening");
    return { port: server.address().port, close: () => server.close() };
}

/** Returns the head of a GET request. */
export function getHead({ id, path, deadlineMs, key }) {
    const lines = [
        `GET ${path} HTTP/1.1`,
        "Host: review.example",
        `Request-Id: ${id}`,
        `Deadline-Ms: ${deadlineMs}`,
        ...key === undefined ? [] : [`Authorization: Bearer ${key}`],
    ];
    return `${lines.join("\r\n")}\r\n\r\n`;
}

/** Reads the answers on a channel; calls `answered` with the status, the head and the body of each complete one. */
export function readAnswers(socket, answered, headRead = () => undefined) {
    let received = Buffer.alloc(0);
    let announced = false;
    socket.on("data", chunk => {
        received = Buffer.concat([received, chunk]);
        for (;;) {
            const end = received.indexOf("\r\n\r\n");
            if (end < 0) {
                return;
            }
            const head = received.toString("latin1", 0, end);
            if (!announced) {
                announced = true;
                headRead(head);
            }
            const length = Number(/^content-length: (\d+)$/im.exec(head)?.[1] ?? 0);
            if (received.length < end + 4 + length) {
                return;
            }
            const body = received.subarray(end + 4, end + 4 + length);
            received = received.subarray(end + 4 + length);
            announced = false;
            answered(Number(head.slice(9, 12)), head, body);
        }
    });
}

/** Ends the script with a status: 1 when the rule was broken, 0 when it held, 2 when the case could not run. */
export async function finish(record, parts, status, text) {
    record(text);
    console.log(text);
    for (const part of parts) {
        await part?.close();
    }
    process.exit(status);
}

/** Starts a proxy to an address of which all open channels can go silent for good, while new ones work. */
export async function startSilencer(address) {
    const [host, port] = address.split(":");
    const channels = new Set();
    const server = createTcpServer(near => {
        const far = connect(Number(port), host);
        const channel = { isSilent: false };
        channels.add(channel);
        const pass = (from, to) => {
            from.on("data", bytes => channel.isSilent || to.write(bytes));
            from.on("error", () => undefined);
            from.on("close", () => {
                channels.delete(channel);
                if (!channel.isSilent) {
                    to.destroy();
                }
            });
        };
        pass(near, far);
        pass(far, near);
    }).listen(0, "127.0.0.1");
    await once(server, "listening");
    return {
        address: `127.0.0.1:${server.address().port}`,
        /** Silences the open channels; returns their number. */
        silence() {
            channels.forEach(channel => channel.isSilent = true);
            return channels.size;
        },
        close: () => server.close(),
    };
}

/** Returns a function that draws numbers from 0 to 1 by a seed (a linear congruential generator). */
export function createRandom(seed) {
    let state = seed >>> 0;
    return () => {
        state = (Math.imul(state, 1_664_525) + 1_013_904_223) >>> 0;
        return state / 2 ** 32;
    };
}
