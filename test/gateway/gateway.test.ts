import { stream } from "@trefoilladder/replication";
import { once } from "node:events";
import { connect } from "node:net";
import type { Socket } from "node:net";
import { setTimeout as delay } from "node:timers/promises";
import { responseText } from "../upstream/scripted-target";
import { call, waitUntil } from "./caller";
import type { CallerResult } from "./caller";
import { configuration, route, startFleet, targetRecord } from "./fixtures";
import type { Fleet, Responder } from "./fixtures";

let fleet: Fleet;

const success: Responder = (socket, _, id) => void socket.write(responseText(id));
const shed: Responder = socket =>
    void socket.write("HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n");
const fail: Responder = (socket, _, id) =>
    void socket.write(
        `HTTP/1.1 500 Oops\r\nRequest-Id: ${id}\r\nResponse-Signature: s\r\nContent-Length: 3\r\n\r\nbad`,
    );
const reset: Responder = socket => void socket.resetAndDestroy();
const silent: Responder = () => undefined;

async function start(
    responders: readonly Responder[],
    options: Omit<Parameters<typeof startFleet>[0], "responders"> = {},
): Promise<void> {
    fleet = await startFleet({ responders, ...options });
    for (const at of fleet.callers) {
        await waitUntil(async () => (await call(at, { path: "/none/" })).status === 404);
    }
}

const nonIdempotent = { path: "/filing/1", method: "POST", body: "endorsement" };

/** Returns the head of an idempotent request that a caller may send before it has received earlier responses. */
function pipelinedHead(id: string): string {
    return `GET /lookup/1 HTTP/1.1\r\nHost: laurel.example\r\nRequest-Id: ${id}\r\nDeadline-Ms: 8000\r\n`
        + "Authorization: Bearer key-1\r\n\r\n";
}

function callFirst(options: Parameters<typeof call>[1] = {}): Promise<CallerResult> {
    return call(fleet.callers[0]!, options);
}

function arrivals(): number {
    return fleet.targets.reduce((sum, { requests }) => sum + requests.length, 0);
}

afterEach(() => fleet.close());

describe("a request with a large body", () => {
    // Guards against uploads that cross failure domains although a target of this one has room: only responses were weighed.
    test("stays in the failure domain of the instance", async () => {
        await start([success, success]);
        const [near, far] = fleet.targets;
        fleet.store.put(stream.targets, "target-1", targetRecord(1, far!.port, { domain: "b", sequence: 2 }));
        await delay(500);
        const uploads = 25;
        for (let index = 0; index < uploads; index++) {
            const result = await call(fleet.callers[0]!, { ...nonIdempotent, body: "x".repeat(60_000) });
            expect(result.status).toBe(200);
        }
        // The choice has a random term, so single uploads may cross.
        const stayed = near!.requests.filter(head => head.startsWith("POST")).length;
        expect(stayed).toBeGreaterThanOrEqual(0.85 * uploads);
    });
});

