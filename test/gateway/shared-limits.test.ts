import { setTimeout as delay } from "node:timers/promises";
import { responseText } from "../upstream/scripted-target";
import { call, waitUntil } from "./caller";
import { configuration, startFleet } from "./fixtures";
import type { Fleet } from "./fixtures";

const burst = 4;
const ratePerSecond = 2;
const instances = 3;
const organisation = { name: "taipei", keys: ["key-1"], priority: undefined, ratePerSecond, burst };

let fleet: Fleet;

async function start(options: Partial<Parameters<typeof startFleet>[0]> = {}): Promise<void> {
    fleet = await startFleet({
        responders: [(socket, _, id) => void socket.write(responseText(id))],
        instances,
        configuration: configuration({ organisations: [organisation] }),
        ...options,
    });
    for (const at of fleet.callers) {
        await waitUntil(async () => (await call(at, { path: "/none/" })).status === 404);
    }
}

afterEach(() => fleet.close());

/** Sends requests to all instances at once; returns how many of them were answered with each status. */
async function callAll(callsEach: number): Promise<Map<number, number>> {
    const calls = fleet.callers.flatMap(at => Array.from({ length: callsEach }, () => call(at)));
    const counts = new Map<number, number>();
    for (const { status } of await Promise.all(calls)) {
        counts.set(status, (counts.get(status) ?? 0) + 1);
    }
    return counts;
}

describe("a limit that several instances share", () => {
    // Guards against instances that each admit the burst before they hear of each other's admissions (incident inc3).
    test("holds for requests that arrive at all instances at the same moment", async () => {
        await start();
        await delay(burst / ratePerSecond * 1_000 + 2_000);
        const startedAt = performance.now();
        const counts = await callAll(8);
        const earned = (performance.now() - startedAt) / 1_000 * ratePerSecond;
        expect(counts.get(200)).toBeGreaterThanOrEqual(burst - 1);
        expect(counts.get(200)).toBeLessThanOrEqual(burst + Math.ceil(earned));
        expect((counts.get(200) ?? 0) + (counts.get(429) ?? 0)).toBe(8 * instances);
    }, 20_000);

    // Guards against a burst that a fleet grants once more after each restart.
    test("has no burst right after all instances have started", async () => {
        await start();
        const counts = await callAll(8);
        expect(counts.get(200) ?? 0).toBeLessThanOrEqual(burst / 2 + 1);
        expect((counts.get(200) ?? 0) + (counts.get(429) ?? 0)).toBe(8 * instances);
    }, 20_000);

    // Guards against requests that reach a target after their callers have left (GONE): the decision on the limit takes a while.
    test("sends no request whose caller left before the decision", async () => {
        // Limits start after 1.5 s when the only other known instance does not answer.
        await start({ instances: 1, seeds: ["127.0.0.9:1"] });
        const leaving = new AbortController();
        const response = call(fleet.callers[0]!, { signal: leaving.signal });
        await delay(100);
        leaving.abort();
        expect((await response).status).toBe(0);
        await waitUntil(async () => (await call(fleet.callers[0]!)).status === 200);
        expect(fleet.targets[0]!.requests).toHaveLength(1);
    }, 20_000);
});
