import { createVirtualClock } from "@trefoilladder/clock";
import { createStoreEra, StoreFailure } from "@trefoilladder/replication";
import { err } from "neverthrow";
import { setMaxListeners } from "node:events";
import { registerInstance } from "../../packages/gateway/src/registration";
import { silentLog } from "../replication/silent-log";
import { createMemoryStore } from "./fixtures";

/** Starts a registration; `events` lists the logged events. */
function startRegistration(options: { hasSeeds: boolean; isDue(): boolean; rejectsWrites?: boolean; }) {
    const clock = createVirtualClock();
    const stopping = new AbortController();
    setMaxListeners(0, stopping.signal);
    const events: string[] = [];
    const addedPeers: string[] = [];
    const store = createMemoryStore();
    store.put("instances", "entry-9", "other");
    const era = createStoreEra({ now: () => clock.now(), log: silentLog() });
    const view = store.view();
    const rejected = () => Promise.resolve(err(new StoreFailure("refused", "the store responded with status 507")));
    const done = registerInstance({
        store: options.rejectsWrites === true ? { ...view, put: rejected } : view,
        clock,
        log: silentLog(events),
        random: () => 0.5,
        era,
        instance: "entry-1",
        address: "10.1.0.1",
        addPeer: address => addedPeers.push(address),
        ...options,
    }, stopping.signal);
    return {
        events,
        addedPeers,
        store,
        era,
        /** Writes the entry of an instance with the bytes of an address. */
        putAddress: (key: string, address: string) =>
            store.view().put("instances", { key, value: Buffer.from(address) }, stopping.signal),
        async registered() {
            const { records } = (await store.view().newest("instances", stopping.signal))._unsafeUnwrap();
            return records.map(({ key }) => key);
        },
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

    // Guards against partitioned groups of instances that do not find each other because the restored store has lost the records
    // of their readers.
    test("is repeated once in each new era", async () => {
        const registration = startRegistration({ hasSeeds: false, isDue: () => true });
        const copy = registration.store.copy();
        await registration.advance(2_000);
        expect(await registration.registered()).toContain("entry-1");
        registration.store.restore(copy);
        expect(await registration.registered()).not.toContain("entry-1");
        registration.era.observe(registration.store.era, "peer");
        await registration.advance(20_000);
        expect(await registration.registered()).toContain("entry-1");
        expect(registration.events.filter(event => event === "registered")).toHaveLength(2);
        await registration.stop();
    });

    // Guards against a registration that is lost because the store is restored again while it is written.
    test("is repeated when the store is restored a second time", async () => {
        const registration = startRegistration({ hasSeeds: false, isDue: () => true });
        const copy = registration.store.copy();
        await registration.advance(2_000);
        registration.store.restore(copy);
        registration.era.observe(registration.store.era, "peer");
        registration.store.restore(copy);
        await registration.advance(4_000);
        registration.store.restore(copy);
        registration.era.observe(registration.store.era, "peer");
        await registration.advance(8_000);
        expect(await registration.registered()).toContain("entry-1");
        await registration.stop();
    });

    // Guards against further calls of each instance to a store that reports no era.
    test("is not repeated while the store reports no era", async () => {
        const registration = startRegistration({ hasSeeds: false, isDue: () => true });
        registration.store.era = undefined;
        await registration.advance(20_000);
        expect(registration.events).toEqual(["registered"]);
        await registration.stop();
    });

    // Guards against an entry of another writer that is taken for an instance: its address would be looked up by name.
    test("takes only IPv4 addresses for instances", async () => {
        const registration = startRegistration({ hasSeeds: false, isDue: () => true });
        for (const odd of ["1.2.3", "999.1.1.1", "10.1.0.256", "....", "", "10.1.0.7:80"]) {
            await registration.putAddress(`odd ${odd}`, odd);
        }
        await registration.putAddress("entry-2", "10.1.0.2");
        await registration.advance(200);
        expect(registration.addedPeers.toSorted()).toEqual(["10.1.0.1", "10.1.0.2"]);
        await registration.stop();
    });

    // Guards against an instance that stays alone because the store rejects its record, although it returns those of the others.
    test("finds the other instances while the store rejects its record", async () => {
        const registration = startRegistration({ hasSeeds: false, isDue: () => true, rejectsWrites: true });
        await registration.putAddress("entry-2", "10.1.0.2");
        await registration.advance(10_000);
        expect(registration.addedPeers).toEqual(["10.1.0.2"]);
        expect(registration.events).not.toContain("registered");
        await registration.stop();
    });
});
