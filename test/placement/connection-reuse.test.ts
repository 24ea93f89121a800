import { simulateConnections } from "./connection-simulation";
import type { ConnectionLoad } from "./connection-simulation";

/** A large fleet in front of a service with many targets; an instance sends about four requests per second. */
const largeFleet: ConnectionLoad = {
    seed: 1,
    instances: 118,
    targets: 90,
    slots: 6,
    queueCapacity: 24,
    domains: 3,
    requestsPerSecond: 500,
    meanServiceMs: 380,
    idempotentShare: 0.7,
    transferKb: 4,
    durationMs: 10_000,
};

/** A fifth of the targets fails most requests for some seconds. */
const failingFifth: Partial<ConnectionLoad> = {
    failingShare: (target, now) => target % 5 === 0 && now >= 4_000 && now < 8_000 ? 0.9 : 0,
};

const testTimeoutMs = 120_000;

describe("a service with many targets", () => {
    // Guards against requests that wait at some targets while others have free slots.
    test("has short queues", () => {
        const result = simulateConnections(largeFleet);
        expect(result.largestQueue).toBeLessThanOrEqual(8);
        expect(result.queuedShare).toBeLessThan(0.04);
    }, testTimeoutMs);

    // Guards against targets whose state is unknown since no instance sends them requests while others fail.
    test("receives requests at its sound targets while others fail", () => {
        const result = simulateConnections({ ...largeFleet, ...failingFifth });
        expect(result.smallestCoverage).toBeGreaterThan(0.7);
        expect(result.failedShare).toBeLessThan(0.01);
    }, testTimeoutMs);
});
