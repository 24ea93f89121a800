import { createLimitGroup, createSharedLimit } from "@trefoilladder/limits";
import { createRateLimits } from "../../packages/gateway/src/rate-limits";

const organisation = { name: "laurel", keys: [], priority: undefined, ratePerSecond: 10, burst: 20 };

function createFixture() {
    let now = 0;
    const falls: number[] = [];
    const group = createLimitGroup({
        now: () => now,
        minChange: 1,
        totalFell: (_name, _sender, tokens) => falls.push(tokens),
    });
    const limits = createRateLimits(group, () => now, { stateChange: () => undefined });
    limits.configure([organisation]);
    return {
        group,
        limits,
        falls,
        advance: (ms: number) => now += ms,
        take: () => limits.limitOf(organisation)?.take(now),
        level: () => limits.limitOf(organisation)?.level(now),
    };
}

describe("the limit of an organisation that leaves the configuration and returns", () => {
    // Guards against tokens that the other instances take as put back: the total began again at 0 under the same sender.
    test("continues its running total", () => {
        const { group, limits, advance, take } = createFixture();
        const other = createFixture();
        advance(5_000);
        for (let taken = 0; taken < 8; taken++) {
            take();
        }
        other.group.applyPeerTotals("a/1", group.collectChangedTotals());
        limits.configure([]);
        advance(20);
        limits.configure([organisation]);
        take();
        other.group.applyPeerTotals("a/1", group.collectChangedTotals());
        expect(other.falls).toEqual([]);
    });

    // Guards against a second burst for each change of the configuration.
    test("has no more tokens than before", () => {
        const { limits, advance, take, level } = createFixture();
        advance(5_000);
        while (take() === 0) {
            // Uses up the bucket.
        }
        limits.configure([]);
        advance(20);
        limits.configure([organisation]);
        expect(level()).toBeLessThan(1.3);
    });

    test("takes what others admitted in the meantime", () => {
        const { group, limits, advance, level } = createFixture();
        advance(5_000);
        group.applyPeerTotals("a/1", [["laurel", 2, 2]]);
        const before = level()!;
        limits.configure([]);
        group.applyPeerTotals("a/1", [["laurel", 9, 7]]);
        limits.configure([organisation]);
        expect(level()).toBeCloseTo(before - 7);
    });

    test("is not in force while it is removed", () => {
        const { limits, group } = createFixture();
        limits.configure([]);
        expect(limits.limitOf(organisation)).toBeUndefined();
        expect([...group.all()]).toEqual([]);
    });

    // Guards against memory that grows with each organisation that ever had a limit.
    test("is forgotten when it stays away", () => {
        const { limits, group, advance } = createFixture();
        limits.configure([]);
        advance(700_000);
        group.tick();
        expect(group.restore("laurel")).toBeUndefined();
        group.add("laurel", createSharedLimit({ ratePerSecond: 1, burst: 1, now: 0, contactShare: 1 }));
    });
});
