import { stream } from "@trefoilladder/replication";
import { Agent, request } from "node:http";
import { responseText } from "../upstream/scripted-target";
import { call, until } from "./caller";
import { startFleet, targetRecord } from "./fixtures";
import type { Answer, Fleet } from "./fixtures";

let fleet: Fleet;

afterEach(() => fleet.close());

const good: Answer = (socket, _, id) => void socket.write(responseText(id));
const filing = { path: "/filing/1", method: "POST", body: "endorsement" };

async function start(answers: readonly Answer[]): Promise<void> {
    fleet = await startFleet({ answers });
    await until(async () => (await call(fleet.callers[0]!, { path: "/none/" })).status === 404);
}

function callFirst(options: Parameters<typeof call>[1] = {}) {
    return call(fleet.callers[0]!, options);
}

/** Sends requests until a target has got one, and returns how many it gets of those that follow. */
async function requestsAfterFirst(target: number, followed: number): Promise<number> {
    const { requests } = fleet.targets[target]!;
    for (let sent = 0; sent < 200 && requests.length === 0; sent++) {
        await callFirst();
    }
    const before = requests.length;
    expect(before).toBeGreaterThan(0);
    await Promise.all(Array.from({ length: followed }, () => callFirst()));
    return requests.length - before;
}

/** Answers of a target that leaves, by what else there is to them. */
const leavingAnswers: Record<string, Answer> = {
    "a success": (socket, _, id) => void socket.write(responseText(id, "ok", ["Leaving: 1"])),
    "a failure": (socket, _, id) =>
        void socket.write(
            `HTTP/1.1 500 Oops\r\nRequest-Id: ${id}\r\nResponse-Signature: s\r\nLeaving: 1\r\nContent-Length: 3\r\n\r\nbad`,
        ),
    "a refusal": socket =>
        void socket.write("HTTP/1.1 503 Full\r\nNot-Run: 1\r\nLeaving: 1\r\nContent-Length: 0\r\n\r\n"),
    "a body that is broken off": (socket, _, id) =>
        void socket.end(responseText(id, "ok", ["Leaving: 1"]).slice(0, -1)),
    "a late answer to an earlier request": (socket, _, id) =>
        void socket.write(responseText("earlier", "no", ["Leaving: 1"]) + responseText(id)),
};

describe("a target that leaves", () => {
    // Guards against further requests to a target that said in an answer that it leaves, while its record says that it is ready.
    test.each(Object.keys(leavingAnswers))("gets no more requests after %s", async kind => {
        await start([leavingAnswers[kind]!, good, good]);
        expect(await requestsAfterFirst(0, 30)).toBe(0);
        const { port } = fleet.targets[0]!;
        fleet.store.put(stream.targets, "target-0", targetRecord(0, port, { sequence: 2 }));
        fleet.store.put(stream.targets, "target-3", targetRecord(3, fleet.targets[1]!.port));
        await until(async () => (await callFirst()).status === 200);
        const before = fleet.targets[0]!.requests.length;
        await Promise.all(Array.from({ length: 20 }, () => callFirst()));
        expect(fleet.targets[0]!.requests).toHaveLength(before);
    });

    // Guards against taking out a target for the answer of another process that has taken over its old address.
    test("is not told from the answer of another process at its address", async () => {
        const other: Answer = (socket, requests, id) =>
            void socket.write(
                requests === 1
                    ? "HTTP/1.1 421 Misdirected\r\nLeaving: 1\r\nContent-Length: 0\r\n\r\n"
                    : responseText(id),
            );
        await start([other]);
        await callFirst(filing);
        fleet.store.put(stream.targets, "target-0", targetRecord(0, fleet.targets[0]!.port, { startedAt: 9_000 }));
        await until(async () => (await callFirst(filing)).status === 200);
    });

    test("begins anew with its next start", async () => {
        await start([
            (socket, requests, id) => void socket.write(responseText(id, "ok", requests === 1 ? ["Leaving: 1"] : [])),
        ]);
        expect((await callFirst(filing)).status).toBe(200);
        expect((await callFirst(filing)).status).toBe(503);
        fleet.store.put(stream.targets, "target-0", targetRecord(0, fleet.targets[0]!.port, { startedAt: 9_000 }));
        await until(async () => (await callFirst(filing)).status === 200);
    });

    test("loses its kept connections; the connection of a caller stays", async () => {
        let closed = 0;
        const leaving: Answer = (socket, requests, id) => {
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
        await until(() => closed === 1);
        expect(await send()).toEqual({ status: 503, reused: true });
        agent.destroy();
    });
});

function turnAway(seconds: string, mark = "Not-Run: 1\r\n"): Answer {
    return socket =>
        void socket.write(`HTTP/1.1 503 Full\r\n${mark}Retry-After: ${seconds}\r\nContent-Length: 0\r\n\r\n`);
}

/** Refusals that say for how long the target wants nothing. */
const turningAnswers: Record<string, Answer> = {
    "a refusal": turnAway("2"),
    "a fraction of seconds": turnAway("1.5"),
    "a number of many digits": turnAway("9".repeat(3_000)),
    "a failure without the mark of a refusal": turnAway("2", ""),
    "a late refusal of an earlier request": (socket, _, id) =>
        void socket.write(
            "HTTP/1.1 503 Full\r\nRequest-Id: earlier\r\nRetry-After: 2\r\nContent-Length: 0\r\n\r\n"
                + responseText(id),
        ),
    "a refusal that is broken off": socket =>
        void socket.end("HTTP/1.1 503 Full\r\nRetry-After: 2\r\nContent-Length: 9\r\n\r\nbusy"),
};

describe("a target that turns an instance away for a time", () => {
    // Guards against requests to a target that asked to be left alone.
    test.each(Object.keys(turningAnswers))("gets nothing in that time after %s", async kind => {
        await start([turningAnswers[kind]!, good, good]);
        expect(await requestsAfterFirst(0, 30)).toBe(0);
    });

    test.each(["0", "-3", "1e9", "Sat, 05 Dec 2026 08:00:00 GMT", "soon"])(
        "is used on after a time that asks for nothing (%s)",
        async seconds => {
            await start([turnAway(seconds)]);
            await callFirst();
            expect(await requestsAfterFirst(0, 3)).toBe(3);
        },
    );

    // Guards against callers that wait for their deadline, or come back too early, while the only target wants nothing.
    test("makes the instance refuse at once and say when there is room, and is used again then", async () => {
        await start([(socket, requests, id) => {
            if (requests === 1) {
                turnAway("1.2")(socket, requests, id);
                return;
            }
            socket.write(responseText(id));
        }]);
        const first = await callFirst(filing);
        const turnedAwayAt = performance.now();
        const second = await callFirst(filing);
        expect([first.status, second.status]).toEqual([503, 503]);
        expect(second.ms).toBeLessThan(500);
        for (const { headers } of [first, second]) {
            expect(Number(headers["retry-after"])).toBeGreaterThan(0.6);
            expect(Number(headers["retry-after"])).toBeLessThan(1.6);
        }
        await until(async () => (await callFirst(filing)).status === 200);
        expect(performance.now() - turnedAwayAt).toBeGreaterThan(1_000);
    });
});
