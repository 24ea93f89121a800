import { shardCount } from "@trefoilladder/membership";
import fc from "fast-check";
import { createFormedFleet } from "./fake-fleet";
import type { FakeFleet } from "./fake-fleet";

const ids = ["i0", "i1", "i2", "i3", "i4"];
const id = fc.constantFrom(...ids);
const shards = Array.from({ length: shardCount }, (_, shard) => shard);
const durationMs = fc.integer({ min: 100, max: 6_000 });

/** Fault injections by kind; each returns a function that ends the fault. */
const faults = {
    pause(fleet: FakeFleet, a: string) {
        fleet.processes.get(a)!.pause();
        return () => fleet.processes.get(a)!.resume();
    },
    restart(fleet: FakeFleet, a: string) {
        fleet.processes.get(a)!.kill();
        return () => void fleet.start(a);
    },
    oneWayPartition(fleet: FakeFleet, a: string, b: string) {
        fleet.blocked.add(`${a}>${b}`);
        return () => void fleet.blocked.delete(`${a}>${b}`);
    },
    dropOutbound(fleet: FakeFleet, a: string) {
        ids.forEach(other => fleet.blocked.add(`${a}>${other}`));
        return () => ids.forEach(other => fleet.blocked.delete(`${a}>${other}`));
    },
    dropInbound(fleet: FakeFleet, a: string) {
        ids.forEach(other => fleet.blocked.add(`${other}>${a}`));
        return () => ids.forEach(other => fleet.blocked.delete(`${other}>${a}`));
    },
    messageLoss(fleet: FakeFleet) {
        fleet.lossRate = 0.3;
        return () => void (fleet.lossRate = 0);
    },
    handoverLoss(fleet: FakeFleet, a: string) {
        fleet.dropsHandoverResponse = from => from === a;
        return () => void (fleet.dropsHandoverResponse = () => false);
    },
    logOutage(fleet: FakeFleet) {
        fleet.log.available = false;
        return () => void (fleet.log.available = true);
    },
    leave(fleet: FakeFleet, a: string) {
        const process = fleet.processes.get(a)!;
        const handoverAbort = new AbortController();
        void process.ownership.handOverAll(handoverAbort.signal).then(() => process.membership.leave());
        return () => {
            handoverAbort.abort();
            process.kill();
            fleet.start(a);
        };
    },
    outdatedList(fleet: FakeFleet, a: string, b: string) {
        fleet.setList(ids.filter(other => other !== a), [b]);
        return () => fleet.setList(ids);
    },
};

const event = fc.record({
    kind: fc.constantFrom(...Object.keys(faults) as (keyof typeof faults)[]),
    a: id,
    b: id,
    durationMs,
    gapMs: fc.integer({ min: 0, max: 2_500 }),
});

describe("interleavings of faults", () => {
    it("keeps at most one owner per shard, duplicates no state and holds no lease after a pause", async () => {
        await fc.assert(
            fc.asyncProperty(fc.integer(), fc.array(event, { minLength: 2, maxLength: 10 }), async (seed, events) => {
                const fleet = await createFormedFleet(ids.length, seed);
                const { clock } = fleet;
                for (const process of fleet.processes.values()) {
                    for (const shard of process.levels.keys()) {
                        process.levels.set(shard, 1);
                    }
                }
                const activeFaults: { at: number; end: () => void; }[] = [];
                const check = () => {
                    for (const fault of activeFaults.filter(({ at }) => at <= clock.now())) {
                        activeFaults.splice(activeFaults.indexOf(fault), 1);
                        const longPaused = [...fleet.processes.values()].filter(process =>
                            process.paused && clock.now() - process.pausedAt > 1_500
                        );
                        fault.end();
                        // This check runs before the resumed process has contacted a peer.
                        for (const process of longPaused.filter(({ paused }) => !paused)) {
                            expect(process.membership.holdsLease()).toBe(false);
                        }
                    }
                    fleet.assertSingleOwners();
                    expect(shards.filter(shard => fleet.level(shard) > 1)).toEqual([]);
                };
                for (const { kind, a, b, durationMs, gapMs } of events) {
                    const end = faults[kind](fleet, a, b);
                    activeFaults.push({ at: clock.now() + durationMs, end });
                    await fleet.advance(gapMs, check);
                }
                await fleet.advance(9_000, check);
                await fleet.stop();
            }),
            {
                numRuns: Number(process.env.INTERLEAVINGS ?? 8),
                seed: Number(process.env.INTERLEAVINGS_SEED ?? 20_261),
                endOnFailure: true,
            },
        );
    }, 600_000);
});