describe("a request", () => {
    test("reaches a target with the headers that the target needs, and never with the key", async () => {
        await start([success]);
        const headers = { "organisation": "another", "x-own": "kept", "connection": "x-hop", "x-hop": "1" };
        const result = await callFirst({ ...nonIdempotent, id: "r1", headers, deadlineMs: 900 });
        expect(result).toMatchObject({ status: 200, body: "ok", complete: true });
        expect(result.headers["response-signature"]).toBe("s");
        const sent = fleet.targets[0]!.requests[0]!.toLowerCase();
        expect(sent).toContain("post /filing/1 http/1.1\r\nhost: laurel.example\r\n");
        expect(sent).toContain("request-id: r1\r\n");
        expect(sent).toContain("organisation: taipei\r\n");
        expect(sent).toContain("expected-target: target-0\r\n");
        expect(sent).toContain("x-own: kept\r\n");
        expect(sent).toContain("\r\n\r\nendorsement");
        expect(sent).not.toMatch(/authorization|key-1|another|x-hop/);
        expect(Number(/deadline-ms: (\d+)/.exec(sent)![1])).toBeLessThanOrEqual(900);
    });

    test.each([
        ["an unknown path", { path: "/other/" }, 404],
        ["an unknown host", { host: "other.example" }, 404],
        ["an unknown key", { key: "none" }, 401],
        ["large headers", { headers: { big: "x".repeat(5_000) } }, 431],
        ["a body over the limit", { ...nonIdempotent, headers: { "content-length": "5000000" } }, 413],
        ["no request id", { id: " " }, 400],
    ])("with %s is refused and not run", async (_, options, status) => {
        await start([success]);
        expect((await callFirst(options)).status).toBe(status);
        expect(arrivals()).toBe(0);
    });

    test("is routed by the longest path prefix of its host", async () => {
        const longer = route({
            name: "longer",
            pathPrefix: "/lookup/special/",
            services: [{ service: "none", weight: 1 }],
        });
        await start([success], { configuration: configuration({ routes: [route(), longer] }) });
        expect((await callFirst()).status).toBe(200);
        expect((await callFirst({ path: "/lookup/special/1" })).status).toBe(503);
    });

    test("needs no key on a route that allows anonymous callers", async () => {
        await start([success], { configuration: configuration({ routes: [route({ allowsAnonymous: true })] }) });
        expect((await callFirst({ key: "none", headers: { organisation: "forged" } })).status).toBe(200);
        expect(fleet.targets[0]!.requests[0]).not.toMatch(/forged|authorization/i);
    });

    test("over its organisation's limit is refused with the time to wait", async () => {
        const organisations = [{ name: "taipei", keys: ["key-1"], priority: undefined, ratePerSecond: 1, burst: 4 }];
        await start([success], { configuration: configuration({ organisations }) });
        const results = await Promise.all(Array.from({ length: 8 }, () => callFirst()));
        const refused = results.filter(({ status }) => status === 429);
        expect(results.length - refused.length).toBe(arrivals());
        expect(refused.length).toBeGreaterThanOrEqual(4);
        expect(Number(refused[0]!.headers["retry-after"])).toBeGreaterThan(0);
    });
});

