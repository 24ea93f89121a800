import fc from "fast-check";
import { createQuotaFleet } from "./quota-fleet";
import type { FleetFaults, QuotaFleet } from "./quota-fleet";
import { excessOverLimit } from "./rate-bound";

const noFaults: FleetFaults = { loss: 0, maxDelayMs: 4, pauseShare: 0, maxPauseMs: 0 };
const manyFaults: FleetFaults = { loss: 0.1, maxDelayMs: 60, pauseShare: 0.05, maxPauseMs: 3_000 };
const propertySeed = 20_261_204;

/** Sends requests at random times with a mean rate, each to a uniformly chosen holder. */
async function offerLoad(fleet: QuotaFleet, load: { perSecond: number; seconds: number; deadlineMs: number; }) {
    const pending: Promise<void>[] = [];
    const end = fleet.clock.now() + load.seconds * 1000;
    while (fleet.clock.now() < end) {
        pending.push(fleet.request(Math.floor(fleet.random() * fleet.holders.length), load.deadlineMs));
        await fleet.clock.advance(-Math.log(1 - fleet.random()) * 1000 / load.perSecond);
    }
    await fleet.clock.advance(15_000);
    await Promise.all(pending);
}

/** Sends requests paced by a token bucket with the plan's rate and burst. */
async function offerWithinRate(
    fleet: QuotaFleet,
    limit: { ratePerSecond: number; burst: number; },
    load: { requests: number; meanPerSecond: number; deadlineMs: number; },
) {
    const pending: Promise<void>[] = [];
    let level = limit.burst;
    for (let sent = 0; sent < load.requests; sent += 1) {
        const wait = Math.max(
            -Math.log(1 - fleet.random()) * 1000 / load.meanPerSecond,
            (1 - level) * 1000 / limit.ratePerSecond,
        );
        await fleet.clock.advance(Math.max(0, wait));
        level = Math.min(limit.burst, level + wait * limit.ratePerSecond / 1000) - 1;
        pending.push(fleet.request(Math.floor(fleet.random() * fleet.holders.length), load.deadlineMs));
    }
    await fleet.clock.advance(15_000);
    await Promise.all(pending);
}

describe("fleet-wide quota", () => {
    it("never admits more than rate and burst under loss, delay, pauses, handover and owner loss", async () => {
        const limits = fc.constantFrom(
            { ratePerSecond: 1, burst: 2 },
            { ratePerSecond: 50, burst: 3 },
            { ratePerSecond: 100, burst: 1 },
            { ratePerSecond: 40, burst: 80 },
            { ratePerSecond: 200, burst: 100 },
        );
        await fc.assert(
            fc.asyncProperty(
                fc.integer({ min: 1 }),
                limits,
                fc.integer({ min: 1, max: 8 }),
                async (seed, limit, holders) => {
                    // With a burst of 1, grants expire after 5 ms, so slower calls would admit no request.
                    const maxDelayMs = limit.burst === 1 ? 4 : manyFaults.maxDelayMs;
                    const fleet = createQuotaFleet({ seed, holders, limit, faults: { ...manyFaults, maxDelayMs } });
                    const load = offerLoad(fleet, {
                        perSecond: limit.ratePerSecond * 3,
                        seconds: 12,
                        deadlineMs: 4_000,
                    });
                    void fleet.clock.sleep(3_000).then(() => fleet.handOver());
                    void fleet.clock.sleep(6_000).then(() => fleet.killOwner());
                    await load;
                    fleet.stop();
                    expect(fleet.admittedAt.length).toBeGreaterThan(0);
                    expect(excessOverLimit(fleet.admittedAt, limit)).toBe(0);
                },
            ),
            { seed: propertySeed, numRuns: 10 },
        );
    }, 120_000);

    it.each([
        { name: "small", limit: { ratePerSecond: 1, burst: 2 }, meanPerSecond: 0.9, requests: 400 },
        { name: "large", limit: { ratePerSecond: 400, burst: 800 }, meanPerSecond: 340, requests: 5_000 },
    ])("refuses under 0.1% of the requests of a $name organisation within its rate", async ({ limit, ...load }) => {
        const fleet = createQuotaFleet({ seed: 7, holders: 48, limit, faults: noFaults });
        await fleet.clock.advance(5_000);
        await offerWithinRate(fleet, limit, { ...load, deadlineMs: 4_000 });
        fleet.stop();
        const refused = [...fleet.refusals.values()].reduce((sum, count) => sum + count, 0);
        expect(refused / load.requests).toBeLessThan(0.001);
        expect(excessOverLimit(fleet.admittedAt, limit)).toBe(0);
    }, 120_000);

    it("admits every request of an organisation across the loss of its quota owner", async () => {
        const limit = { ratePerSecond: 10, burst: 20 };
        const fleet = createQuotaFleet({ seed: 3, holders: 6, limit, faults: noFaults });
        await fleet.clock.advance(5_000);
        const load = offerLoad(fleet, { perSecond: 2, seconds: 20, deadlineMs: 6_000 });
        void fleet.clock.sleep(5_000).then(() => fleet.killOwner());
        await load;
        fleet.stop();
        expect([...fleet.refusals]).toEqual([]);
    });
});

describe("rate bound check over every window", () => {
    const limit = { ratePerSecond: 10, burst: 2 };

    it("returns 0 for admissions at exactly the rate and burst", () => {
        expect(excessOverLimit([0, 0, 100, 200, 300], limit)).toBe(0);
    });

    it("returns the excess of one admission too many in a late window", () => {
        expect(excessOverLimit([0, 100, 5_000, 5_000, 5_050], limit)).toBeCloseTo(0.5);
    });
});
