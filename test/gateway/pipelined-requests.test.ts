import { once } from "node:events";
import { connect } from "node:net";
import type { Socket } from "node:net";
import { setTimeout as delay } from "node:timers/promises";
import { responseText } from "../upstream/scripted-target";
import { call, waitUntil } from "./caller";
import { configuration, route, startFleet } from "./fixtures";
import type { Fleet, Responder } from "./fixtures";

let fleet: Fleet;

afterEach(() => fleet.close());

const headerTimeoutMs = 1_000;
/** Time after which the target answers a slow request, in milliseconds; longer than a head may take. */
const slowMs = 2_500;

/** Size of a response that is streamed, in bytes. */
const streamedBytes = 300_000;

/** Returns a request with a number of short header fields and a body. */
function requestText(id: string, { fields = 0, path = "/lookup/1", body = "" } = {}): string {
    const lines = [
        `${body === "" ? "GET" : "POST"} ${path} HTTP/1.1`,
        "Host: laurel.example",
        `Request-Id: ${id}`,
        "Deadline-Ms: 15000",
        "Authorization: Bearer key-1",
        ...body === "" ? [] : [`Content-Length: ${body.length}`],
    ];
    return `${lines.join("\r\n")}\r\n${"a:\r\n".repeat(fields)}\r\n${body}`;
}

const answerAtOnce: Responder = (socket, _request, id) => void socket.write(responseText(id));
const answerSlowly: Responder = (socket, _request, id) =>
    void setTimeout(() => socket.write(responseText(id)), id.includes("slow") ? slowMs : 0);

async function start(responder: Responder): Promise<void> {
    const { limits } = configuration();
    fleet = await startFleet({
        responders: [responder],
        configuration: configuration({
            routes: [
                route({ timeoutMs: 15_000, latencyObjectiveMs: 5_000 }),
                route({ name: "filing", pathPrefix: "/filing/", idempotent: false, timeoutMs: 15_000 }),
            ],
            limits: { ...limits, maxHeaderBytes: 16_384, headerTimeoutMs, idleTimeoutMs: 4 * headerTimeoutMs },
        }),
    });
    await waitUntil(async () => (await call(fleet.callers[0]!, { path: "/none/" })).status === 404);
}

/** Opens a connection; returns it with the statuses and ids of the responses that arrive on it. */
async function openConnection(): Promise<{ socket: Socket; statuses(): string[]; ids(): string[]; }> {
    const socket = connect(fleet.callers[0]!);
    await once(socket, "connect");
    let received = "";
    socket.on("data", chunk => received += chunk.toString("latin1"));
    return {
        socket,
        statuses: () => [...received.matchAll(/HTTP\/1\.1 (\d+)/g)].map(([, status]) => status!),
        ids: () => [...received.matchAll(/request-id: (\S+)/gi)].map(([, id]) => id!),
    };
}

// Guards against dropping what a caller within the configured limits has sent behind other requests on its connection.
test.each([
    ["100 small requests", 100, {}],
    ["1,000 small requests", 1_000, {}],
    ["5 requests with 1,000 short fields each", 5, { fields: 1_000 }],
    ["20 requests with 3,000 short fields each", 20, { fields: 3_000 }],
    ["100 requests with a body", 100, { path: "/filing/1", body: "x".repeat(3_000) }],
])("a caller that sends %s without a wait and reads gets every response in order", async (_, count, options) => {
    await start(answerAtOnce);
    const { socket, statuses, ids } = await openConnection();
    const expected = Array.from({ length: count }, (_unused, index) => `p-${index}`);
    socket.write(expected.map(id => requestText(id, options)).join(""));
    await waitUntil(() => statuses().length >= count || socket.destroyed);
    expect(statuses()).toEqual(expected.map(() => "200"));
    expect(ids()).toEqual(expected);
    // The connection goes on.
    socket.write(requestText("after"));
    await waitUntil(() => ids().includes("after"));
    socket.destroy();
});

// Guards against counting the time for which the gateway does not read against the time in which a head has to arrive.
test("a head of which a part was read before the connection was held is not timed out", async () => {
    await start(answerSlowly);
    const { socket, statuses } = await openConnection();
    const texts = Array.from({ length: 100 }, (_, index) => requestText(index === 0 ? "slow" : `h-${index}`));
    const all = texts.join("");
    const cut = all.length - 2 * texts[1]!.length - 20;
    socket.write(all.slice(0, cut));
    await delay(200);
    socket.write(all.slice(cut));
    await waitUntil(() => statuses().length >= 100 || socket.destroyed);
    expect(statuses()).toEqual(texts.map(() => "200"));
    socket.destroy();
});

// Guards against a head that never ends and is no longer timed out once its connection has been held.
test("a head that does not end is timed out also after the connection was held", async () => {
    await start(answerSlowly);
    const { socket, statuses } = await openConnection();
    const texts = Array.from({ length: 100 }, (_, index) => requestText(index === 0 ? "slow" : `h-${index}`));
    socket.write(`${texts.join("")}GET / HTTP/1.1\r\nHost: x\r\n`);
    await once(socket, "close");
    expect(statuses()).toEqual([...texts.map(() => "200"), "408"]);
});

// Guards against a request that waits behind others and is run although its caller has left.
test("requests that wait behind others do not run after their caller has left", async () => {
    await start(answerSlowly);
    const { socket } = await openConnection();
    const texts = Array.from({ length: 100 }, (_, index) => requestText(index === 0 ? "slow" : `w-${index}`));
    socket.write(texts.join(""));
    await waitUntil(() => fleet.targets[0]!.requests.length >= 10);
    socket.resetAndDestroy();
    await delay(slowMs);
    expect(fleet.targets[0]!.requests.some(text => text.includes("w-99"))).toBe(false);
    expect((await call(fleet.callers[0]!, { path: "/lookup/1" })).status).toBe(200);
});

// Guards against running requests behind a response that closes their connection, and against leaving them open.
test("requests that wait behind a response that closes the connection are not run", async () => {
    const closing: Responder = (socket, _request, id) =>
        void setTimeout(() => {
            if (id === "slow") {
                const head = `HTTP/1.1 200 OK\r\nRequest-Id: ${id}\r\nResponse-Signature: s\r\n\r\n`;
                socket.end(head + "x".repeat(streamedBytes));
                return;
            }
            socket.write(responseText(id));
        }, id === "slow" ? 500 : 0);
    await start(closing);
    const { socket, statuses } = await openConnection();
    // A caller of HTTP/1.0 knows no chunks, so that a body without a length ends with its connection.
    const texts = Array.from({ length: 100 }, (_, index) => requestText(index === 0 ? "slow" : `c-${index}`))
        .map(text => text.replace("HTTP/1.1\r\n", "HTTP/1.0\r\nConnection: keep-alive\r\n"));
    socket.write(texts.join(""));
    await once(socket, "close");
    expect(statuses()).toEqual(["200"]);
    await delay(500);
    expect(fleet.targets[0]!.requests.some(text => text.includes("c-99"))).toBe(false);
});

// Guards against a 408 or 400 for a head behind a running request, which its caller takes as the response to that request.
test.each([
    ["does not end", "GET / HTTP/1.1\r\nHost: x\r\n"],
    ["is malformed", "no request\r\n\r\n"],
])("a running request gets its own response when the head behind it %s", async (_, head) => {
    await start(answerSlowly);
    const { socket, statuses, ids } = await openConnection();
    socket.write(requestText("slow") + head);
    await once(socket, "close");
    expect(statuses()).toEqual(["200"]);
    expect(ids()).toEqual(["slow"]);
});
