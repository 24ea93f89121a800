/**
 * Load pattern: all instances restart at once while callers go on. Guards against requests that are refused although the instance
 * can serve a moment later, and against requests that are held although it cannot.
 */

import { createVirtualClock } from "@trefoilladder/clock";
import { createStartupWait, startupWaitMs } from "../../packages/gateway/src/startup-wait";

const start = { ageMs: 100, remainingMs: 1_200, waiting: 0 };

test.each([
    { name: "half of the remaining time", state: start, waitMs: 600 },
    { name: "no longer than the store is expected to take", state: { ...start, ageMs: 2_400 }, waitMs: 100 },
    { name: "not at all while the store is unavailable", state: { ...start, ageMs: 2_500 }, waitMs: 0 },
    { name: "not at all behind many others", state: { ...start, waiting: 256 }, waitMs: 0 },
])("lets a request wait $name", ({ state, waitMs }) => {
    expect(startupWaitMs(state)).toBe(waitMs);
});

function startingProcess({ servesAtMs }: { servesAtMs: number; }) {
    const clock = createVirtualClock();
    const startedAt = clock.now();
    const counted: string[] = [];
    const startupWait = createStartupWait({
        now: () => clock.now(),
        canServe: () => clock.now() - startedAt >= servesAtMs,
        sleep: ms => clock.sleep(ms),
        count: event => counted.push(event),
    });
    return { clock, startedAt, startupWait, counted };
}

async function resolvedAfter({ clock, startedAt }: ReturnType<typeof startingProcess>, wait: Promise<void>) {
    let ms: number | undefined;
    void wait.then(() => ms = clock.now() - startedAt);
    while (ms === undefined) {
        await clock.advance(10);
    }
    return ms;
}

test("releases the requests of all callers once the configuration is there", async () => {
    const process = startingProcess({ servesAtMs: 450 });
    const waits = Array.from({ length: 40 }, () => process.startupWait.until(1_200)!);
    const releases = await Promise.all(waits.map(wait => resolvedAfter(process, wait)));
    expect(Math.min(...releases)).toBeGreaterThanOrEqual(450);
    expect(Math.max(...releases)).toBeLessThanOrEqual(480);
    expect(process.counted).toHaveLength(40);
    expect(process.startupWait.until(1_200)).toBeUndefined();
});

test("gives a request up when half of its time has passed", async () => {
    const process = startingProcess({ servesAtMs: 5_000 });
    expect(await resolvedAfter(process, process.startupWait.until(400)!)).toBeLessThanOrEqual(220);
});