describe("a failing target", () => {
    test("does not affect an idempotent request", async () => {
        await start([fail, success]);
        for (let index = 0; index < 6; index++) {
            expect(await callFirst()).toMatchObject({ status: 200, body: "ok" });
        }
    });

    test.each([["an error", fail, 500], ["a reset", reset, 502]])(
        "receives a non-idempotent request only once after %s",
        async (_, responder, status) => {
            await start([responder, responder]);
            expect((await callFirst(nonIdempotent)).status).toBe(status);
            expect(arrivals()).toBe(1);
        },
    );

    test("that has not run a request causes a retry at another target", async () => {
        await start([shed, success]);
        for (let index = 0; index < 4; index++) {
            expect((await callFirst(nonIdempotent)).status).toBe(200);
        }
    });

    test("without an alternative causes a refusal with Retry-After", async () => {
        await start([shed, shed]);
        const result = await callFirst(nonIdempotent);
        expect(result.status).toBe(503);
        expect(Number(result.headers["retry-after"])).toBeGreaterThan(0);
    });

    // Guards against reporting a running request as not run: a faulty target repeats an earlier refusal on a pooled connection.
    test.each([
        ["a refusal", "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1"],
        ["a refusal as another target", "HTTP/1.1 421 Misdirected Request"],
    ])("that sends %s without an id on a pooled connection is not trusted", async (_, refusal) => {
        await start([
            (socket, request, id) =>
                void socket.write(request === 1 ? responseText(id) : `${refusal}\r\nContent-Length: 0\r\n\r\n`),
        ]);
        expect((await callFirst(nonIdempotent)).status).toBe(200);
        expect((await callFirst(nonIdempotent)).status).toBe(502);
        expect(fleet.targets[0]!.connections()).toBe(1);
        expect(arrivals()).toBe(2);
    });

    test("that repeats the refusal of an earlier request on a pooled connection may still respond", async () => {
        const refusal = "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nRequest-Id: r1\r\nContent-Length: 0\r\n\r\n";
        await start([
            (socket, request, id) => void socket.write(request === 1 ? responseText(id) : refusal + responseText(id)),
        ]);
        expect((await callFirst({ ...nonIdempotent, id: "r1" })).status).toBe(200);
        expect((await callFirst({ ...nonIdempotent, id: "r2" })).status).toBe(200);
        expect(arrivals()).toBe(2);
    });

    // Guards against an instance that buffers the endless response of a faulty target until the deadline.
    test.each([
        ["an error", "HTTP/1.1 500 Oops", true],
        ["a refusal", "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1", true],
        ["a response without a signature", "HTTP/1.1 200 OK", false],
    ])("that sends %s without end is abandoned", async (_, line, hasSignature) => {
        let isClosed = false;
        const endless: Responder = (socket, __, id) => {
            socket.on("close", () => isClosed = true);
            const signature = hasSignature ? "Response-Signature: s\r\n" : "";
            socket.write(`${line}\r\nRequest-Id: ${id}\r\n${signature}Transfer-Encoding: chunked\r\n\r\n`);
            const timer = setInterval(() => socket.write(`4000\r\n${"x".repeat(0x4000)}\r\n`), 5);
            socket.on("close", () => clearInterval(timer));
        };
        await start([endless], {
            configuration: configuration({ routes: [route({ pathPrefix: "/filing/", idempotent: false })] }),
        });
        const result = await callFirst({ ...nonIdempotent, deadlineMs: 3_000 });
        expect(result.status).toBe(502);
        expect(result.ms).toBeLessThan(1_500);
        await waitUntil(() => isClosed);
    });

    test("that streams a success without end is disconnected after the caller's deadline", async () => {
        let isClosed = false;
        const endless: Responder = (socket, _, id) => {
            socket.write(
                `HTTP/1.1 200 OK\r\nRequest-Id: ${id}\r\nResponse-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n`,
            );
            const timer = setInterval(() => socket.write(`4000\r\n${"x".repeat(0x4000)}\r\n`), 5);
            socket.on("close", () => {
                isClosed = true;
                clearInterval(timer);
            });
        };
        await start([endless]);
        const result = await callFirst({ deadlineMs: 600 });
        expect(result).toMatchObject({ status: 200, complete: false });
        expect(result.ms).toBeLessThan(2_500);
        await waitUntil(() => isClosed);
    });

    // A request to which a target responds with 503 but without Not-Run may have run; relaying the status would imply that it has not.
    test("that responds with 503 without Not-Run is not reported as not run", async () => {
        await start([(socket, _, id) => void socket.write(responseText(id).replace("200 OK", "503 Busy"))]);
        expect((await callFirst(nonIdempotent)).status).toBe(502);
    });

    test("at an address that was taken over gets no further requests", async () => {
        const other: Responder = socket => void socket.write("HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n\r\n");
        await start([other, success]);
        for (let index = 0; index < 8; index++) {
            expect((await callFirst(nonIdempotent)).status).toBe(200);
        }
        expect(fleet.targets[0]!.requests.length).toBeLessThanOrEqual(1);
    });

    test.each([
        ["without a signature", "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nContent-Length: 2\r\n\r\nok"],
        [
            "with an encoding",
            "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nResponse-Signature: s\r\nContent-Encoding: gzip\r\nContent-Length: 2\r\n\r\nok",
        ],
    ])("never has a success %s relayed", async (_, text) => {
        await start([(socket, _request, id) => void socket.write(text.replace("ID", id))]);
        expect((await callFirst(nonIdempotent)).status).toBe(502);
    });

    test("that does not respond causes an error at the route's timeout", async () => {
        const routes = [route({ timeoutMs: 400, maxAttempts: 1 })];
        await start([silent], { configuration: configuration({ routes }) });
        const result = await callFirst();
        expect(result.status).toBe(504);
        expect(result.ms).toBeLessThan(400 + 250);
    });

    test("that is late causes a hedged attempt at another one for an idempotent request", async () => {
        await start([silent, success], {
            configuration: configuration({ routes: [route({ latencyObjectiveMs: 200 })] }),
        });
        for (let index = 0; index < 4; index++) {
            expect((await callFirst()).status).toBe(200);
        }
    });

    test("that truncates a large response leaves it visibly incomplete", async () => {
        const truncated: Responder = (socket, _, id) => {
            const head =
                `HTTP/1.1 200 OK\r\nRequest-Id: ${id}\r\nResponse-Signature: s\r\nContent-Length: 900000\r\n\r\n`;
            socket.write(head + "x".repeat(500_000));
            setTimeout(() => socket.destroy(), 100);
        };
        await start([truncated]);
        expect((await callFirst()).complete).toBe(false);
    });
});

