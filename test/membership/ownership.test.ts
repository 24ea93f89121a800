import { shardCount } from "@trefoilladder/membership";
import { createFakeFleet, createFormedFleet } from "./fake-fleet";
import type { FakeFleet, FakeProcess } from "./fake-fleet";

const shards = Array.from({ length: shardCount }, (_, shard) => shard);

function ownedBy(process: FakeProcess): number[] {
    return shards.filter(shard => process.ownership.owns(shard));
}

function unowned(fleet: FakeFleet): number[] {
    return shards.filter(shard => fleet.owners(shard).length === 0);
}

describe("shard ownership", () => {
    let fleet: FakeFleet;
    let [first, second, third]: FakeProcess[] = [];
    beforeEach(async () => {
        fleet = await createFormedFleet(3, 7);
        [first, second, third] = [...fleet.processes.values()];
    });
    afterEach(() => fleet.stop());

    it("assigns every shard to one owner at startup", () => {
        expect(unowned(fleet)).toEqual([]);
        for (const process of fleet.processes.values()) {
            expect(ownedBy(process).length).toBeGreaterThan(20);
        }
    });

    it("reassigns the shards of a killed owner", async () => {
        const lost = ownedBy(first!);
        first!.kill();
        let elapsedMs = 0;
        while (unowned(fleet).length > 0 && elapsedMs < 10_000) {
            await fleet.advance(25, fleet.assertSingleOwners);
            elapsedMs += 25;
        }
        expect(elapsedMs).toBeLessThan(6_000);
        expect(lost.length).toBeGreaterThan(0);
        expect(second!.installsWithoutState + third!.installsWithoutState).toBeGreaterThanOrEqual(lost.length);
    });

    it("does not let a resumed owner own shards that were taken over during its pause", async () => {
        const before = first!.membership.self();
        const lost = ownedBy(first!);
        first!.pause();
        await fleet.advance(8_000, fleet.assertSingleOwners);
        expect(unowned(fleet)).toEqual([]);
        first!.resume();
        expect(first!.membership.holdsLease()).toBe(false);
        expect(lost.some(shard => first!.ownership.owns(shard))).toBe(false);
        await fleet.advance(8_000, fleet.assertSingleOwners);
        expect(first!.membership.self()).not.toBe(before);
        expect(unowned(fleet)).toEqual([]);
        expect(ownedBy(first!).length).toBeGreaterThan(20);
    });

    it("holds no lease after a pause without contact with a majority", async () => {
        for (const other of [second!, third!]) {
            other.kill();
        }
        first!.pause();
        await fleet.advance(1_600);
        first!.resume();
        await fleet.advance(1_000);
        expect(first!.membership.holdsLease()).toBe(false);
    });

    it("hands over every shard with its level at a graceful stop", async () => {
        for (const shard of ownedBy(first!)) {
            first!.levels.set(shard, 1);
        }
        const moved = ownedBy(first!);
        const handoverAbort = new AbortController();
        const remaining = first!.ownership.handOverAll(handoverAbort.signal);
        await fleet.advance(3_000, fleet.assertSingleOwners);
        expect(await Promise.race([remaining, Promise.resolve("unfinished")])).toEqual([]);
        void first!.membership.leave();
        await fleet.advance(200, fleet.assertSingleOwners);
        first!.kill();
        expect(moved.every(shard => fleet.level(shard) === 1)).toBe(true);
        await fleet.advance(5_000, fleet.assertSingleOwners);
        expect(unowned(fleet)).toEqual([]);
        expect(second!.roster.has(first!.membership.self())).toBe(false);
    });

    it("does not duplicate state when a Handover response is lost", async () => {
        for (const shard of ownedBy(first!)) {
            first!.levels.set(shard, 1);
        }
        const moved = ownedBy(first!);
        let losses = 0;
        fleet.dropsHandoverResponse = from => from === "i0" && losses++ < 2;
        const remaining = first!.ownership.handOverAll(AbortSignal.timeout(60_000));
        await fleet.advance(6_000, () => {
            fleet.assertSingleOwners();
            expect(moved.every(shard => fleet.level(shard) <= 1)).toBe(true);
        });
        await remaining;
        expect(losses).toBeGreaterThan(0);
        expect(unowned(fleet)).toEqual([]);
        expect(moved.some(shard => fleet.level(shard) === 0)).toBe(true);
    });

    it("keeps the owner of every shard while the log is unavailable", async () => {
        fleet.log.available = false;
        const before = shards.map(shard => fleet.owners(shard)[0]?.id);
        await fleet.advance(10_000, fleet.assertSingleOwners);
        expect(shards.map(shard => fleet.owners(shard)[0]?.id)).toEqual(before);
    });
});

it("assigns no owner while the log has never been read", async () => {
    const fleet = createFakeFleet(3);
    fleet.log.available = false;
    fleet.setList(["i0", "i1", "i2"]);
    ["i0", "i1", "i2"].forEach(id => fleet.start(id));
    await fleet.advance(8_000, fleet.assertSingleOwners);
    expect([...fleet.processes.values()].every(process => process.membership.holdsLease())).toBe(true);
    expect(unowned(fleet)).toHaveLength(shardCount);
    expect(fleet.processes.get("i0")!.ownership.presumedOwner(0)).toBeUndefined();
    await fleet.stop();
});

it("never has two owners of a shard when the instances read different rosters", async () => {
    const fleet = await createFormedFleet(3, 11, { separateLogs: true });
    expect(unowned(fleet)).toEqual([]);
    fleet.processes.get("i1")!.kill();
    await fleet.advance(6_000, fleet.assertSingleOwners);
    await fleet.stop();
});
