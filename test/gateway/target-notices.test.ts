import { stream } from "@trefoilladder/replication";
import { Agent, request } from "node:http";
import { responseText } from "../upstream/scripted-target";
import { call, waitUntil } from "./caller";
import { startFleet, targetRecord } from "./fixtures";
import type { Fleet, Responder } from "./fixtures";

let fleet: Fleet;

afterEach(() => fleet.close());

const success: Responder = (socket, _, id) => void socket.write(responseText(id));
const filing = { path: "/filing/1", method: "POST", body: "endorsement" };

async function start(responders: readonly Responder[]): Promise<void> {
    fleet = await startFleet({ responders });
    await waitUntil(async () => (await call(fleet.callers[0]!, { path: "/none/" })).status === 404);
}

function callFirst(options: Parameters<typeof call>[1] = {}) {
    return call(fleet.callers[0]!, options);
}

/** Sends requests until a target has received one, and returns how many of the following requests it receives. */
async function requestsAfterFirst(target: number, followingRequests: number): Promise<number> {
    const { requests } = fleet.targets[target]!;
    for (let sent = 0; sent < 200 && requests.length === 0; sent++) {
        await callFirst();
    }
    const before = requests.length;
    expect(before).toBeGreaterThan(0);
    await Promise.all(Array.from({ length: followingRequests }, () => callFirst()));
    return requests.length - before;
}

/** Responses of a target that leaves, by kind of response. */
const leavingResponders: Record<string, Responder> = {
    "a success": (socket, _, id) => void socket.write(responseText(id, "ok", ["Leaving: 1"])),
    "a failure": (socket, _, id) =>
        void socket.write(
            `HTTP/1.1 500 Oops\r\nRequest-Id: ${id}\r\nResponse-Signature: s\r\nLeaving: 1\r\nContent-Length: 3\r\n\r\nbad`,
        ),
    "a rejection": socket =>
        void socket.write("HTTP/1.1 503 Full\r\nNot-Run: 1\r\nLeaving: 1\r\nContent-Length: 0\r\n\r\n"),
    "a truncated body": (socket, _, id) => void socket.end(responseText(id, "ok", ["Leaving: 1"]).slice(0, -1)),
    "a late response to an earlier request": (socket, _, id) =>
        void socket.write(responseText("earlier", "no", ["Leaving: 1"]) + responseText(id)),
};

describe("a target that leaves", () => {
    // Guards against further requests to a target that announced in a response that it leaves, while its record in the store still
    // lists it as ready.
    test.each(Object.keys(leavingResponders))("receives no more requests after %s", async kind => {
        await start([leavingResponders[kind]!, success, success]);
        expect(await requestsAfterFirst(0, 30)).toBe(0);
        const { port } = fleet.targets[0]!;
        fleet.store.put(stream.targets, "target-0", targetRecord(0, port, { sequence: 2 }));
        fleet.store.put(stream.targets, "target-3", targetRecord(3, fleet.targets[1]!.port));
        await waitUntil(async () => (await callFirst()).status === 200);
        const before = fleet.targets[0]!.requests.length;
        await Promise.all(Array.from({ length: 20 }, () => callFirst()));
        expect(fleet.targets[0]!.requests).toHaveLength(before);
    });

    // Guards against removing a target because of a response from another process that has taken over its old address.
    test("is not inferred from the response of another process at its address", async () => {
        const other: Responder = (socket, requests, id) =>
            void socket.write(
                requests === 1
                    ? "HTTP/1.1 421 Misdirected\r\nLeaving: 1\r\nContent-Length: 0\r\n\r\n"
                    : responseText(id),
            );
        await start([other]);
        await callFirst(filing);
        fleet.store.put(stream.targets, "target-0", targetRecord(0, fleet.targets[0]!.port, { startedAt: 9_000 }));
        await waitUntil(async () => (await callFirst(filing)).status === 200);
    });

    test("receives requests again after a restart", async () => {
        await start([
            (socket, requests, id) => void socket.write(responseText(id, "ok", requests === 1 ? ["Leaving: 1"] : [])),
        ]);
        expect((await callFirst(filing)).status).toBe(200);
        expect((await callFirst(filing)).status).toBe(503);
        fleet.store.put(stream.targets, "target-0", targetRecord(0, fleet.targets[0]!.port, { startedAt: 9_000 }));
        await waitUntil(async () => (await callFirst(filing)).status === 200);
    });

    test("has its idle connections closed, while the caller's connection stays open", async () => {
        let closed = 0;
        const leaving: Responder = (socket, requests, id) => {
            socket.once("close", () => closed += 1);
            socket.write(responseText(id, "ok", requests === 1 ? ["Leaving: 1"] : []));
        };
        await start([leaving]);
        const agent = new Agent({ keepAlive: true, maxSockets: 1 });
        const send = () =>
            new Promise<{ status: number; reused: boolean; }>(resolve => {
                const headers = { "host": "laurel.example", "request-id": "k", "authorization": "Bearer key-1" };
                const sent = request({ ...fleet.callers[0]!, agent, path: "/lookup/1", headers }, response => {
                    response.resume().on(
                        "end",
                        () => resolve({ status: response.statusCode!, reused: sent.reusedSocket }),
                    );
                });
                sent.end();
            });
        expect(await send()).toEqual({ status: 200, reused: false });
        await waitUntil(() => closed === 1);
        expect(await send()).toEqual({ status: 503, reused: true });
        agent.destroy();
    });
});

