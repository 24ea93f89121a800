import { simulateLoad } from "./load-simulation";
import type { SimulatedLoad } from "./load-simulation";

/** A busy service after two of its targets have left. */
const busyService: SimulatedLoad = {
    seed: 1,
    instances: 40,
    targets: 15,
    slots: 6,
    requestsPerSecond: 130,
    meanServiceMs: 380,
    domains: 3,
    durationMs: 20_000,
};

// Guards against all instances choosing the targets that reported the lowest load, so that requests queue at some targets
// while others have free slots.
describe("placement by many instances at high load", () => {
    test.each([[130, 0.001], [160, 0.005], [200, 0.05]])(
        "keeps requests from queueing while slots are free, at %d requests per second",
        (requestsPerSecond, maxSlowShare) => {
            const { slowShare, meanWaitMs } = simulateLoad({ ...busyService, requestsPerSecond });
            expect(slowShare).toBeLessThanOrEqual(maxSlowShare);
            expect(meanWaitMs).toBeLessThan(busyService.meanServiceMs / 4);
        },
    );
});
