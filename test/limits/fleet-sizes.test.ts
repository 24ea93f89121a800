import { allowedInWindow, maxInWindow, simulateFleet, warmUpMs } from "./fleet-simulation";
import type { FleetEvent, Plan } from "./fleet-simulation";

/** Seeds of the runs, `LIMIT_SEEDS=20` for the first twenty. */
const seeds = Array.from({ length: Number(process.env.LIMIT_SEEDS ?? 1) }, (_, index) => index + 1);
/** Plans as on the users' sites, a burst of one second and 1.6 times the usual load. */
const plans: Plan[] = [{ ratePerSecond: 77, burst: 77 }, { ratePerSecond: 8, burst: 8 }];
const usualShare = 1 / 1.6;
const hotFactor = 10;
const hotAfterMs = 3_000;
const durationMs = warmUpMs + 12_000;

/** Numbers of instances of the users' sites; a run of 293 takes half a minute, `LIMIT_SIZES=293` plays it. */
const sizes = (process.env.LIMIT_SIZES ?? "40,132").split(",").map(Number);

const cases = sizes.flatMap(instances => plans.map(plan => ({ instances, plan })));

/** Returns the usual load of a plan, and ten times as much from a moment on. */
function demand({ ratePerSecond }: Plan, factor: number): (nowMs: number) => number {
    return now => ratePerSecond * usualShare * (now < warmUpMs + hotAfterMs ? 1 : factor);
}

/** Returns the number of requests that a single bucket rejects, the fewest possible. */
function rejectedByOneBucket(times: readonly number[], { ratePerSecond, burst }: Plan): number {
    let level = burst;
    let updatedAt = 0;
    let rejected = 0;
    for (const time of times) {
        level = Math.min(burst, level + (time - updatedAt) * ratePerSecond / 1_000);
        updatedAt = time;
        if (level >= 1) {
            level -= 1;
        }
        else {
            rejected += 1;
        }
    }
    return rejected;
}

describe.each(cases)("an organisation on $instances instances ($plan.ratePerSecond/s)", ({ instances, plan }) => {
    const scenario = { instances, plan, isUneven: true, durationMs };

    // Guards against an excess in the age of the totals, which are up to 0.7 s old on large fleets (QUOTA on laurel-gw-large).
    test.each(seeds)("stays within its limit from the moment of ten times its usual load, seed %d", seed => {
        const run = simulateFleet({ ...scenario, seed, demandPerSecond: demand(plan, hotFactor) });
        expect(maxInWindow(run.admitted)).toBeLessThanOrEqual(allowedInWindow(plan));
    }, 120_000);

    test.each(seeds)("stays within its limit when all restart under this load, seed %d", seed => {
        const restart: FleetEvent = {
            kind: "restart",
            atMs: warmUpMs + hotAfterMs + 3_000,
            instances: Array.from({ length: instances }, (_, index) => index),
            forMs: 500,
        };
        const run = simulateFleet({ ...scenario, seed, events: [restart], demandPerSecond: demand(plan, hotFactor) });
        expect(maxInWindow(run.admitted)).toBeLessThanOrEqual(allowedInWindow(plan));
    }, 120_000);

    // Guards against rejections within the limit, which callers pay for.
    test.each(seeds)("loses fewer than one in a hundred requests of its usual load, seed %d", seed => {
        const run = simulateFleet({ ...scenario, seed, demandPerSecond: demand(plan, 1) });
        const total = run.admitted.length + run.rejected.length;
        const fewest = rejectedByOneBucket([...run.admitted, ...run.rejected].sort((a, b) => a - b), plan);
        expect(run.rejected.length).toBeLessThanOrEqual(fewest + 0.01 * total);
    }, 120_000);
});