function throttle(seconds: string, notRunHeader = "Not-Run: 1\r\n"): Responder {
    return socket =>
        void socket.write(`HTTP/1.1 503 Full\r\n${notRunHeader}Retry-After: ${seconds}\r\nContent-Length: 0\r\n\r\n`);
}

/** Rejections with a time in which the target accepts no requests, by kind of response. */
const throttlingResponders: Record<string, Responder> = {
    "a rejection": throttle("2"),
    "a fraction of seconds": throttle("1.5"),
    "a number with many digits": throttle("9".repeat(3_000)),
    "a failure without the not-run header": throttle("2", ""),
    "a late rejection of an earlier request": (socket, _, id) =>
        void socket.write(
            "HTTP/1.1 503 Full\r\nRequest-Id: earlier\r\nRetry-After: 2\r\nContent-Length: 0\r\n\r\n"
                + responseText(id),
        ),
    "a truncated rejection": socket =>
        void socket.end("HTTP/1.1 503 Full\r\nRetry-After: 2\r\nContent-Length: 9\r\n\r\nbusy"),
};

describe("a target that throttles an instance for a time", () => {
    // Guards against requests to a target during the time that its Retry-After header gives.
    test.each(Object.keys(throttlingResponders))("receives no requests in that time after %s", async kind => {
        await start([throttlingResponders[kind]!, success, success]);
        expect(await requestsAfterFirst(0, 30)).toBe(0);
    });

    test.each(["0", "-3", "1e9", "Sat, 05 Dec 2026 08:00:00 GMT", "soon"])(
        "remains in use after a time that is zero or invalid (%s)",
        async seconds => {
            await start([throttle(seconds)]);
            await callFirst();
            expect(await requestsAfterFirst(0, 3)).toBe(3);
        },
    );

    // Guards against callers that wait until their deadline, or retry too early, while the only target throttles the instance.
    test("makes the instance reject requests at once with a retry time, and is used again after it", async () => {
        await start([(socket, requests, id) => {
            if (requests === 1) {
                throttle("1.2")(socket, requests, id);
                return;
            }
            socket.write(responseText(id));
        }]);
        const first = await callFirst(filing);
        const throttledAt = performance.now();
        const second = await callFirst(filing);
        expect([first.status, second.status]).toEqual([503, 503]);
        expect(second.ms).toBeLessThan(500);
        for (const { headers } of [first, second]) {
            expect(Number(headers["retry-after"])).toBeGreaterThan(0.6);
            expect(Number(headers["retry-after"])).toBeLessThan(1.6);
        }
        await waitUntil(async () => (await callFirst(filing)).status === 200);
        expect(performance.now() - throttledAt).toBeGreaterThan(1_000);
    });
});