describe("a caller", () => {
    test("receives a large response completely", async () => {
        await start([(socket, _, id) => void socket.write(responseText(id, "y".repeat(900_000)))]);
        const result = await callFirst();
        expect(result).toMatchObject({ status: 200, complete: true });
        expect(result.body.length).toBe(900_000);
    });

    // Guards against a request that runs and is never answered: the connection of an earlier large response stayed paused.
    test.each([200_000, 300_000, 540_000])(
        "receives the response to a request that follows one of %d bytes on the same connection",
        async bytes => {
            const largeFirst: Responder = (socket, request, id) => {
                const text = responseText(id, request === 1 ? "y".repeat(bytes) : "ok");
                socket.write(text.slice(0, -20_000));
                setTimeout(() => socket.write(text.slice(-20_000)), text.length > 20_000 ? 50 : 0);
            };
            await start([largeFirst]);
            expect((await callFirst()).body.length).toBe(bytes);
            const result = await callFirst({ ...nonIdempotent, deadlineMs: 1_000 });
            expect(result).toMatchObject({ status: 200, body: "ok" });
            expect(fleet.targets[0]!.connections()).toBe(1);
        },
    );

    // Guards against a part of a body that is complete by a wrong length beside chunks, and the rest where no response is due.
    test("receives the whole of a large chunked body that has a wrong length beside it", async () => {
        const head =
            "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nResponse-Signature: s\r\nContent-Length: 1000\r\nTransfer-Encoding: chunked\r\n\r\n";
        const body = `${(300_000).toString(16)}\r\n${"x".repeat(300_000)}\r\n0\r\n\r\n`;
        await start([(socket, _, id) => void socket.write(head.replace("ID", id) + body)]);
        const result = await callFirst();
        expect(result).toMatchObject({ status: 200, complete: true });
        expect(result.body.length).toBe(300_000);
        expect(result.headers["content-length"]).toBeUndefined();
    });

    // A length of 0 would indicate to the caller that the resource is empty.
    test("receives the length of the body that the response to a HEAD request omits", async () => {
        await start([(socket, _, id) => void socket.write(responseText(id, "12345").replace(/12345$/, ""))]);
        const result = await callFirst({ method: "HEAD" });
        expect(result).toMatchObject({ status: 200, body: "", complete: true });
        expect(result.headers["content-length"]).toBe("5");
    });

    // Guards against a body whose end is that of the connection, so that a part of it looks complete when the process is killed.
    test("receives a body without a length with its length when it was buffered", async () => {
        const text = "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nResponse-Signature: s\r\n\r\nbody";
        await start([(socket, _, id) => void socket.end(text.replace("ID", id))]);
        const result = await callFirst();
        expect(result).toMatchObject({ status: 200, body: "body", complete: true });
        expect(result.headers["content-length"]).toBe("4");
        expect(result.headers["transfer-encoding"]).toBeUndefined();
    });

    // Guards against a part of a body without a length that is relayed with the length of the part, as if it were complete.
    test("never receives a part of a body without a length whose connection was reset", async () => {
        const text = "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nResponse-Signature: s\r\n\r\npart";
        await start([(socket, _, id) => void socket.write(text.replace("ID", id), () => socket.resetAndDestroy())]);
        for (let index = 0; index < 10; index++) {
            expect((await callFirst(nonIdempotent)).status).toBe(502);
        }
    });

    // Guards against a length of 0, or of any other value, in the response to a HEAD request that states none.
    test("receives no length in the response to a HEAD request when the target states none", async () => {
        const text = "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nResponse-Signature: s\r\n\r\n";
        await start([(socket, _, id) => void socket.end(text.replace("ID", id))]);
        const result = await callFirst({ method: "HEAD" });
        expect(result).toMatchObject({ status: 200, body: "", complete: true });
        expect(result.headers["content-length"]).toBeUndefined();
    });

    // Guards against a length beside a status that has no body.
    test.each([204, 304])("receives no length beside the status %d when the target states none", async status => {
        const text = `HTTP/1.1 ${status} None\r\nRequest-Id: ID\r\nResponse-Signature: s\r\n\r\n`;
        await start([(socket, _, id) => void socket.end(text.replace("ID", id))]);
        const result = await callFirst();
        expect(result).toMatchObject({ status, body: "", complete: true });
        expect(result.headers["content-length"]).toBeUndefined();
        expect(result.headers["transfer-encoding"]).toBeUndefined();
    });

    // Guards against chunks sent to a caller that does not know them.
    test("of HTTP/1.0 receives a body without a length up to the end of the connection", async () => {
        const text = `HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nResponse-Signature: s\r\n\r\n${"x".repeat(300_000)}`;
        await start([(socket, _, id) => void socket.end(text.replace("ID", id))]);
        const socket = connect(fleet.callers[0]!);
        socket.write(
            "GET /lookup/1 HTTP/1.0\r\nHost: laurel.example\r\nRequest-Id: old\r\nDeadline-Ms: 3000\r\n"
                + "Authorization: Bearer key-1\r\n\r\n",
        );
        let received = "";
        socket.on("data", chunk => received += chunk.toString("latin1"));
        await once(socket, "close");
        const [head, body] = received.split("\r\n\r\n");
        expect(head).not.toMatch(/transfer-encoding/i);
        expect(body).toBe("x".repeat(300_000));
    });

    test("may send a body that is too large to be buffered", async () => {
        let received = 0;
        const count: Responder = (socket, _, id) => {
            socket.on("data", chunk => {
                received += chunk.length;
                if (received >= 300_000) {
                    socket.write(responseText(id));
                }
            });
        };
        await start([count]);
        expect((await callFirst({ ...nonIdempotent, body: "z".repeat(400_000) })).status).toBe(200);
    });

    // A target may respond before it has read a long body and continue to read later; it would then read the next request on
    // the connection as the rest of that body.
    test("whose long body gets an early response does not corrupt another request", async () => {
        const early: Responder = (socket, request, id) =>
            void socket.write(responseText(id, request === 1 ? "early" : "later"));
        await start([early]);
        const slow = connect(fleet.callers[0]!);
        const head = "POST /filing/1 HTTP/1.1\r\nHost: laurel.example\r\nRequest-Id: long\r\nDeadline-Ms: 3000\r\n"
            + "Authorization: Bearer key-1\r\nContent-Length: 200000\r\n\r\n";
        let received = "";
        slow.on("data", chunk => received += chunk.toString());
        slow.write(head + "b".repeat(100_000));
        await waitUntil(() => received.includes("early"));
        expect((await callFirst(nonIdempotent)).body).toBe("later");
        slow.write("b".repeat(100_000));
        await delay(100);
        expect((await callFirst(nonIdempotent)).body).toBe("later");
        slow.destroy();
        expect(fleet.targets[0]!.connections()).toBe(2);
    });

    // Guards against a connection that hangs: the upload is paused when the target responds early, and nothing resumes it.
    test("may send a further request after a long body that got an early response", async () => {
        const uploadBytes = 16_000_000;
        const earlyFirst: Responder = (socket, request, id) => {
            if (request === 1) {
                socket.pause();
            }
            setTimeout(() => socket.write(responseText(id, request === 1 ? "early" : "later")), 300);
        };
        const limits = { ...configuration().limits, maxBodyBytes: 2 * uploadBytes };
        await start([earlyFirst], { configuration: configuration({ limits }) });
        const socket = connect(fleet.callers[0]!);
        let received = "";
        socket.on("data", chunk => received += chunk.toString());
        const head = (id: string, bytes: number) =>
            `POST /filing/1 HTTP/1.1\r\nHost: laurel.example\r\nRequest-Id: ${id}\r\nDeadline-Ms: 3000\r\n`
            + `Authorization: Bearer key-1\r\nContent-Length: ${bytes}\r\n\r\n`;
        socket.write(head("long", uploadBytes) + "b".repeat(uploadBytes));
        await waitUntil(() => received.includes("early"));
        socket.write(head("next", 1) + "b");
        await waitUntil(() => received.includes("later"));
        socket.destroy();
    });

    test("that disconnects cancels its idempotent request", async () => {
        let closed = false;
        await start([socket => void socket.on("close", () => closed = true)]);
        const disconnect = new AbortController();
        const result = callFirst({ signal: disconnect.signal });
        await waitUntil(() => arrivals() === 1);
        disconnect.abort();
        await result;
        await waitUntil(() => closed);
    });

    test("receives the responses to pipelined requests in order", async () => {
        const slowFirst: Responder = (socket, request, id) =>
            void setTimeout(() => socket.write(responseText(id, id)), request === 1 ? 200 : 0);
        await start([slowFirst, slowFirst]);
        const socket: Socket = connect(fleet.callers[0]!);
        let text = "";
        socket.on("data", chunk => text += chunk.toString());
        const head = (id: string) =>
            `GET /lookup/1 HTTP/1.1\r\nHost: laurel.example\r\nRequest-Id: ${id}\r\nDeadline-Ms: 3000\r\nAuthorization: Bearer key-1\r\n\r\n`;
        socket.write(head("p1") + head("p2") + head("p3"));
        await waitUntil(() => text.includes("\r\n\r\np3"));
        socket.destroy();
        const order = [...text.matchAll(/\r\n\r\n(p\d)/g)].map(match => match[1]);
        expect(order).toEqual(["p1", "p2", "p3"]);
    });
});

