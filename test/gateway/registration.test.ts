import { createVirtualClock } from "@trefoilladder/clock";
import { setMaxListeners } from "node:events";
import { registerInstance } from "../../packages/gateway/src/registration";
import { silentLog } from "../replication/silent-log";
import { createMemoryStore } from "./fixtures";

/** Starts a registration; `events` lists the logged events. */
function startRegistration(options: { hasSeeds: boolean; isDue(): boolean; }) {
    const clock = createVirtualClock();
    const stopping = new AbortController();
    setMaxListeners(0, stopping.signal);
    const events: string[] = [];
    const addedPeers: string[] = [];
    const store = createMemoryStore();
    store.put("instances", "entry-9", "other");
    const done = registerInstance({
        store: store.view(),
        clock,
        log: silentLog(events),
        random: () => 0.5,
        instance: "entry-1",
        address: "10.1.0.1",
        addPeer: address => addedPeers.push(address),
        ...options,
    }, stopping.signal);
    return {
        events,
        addedPeers,
        async advance(ms: number) {
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
    // Guards against a failure of the soak test (seed 13): the store stopped responding within a second of the start, instances
    // without seeds did not know each other, and a revoked key remained valid for more than 5 s.
    test("happens at once without seeds", async () => {
        const registration = startRegistration({ hasSeeds: false, isDue: () => true });
        await registration.advance(200);
        expect(registration.events).toContain("registered");
        expect(registration.addedPeers).toEqual(["10.1.0.1"]);
        await registration.stop();
    });

    // Guards against two store calls by each instance when the whole fleet starts.
    test("waits for the seeds, and does not happen while other instances read the store", async () => {
        let due = false;
        const registration = startRegistration({ hasSeeds: true, isDue: () => due });
        await registration.advance(800);
        expect(registration.events).toEqual([]);
        await registration.advance(5_000);
        expect(registration.events).toEqual([]);
        due = true;
        await registration.advance(1_200);
        expect(registration.events).toEqual(["registered"]);
        await registration.stop();
    });
});
