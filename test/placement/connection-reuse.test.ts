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

const testTimeoutMs = 120_000;

function simulate(fields: Partial<ConnectionLoad> = {}) {
    return simulateConnections({ ...largeFleet, ...fields });
}

describe("a large fleet in front of a service with many targets", () => {
    // Guards against a connection and a request to another failure domain for most requests: with all targets alike, 0.82
    // connections were opened for each request, and 0.54 of the requests left their failure domain.
    test("reuses connections, stays in its failure domains, and sends requests to new targets", () => {
        const addedAt = 6_000;
        const isNew = (target: number) => target % 9 === 4;
        const result = simulate({ isListed: (target, now) => !isNew(target) || now >= addedAt });
        expect(result.openedShare).toBeLessThan(0.2);
        expect(result.crossDomainShare).toBeLessThan(0.02);
        expect(result.largestQueue).toBeLessThanOrEqual(8);
        expect(result.queuedShare).toBeLessThan(0.06);
        const newArrivals = result.firstArrivals.filter((_, target) => isNew(target));
        expect(Math.max(...newArrivals)).toBeLessThan(addedAt + 3_000);
    }, testTimeoutMs);

    // Guards against queues in the domain that receives more requests than the others.
    test("has short queues in a domain with one and a half times the load", () => {
        const result = simulate({ loadFactor: domain => domain === 0 ? 1.5 : 1 });
        expect(result.openedShare).toBeLessThan(0.2);
        expect(result.largestQueue).toBeLessThanOrEqual(10);
        expect(result.queuedShare).toBeLessThan(0.1);
    }, testTimeoutMs);

    // Guards against targets whose state is unknown since no instance sends them requests while others fail, and against probes by
    // all instances at once: up to 24 requests waited at a target that had recovered.
    test("sends requests to the sound targets while a fifth fails", () => {
        const result = simulate({
            failingShare: (target, now) => target % 5 === 0 && now >= 4_000 && now < 8_000 ? 0.9 : 0,
        });
        expect(result.smallestCoverage).toBeGreaterThan(0.7);
        expect(result.failedShare).toBeLessThan(0.01);
        expect(result.largestQueue).toBeLessThanOrEqual(10);
    }, testTimeoutMs);

    // Guards against all instances of a domain sending to its few sound targets, where 21 requests waited.
    test.each<[string, Partial<ConnectionLoad>]>([
        ["has few targets", { isListed: target => target % 3 !== 0 || target < 12 }],
        ["has 22 failing targets of 30", {
            failingShare: (target, now) => target % 3 === 0 && target < 66 && now >= 4_000 ? 0.9 : 0,
        }],
    ])("uses other domains without a long queue when a domain %s", (_, fields) => {
        const result = simulate(fields);
        expect(result.largestQueue).toBeLessThanOrEqual(12);
        expect(result.queuedShare).toBeLessThan(0.15);
        expect(result.failedShare).toBeLessThan(0.01);
    }, testTimeoutMs);
});
