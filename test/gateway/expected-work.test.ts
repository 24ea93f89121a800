import { setTimeout as delay } from "node:timers/promises";
import { responseText } from "../upstream/scripted-target";
import { call, waitUntil } from "./caller";
import { startFleet } from "./fixtures";
import type { Fleet, Responder } from "./fixtures";

let fleet: Fleet;

afterEach(() => fleet.close());

async function start(respond: Responder, expectedWork: boolean): Promise<Fleet["callers"][number]> {
    fleet = await startFleet({ responders: [respond], expectedWork });
    const [at] = fleet.callers;
    await waitUntil(async () => (await call(at!, { path: "/none/" })).status === 404);
    return at!;
}

/** Responds after 50 ms; the load report of all but the first `reported` responses tells a long queue. */
function queueAfter(reported: number): Responder {
    return (socket, request, id) => {
        const load = request <= reported ? "1,0,6" : "6,24,6";
        void delay(50).then(() => socket.write(responseText(id, "ok", [`Load: ${load}`])));
    };
}

describe("a gateway that uses expected work", () => {
    test("serves requests whose work it knows", async () => {
        const at = await start(queueAfter(100), true);
        const statuses = [];
        for (let index = 0; index < 5; index++) {
            statuses.push((await call(at)).status);
        }
        expect(statuses).toEqual([200, 200, 200, 200, 200]);
    });

    // Guards against requests that wait at a target until their deadline, and against a Retry-After that exceeds what a caller waits.
    test("refuses at once what the reported queue lets no target finish, with a Retry-After within a third of the deadline", async () => {
        const at = await start(queueAfter(3), true);
        for (let index = 0; index < 4; index++) {
            await call(at);
        }
        const refused = await call(at, { deadlineMs: 150 });
        expect(refused.status).toBe(503);
        expect(refused.ms).toBeLessThan(150);
        expect(Number(refused.headers["retry-after"])).toBeGreaterThan(0);
    });
});
