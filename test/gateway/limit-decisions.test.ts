import { createLimitGroup } from "@trefoilladder/limits";
import { createPeers } from "@trefoilladder/mesh";
import { createLimitDecisions } from "../../packages/gateway/src/limit-decisions";
import { createRateLimits } from "../../packages/gateway/src/rate-limits";

const self = "10.0.0.1:7660";
const other = "10.0.0.2:7660";
const organisations = Array.from({ length: 20 }, (_, index) => ({
    name: `organisation-${index}`,
    keys: [],
    priority: undefined,
    ratePerSecond: 10,
    burst: 10,
}));

/** Creates the decisions of one of two instances that have run for some seconds. */
function createFixture() {
    let now = 0;
    let wallClockAhead = 0;
    const asked: string[] = [];
    const group = createLimitGroup({ now: () => now, minChange: 1 });
    const limits = createRateLimits(group, () => now, { stateChange: () => undefined });
    limits.configure(organisations);
    const peers = createPeers(self);
    const decisions = createLimitDecisions({
        group,
        mesh: () => ({
            self,
            peers: () => peers.inContact(now),
            contactShare: () => peers.contactShare(now),
            sendTokenRequest: address => asked.push(address),
        }),
        now: () => now,
        wallClock: () => now + wallClockAhead,
        incarnation: "a1",
        log: { count: () => undefined, lifecycle: () => undefined, stateChange: () => undefined },
    });

    function run(ms: number): void {
        for (const end = now + ms; now < end;) {
            now += 200;
            peers.recordUptime(peers.recordDigest(other, "b1", now)!, now, now);
            group.tick();
            decisions.updateContact(1);
        }
    }

    run(6_000);
    return {
        decisions,
        asked,
        run,
        pause: (ms: number) => now += ms,
        suspend: (ms: number) => wallClockAhead += ms,
        takeAll: () => void organisations.forEach(({ name }) => void decisions.take(name, 1_000)),
    };
}

describe("an instance that owns limits", () => {
    test("decides on some of them, and asks the other instance about the others", () => {
        const { asked, takeAll } = createFixture();
        takeAll();
        expect(asked.length).toBeGreaterThan(0);
        expect(asked.length).toBeLessThan(organisations.length);
    });

    // Guards against an owner that stood still: its buckets have refilled while others decided in its place.
    test.each(["pause", "suspend"] as const)("asks about all of them after it stood still (%s)", kind => {
        const { asked, run, takeAll, ...fixture } = createFixture();
        fixture[kind](3_000);
        run(400);
        takeAll();
        expect(asked).toEqual(organisations.map(() => other));
    });

    test("owns them again some seconds after it stood still", () => {
        const { asked, run, pause, takeAll } = createFixture();
        pause(3_000);
        run(6_000);
        takeAll();
        expect(asked.length).toBeLessThan(organisations.length);
    });
});
