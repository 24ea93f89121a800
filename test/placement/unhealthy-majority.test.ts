import { explainedWaitMs, outcome, outcomeWeight, queueWaitMs } from "@trefoilladder/placement";
import { simulateUnhealthyMajority } from "./unhealthy-majority-simulation";
import type { UnhealthyMajority } from "./unhealthy-majority-simulation";

/** A service at which 7 of 11 targets fail nearly all of their requests. */
const unhealthyMajority: UnhealthyMajority = {
    seed: 1,
    healthyTargets: 4,
    unhealthyTargets: 7,
    slots: 6,
    queueCapacity: 24,
    requestsPerSecond: 70,
    meanServiceMs: 380,
    failingShare: 0.9,
    timeoutMs: 2_000,
    lateAfterMs: 750,
    durationMs: 8_000,
};

describe("placement while most targets of a service are unhealthy", () => {
    // Guards against healthy targets that appear unhealthy because they carry the load of the others: more requests than
    // exceeded the healthy targets' capacity were then sent to targets that fail at once.
    test("sends no more requests to unhealthy targets than exceed the capacity of the healthy ones", () => {
        const seeds = [1, 2, 3, 4, 5];
        const failed = seeds.map(seed => simulateUnhealthyMajority({ ...unhealthyMajority, seed }).failedShare);
        const capacity = unhealthyMajority.healthyTargets * unhealthyMajority.slots * 1_000
            / unhealthyMajority.meanServiceMs;
        const excessShare = 1 - capacity / unhealthyMajority.requestsPerSecond;
        expect(failed.reduce((sum, share) => sum + share, 0) / seeds.length).toBeLessThan(excessShare);
    });

    test("serves most of the requests that the healthy targets have capacity for", () => {
        const { servedShare } = simulateUnhealthyMajority(unhealthyMajority);
        const capacity = unhealthyMajority.healthyTargets * unhealthyMajority.slots * 1_000
            / unhealthyMajority.meanServiceMs;
        expect(servedShare).toBeGreaterThan(0.8 * capacity / unhealthyMajority.requestsPerSecond);
    });
});

describe("queue wait at a target", () => {
    test("grows with the requests beyond its slots", () => {
        expect(queueWaitMs(0.5, 400)).toBe(0);
        expect(queueWaitMs(2, 400)).toBe(400);
        expect(queueWaitMs(2, undefined)).toBeGreaterThan(0);
    });

    // Guards against slow targets that are never suspected because they have long queues as well.
    test("explains late responses up to a bound", () => {
        expect(explainedWaitMs(2, 400)).toBe(400);
        expect(explainedWaitMs(20, 400)).toBe(explainedWaitMs(5, 400));
    });
});

describe("weight of an outcome", () => {
    // Guards against instances with broken network paths that make all others avoid targets which respond to those.
    test("is small for a failed connection to a target that has recently responded to another instance", () => {
        expect(outcomeWeight(outcome.unreachable, 100)).toBeLessThan(0.1);
        expect(outcomeWeight(outcome.unreachable, 1_000)).toBeGreaterThan(0.3);
        expect(outcomeWeight(outcome.failure, 100)).toBe(1);
    });
});
