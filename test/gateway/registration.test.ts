import { createVirtualClock } from "@trefoilladder/clock";
import { setMaxListeners } from "node:events";
import { registerInstance } from "../../packages/gateway/src/registration";
import { silentLog } from "../replication/silent-log";
import { createMemoryStore } from "./fixtures";

/** Starts a registration; `events` tells what has happened so far. */
function startRegistration(options: { hasSeeds: boolean; isDue(): boolean; }) {
    const clock = createVirtualClock();
    const stopping = new AbortController();
    setMaxListeners(0, stopping.signal);
    const events: string[] = [];
    const learnt: string[] = [];
    const store = createMemoryStore();
    store.put("instances", "entry-9", "other");
    const done = registerInstance({
        store: store.view(),
        clock,
        log: silentLog(events),
        random: () => 0.5,
        instance: "entry-1",
        address: "10.1.0.1",
        learn: address => learnt.push(address),
        ...options,
    }, stopping.signal);
    return {
        events,
        learnt,
        async pass(ms: number) {
            for (let passed = 0; passed <= ms; passed += 100) {
                await clock.advance(100);
            }
        },
        async stop() {
            stopping.abort();
            await clock.advance(10_000);
            await done;
        },
    };
}

describe("the registration of an instance", () => {
    // Found by the soak (seed 13): the store fell silent within a second of the start, instances without seeds did not know of
    // each other, and a withdrawn key worked on for more than 5 s.
    test("comes at once without seeds", async () => {
        const trial = startRegistration({ hasSeeds: false, isDue: () => true });
        await trial.pass(200);
        expect(trial.events).toContain("registered");
        expect(trial.learnt).toEqual(["10.1.0.1"]);
        await trial.stop();
    });

    // Guards against two calls of each instance at a start of the whole fleet.
    test("waits for the seeds, and does not come while others read the store", async () => {
        let due = false;
        const trial = startRegistration({ hasSeeds: true, isDue: () => due });
        await trial.pass(800);
        expect(trial.events).toEqual([]);
        await trial.pass(5_000);
        expect(trial.events).toEqual([]);
        due = true;
        await trial.pass(1_200);
        expect(trial.events).toEqual(["registered"]);
        await trial.stop();
    });
});