describe("an instance", () => {
    test("refuses requests as not run, not as unknown, while it has no configuration", async () => {
        fleet = await startFleet({ responders: [success], isRefused: () => true });
        const result = await callFirst();
        expect(result.status).toBe(503);
        expect(Number(result.headers["retry-after"])).toBeGreaterThan(0);
        expect((await call(fleet.readiness[0]!, { path: "/ready" })).status).toBe(503);
    });

    test("applies a newer configuration and never an older one", async () => {
        await start([success]);
        const organisations = [{ name: "taipei", keys: ["key-2"], priority: undefined, ratePerSecond: 0, burst: 0 }];
        fleet.store.put(stream.configuration, "current", configuration({ version: 7, organisations }));
        await waitUntil(async () => (await callFirst({ key: "key-2" })).status === 200);
        expect((await callFirst({ key: "key-1" })).status).toBe(401);
        fleet.store.put(stream.configuration, "current", configuration({ version: 3 }));
        await delay(1_500);
        expect((await callFirst({ key: "key-1" })).status).toBe(401);
    });

    test("sends nothing to a draining target, nor to one whose record is dropped", async () => {
        await start([success, success, success]);
        fleet.store.put(
            stream.targets,
            "target-0",
            targetRecord(0, fleet.targets[0]!.port, { draining: true, sequence: 2 }),
        );
        // An older record that arrives late must not reinstate the target.
        fleet.store.put(stream.targets, "target-0", targetRecord(0, fleet.targets[0]!.port));
        fleet.store.drop(stream.targets, "target-1");
        await delay(1_500);
        const before = fleet.targets.map(({ requests }) => requests.length);
        for (let index = 0; index < 20; index++) {
            await callFirst();
        }
        const after = fleet.targets.map(({ requests }, index) => requests.length - before[index]!);
        expect(after).toEqual([0, 0, 20]);
    });

    test("that the store rejects receives the configuration and the targets from another one", async () => {
        let refuses = false;
        await start([success], { instances: 2, isRefused: instance => instance === 1 && refuses });
        await waitUntil(() => fleet.store !== undefined);
        refuses = true;
        const organisations = [{ name: "taipei", keys: ["key-2"], priority: undefined, ratePerSecond: 0, burst: 0 }];
        fleet.store.put(stream.configuration, "current", configuration({ version: 9, organisations }));
        await waitUntil(async () => (await call(fleet.callers[1]!, { key: "key-2" })).status === 200);
        expect((await call(fleet.callers[1]!, { key: "key-1" })).status).toBe(401);
    });

    // Guards against instances that keep sending to a draining target because the store rejects its readers. Each pair of four
    // instances is rejected once, so that the two readers of the domain are among them.
    test("detects a draining target in time whichever instances the store rejects", async () => {
        const pairs = [[0, 1], [0, 2], [0, 3], [1, 2], [1, 3], [2, 3]];
        let refused: number[] = [];
        await start(Array.from({ length: pairs.length + 1 }, () => success), {
            instances: 4,
            isRefused: instance => refused.includes(instance),
        });
        for (const [target, pair] of pairs.entries()) {
            refused = pair;
            const { port, requests } = fleet.targets[target]!;
            fleet.store.put(
                stream.targets,
                `target-${target}`,
                targetRecord(target, port, { draining: true, sequence: 2 }),
            );
            await delay(1_900);
            const before = requests.length;
            for (const at of fleet.callers) {
                for (let index = 0; index < 8; index++) {
                    expect((await call(at)).status).toBe(200);
                }
            }
            expect(requests).toHaveLength(before);
        }
    });

    // Guards against requests that are accepted near the end of the stop time and interrupted by it, run or not.
    test("that stops refuses requests that arrive too late to finish as not run, while earlier ones run", async () => {
        const slow: Responder = (socket, _, id) => void setTimeout(() => socket.write(responseText(id)), 1_900);
        await start([slow], { stopSeconds: 3 });
        const early = callFirst(nonIdempotent);
        await waitUntil(() => arrivals() === 1);
        const stopped = fleet.gateways[0]!.stop();
        const late = connect(fleet.callers[0]!);
        let received = "";
        late.on("data", chunk => received += chunk.toString());
        await delay(1_700);
        late.write(
            "POST /filing/1 HTTP/1.1\r\nHost: laurel.example\r\nRequest-Id: late\r\nDeadline-Ms: 3000\r\n"
                + "Authorization: Bearer key-1\r\nContent-Length: 1\r\n\r\nx",
        );
        await waitUntil(() => received.includes("\r\n\r\n"));
        expect(received).toMatch(/^HTTP\/1.1 503 [^]*Retry-After: 0\.\d+\r\n[^]*Connection: close/);
        expect((await early).status).toBe(200);
        await stopped;
        expect(arrivals()).toBe(1);
        late.destroy();
    });

    // Guards against accepting a request whose usual processing time exceeds what is left of the stop time.
    test("that stops refuses a request that usually takes longer than the instance will run", async () => {
        const slow: Responder = (socket, _, id) => void setTimeout(() => socket.write(responseText(id)), 1_500);
        await start([slow], { stopSeconds: 2 });
        await Promise.all(Array.from({ length: 6 }, () => callFirst()));
        const before = arrivals();
        const stopped = fleet.gateways[0]!.stop();
        await delay(400);
        expect((await callFirst()).status).toBe(503);
        await stopped;
        expect(arrivals()).toBe(before);
    });

    // Guards against requests that their targets run and that get no answer, because an earlier response closes the connection.
    test("that stops answers all requests that were pipelined on a connection, and closes it after the last", async () => {
        const slow: Responder = (socket, _, id) => void setTimeout(() => socket.write(responseText(id, id)), 500);
        await start(Array.from({ length: 6 }, () => slow), { stopSeconds: 3 });
        const socket = connect(fleet.callers[0]!);
        const received: string[] = [];
        socket.on("data", chunk => received.push(chunk.toString()));
        const closed = once(socket, "close");
        const ids = ["p1", "p2", "p3", "p4"];
        socket.write(ids.map(id => pipelinedHead(id)).join(""));
        await waitUntil(() => arrivals() === ids.length);
        const stopped = fleet.gateways[0]!.stop();
        await closed;
        const answers = [...received.join("").matchAll(/Connection: (\S+)[^]*?\r\n\r\n(p\d)/g)];
        expect(answers.map(([, connection, id]) => [id, connection])).toEqual([
            ["p1", "keep-alive"],
            ["p2", "keep-alive"],
            ["p3", "keep-alive"],
            ["p4", "close"],
        ]);
        await stopped;
    });

    // Guards against a request that a target runs although the response before it has announced the close of its connection.
    test("that stops sends no request to a target that follows the last response on its connection", async () => {
        const slowFirst: Responder = (socket, request, id) =>
            void setTimeout(() => socket.write(responseText(id, id)), request === 1 ? 800 : 0);
        // A second target would also respond slowly to its first request, which may be p2.
        await start([slowFirst], { stopSeconds: 3 });
        const socket = connect(fleet.callers[0]!);
        socket.on("data", () => undefined);
        const closed = once(socket, "close");
        socket.write(pipelinedHead("p1"));
        await waitUntil(() => arrivals() === 1);
        const stopped = fleet.gateways[0]!.stop();
        socket.write(pipelinedHead("p2"));
        await waitUntil(() => arrivals() === 2);
        await delay(200);
        socket.write(pipelinedHead("p3"));
        await closed;
        await stopped;
        const sent = fleet.targets.flatMap(({ requests }) => requests).join("");
        expect(sent).toMatch(/request-id: p2/i);
        expect(sent).not.toMatch(/request-id: p3/i);
    });

    // Guards against responses that a caller still receives and that are cut off when the instance closes idle connections.
    test("that stops sends the responses to a slow caller completely", async () => {
        const bodyBytes = 190_000;
        const count = 60;
        const large: Responder = (socket, _, id) => void socket.write(responseText(id, "y".repeat(bodyBytes)));
        await start(Array.from({ length: 6 }, () => large), { stopSeconds: 4 });
        const socket = connect(fleet.callers[0]!);
        let receivedBytes = 0;
        socket.on("data", chunk => receivedBytes += chunk.length);
        const closed = once(socket, "close");
        socket.write(Array.from({ length: count }, (_, index) => pipelinedHead(`p${index}`)).join(""));
        socket.pause();
        await delay(1_000);
        const stopped = fleet.gateways[0]!.stop();
        await delay(2_500);
        socket.resume();
        await closed;
        await stopped;
        expect(receivedBytes).toBeGreaterThan(count * bodyBytes);
    });

    test("that stops finishes its requests and reports unready at once", async () => {
        await start([(socket, _, id) => void setTimeout(() => socket.write(responseText(id)), 600)], {
            stopSeconds: 3,
        });
        const running = callFirst(nonIdempotent);
        await waitUntil(() => arrivals() === 1);
        const stopped = fleet.gateways[0]!.stop();
        expect((await call(fleet.readiness[0]!, { path: "/ready" })).status).toBe(503);
        expect((await running).status).toBe(200);
        await stopped;
    });
});
