import type { WorkLoad } from "./work-simulation";

/** Properties of the load that each simulation sets itself. */
type RequiredLoad = Pick<WorkLoad, "loadShare" | "durationMs" | "warmUpMs" | "countedUntilMs" | "byWork">;

/** Returns the load of a service of a large fleet with an urgent class of short requests and a less urgent one of long requests. */
export function largeService(load: RequiredLoad & Partial<WorkLoad>): WorkLoad {
    return {
        seed: 1,
        instances: 118,
        targets: 69,
        slots: 6,
        queueCapacity: 24,
        classes: [
            { share: 0.4, serviceMs: 94, objectiveMs: 300, deadlineMs: 1_500, priority: 0 },
            { share: 0.6, serviceMs: 577, objectiveMs: 2_000, deadlineMs: 6_000, priority: 2 },
        ],
        slow: { count: 0, factor: 1 },
        organisations: 20,
        surge: undefined,
        ...load,
    };
}
