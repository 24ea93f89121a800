import { createRandomSource } from "../../packages/routing/src/random-source";
import { allowedInWindow, maxInWindow, simulateFleet, warmUpMs } from "./fleet-simulation";
import type { FleetEvent, FleetRun, Plan } from "./fleet-simulation";

const instances = 100;
const killAt = warmUpMs + 3_000;
const offMs = 1_000;
const startSpreadMs = 1_000;
const firstStartAt = killAt + offMs;
const measuredMs = 3_000;
const maxConfigurationDelayMs = 700;

/** Plans of 70 organisations, from 300 requests per second down to 1, 598 together. */
const organisations = Array.from({ length: 70 }, (_, index): Plan => {
    const ratePerSecond = Math.max(1, Math.round(300 / (index + 1) ** 1.75));
    return { ratePerSecond, burst: Math.max(2, ratePerSecond) };
});
const totalRate = organisations.reduce((sum, { ratePerSecond }) => sum + ratePerSecond, 0);

/** Runs the fleet, each organisation sending a multiple of its rate; all instances lose power and start within a second. */
function simulateRestart(load: number): FleetRun {
    const random = createRandomSource(1_001);
    const events = Array.from({ length: instances }, (_, index): FleetEvent => ({
        kind: "restart",
        atMs: killAt,
        instances: [index],
        forMs: offMs + Math.floor(random.next() * startSpreadMs / 10) * 10,
    }));
    return simulateFleet({
        seed: 1,
        instances,
        plan: organisations[0]!,
        organisations,
        events,
        deadlinesMs: [1_200, 4_000],
        configurationDelayMs: index => 100 + Math.floor(maxConfigurationDelayMs * (index % 10) / 10),
        demandPerSecond: () => load * totalRate,
        durationMs: firstStartAt + 6_000,
    });
}

describe("when all instances lose power and start within a second", () => {
    // Guards against buckets that begin empty and reject requests for which a token would be there a moment later.
    test("organisations within their plans lose few requests in the first 3 s", () => {
        const run = simulateRestart(0.8);
        const arrived = run.requests.filter(({ arrivedAt }) =>
            arrivedAt >= firstStartAt && arrivedAt < firstStartAt + measuredMs
        );
        const refused = arrived.filter(({ isAdmitted }) => !isAdmitted);
        expect(arrived.length).toBeGreaterThan(1_000);
        expect(refused.length).toBeLessThanOrEqual(0.08 * arrived.length);
    }, 120_000);

    // Guards against tokens that are reserved beyond the plan, counted when requests are admitted and when they arrive.
    test("no organisation exceeds its limit at seven times its rate", () => {
        const run = simulateRestart(7);
        organisations.forEach((plan, index) => {
            const admitted = run.requests.filter(({ organisation, isAdmitted }) =>
                organisation === index && isAdmitted
            );
            const times = [
                admitted.map(({ decidedAt }) => decidedAt),
                admitted.map(({ arrivedAt }) => arrivedAt),
            ];
            times.forEach(unsorted =>
                expect(maxInWindow([...unsorted].sort((a, b) => a - b))).toBeLessThanOrEqual(allowedInWindow(plan))
            );
        });
    }, 120_000);
});
