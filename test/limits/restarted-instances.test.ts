import { allowedInWindow, maxInWindow, simulateFleet, warmUpMs } from "./fleet-simulation";
import type { FleetEvent, FleetScenario, Plan } from "./fleet-simulation";
import { restartAt } from "./restart-event";

const instances = 40;
const all = Array.from({ length: instances }, (_, index) => index);
const plan: Plan = { ratePerSecond: 60, burst: 120 };
/** Plan whose burst is used up within the interval of digests. */
const smallBurst: Plan = { ratePerSecond: 50, burst: 20 };

/** Returns ten times the plan's rate from all callers together. */
function tenTimes({ ratePerSecond }: Plan): FleetScenario["demandPerSecond"] {
    return () => 10 * ratePerSecond;
}

/** Returns a third of the instances, different ones for each turn. */
function third(turn: number): number[] {
    return all.filter(index => index % 3 === turn % 3);
}

function expectWithinLimit(fields: Partial<FleetScenario> & { plan: Plan; }): void {
    const run = simulateFleet({ seed: 1, instances, demandPerSecond: tenTimes(fields.plan), ...fields });
    expect(maxInWindow(run.admitted)).toBeLessThanOrEqual(allowedInWindow(fields.plan));
}

// Guards against an organisation that gets more than its limit because instances forget what the fleet has admitted, or admit the
// same tokens before they hear of each other (incident inc3).
describe("an organisation that sends ten times its rate stays within its limit", () => {
    test("when all instances restart", () => {
        expectWithinLimit({ plan, events: [restartAt(4_000, all)] });
    });

    test("when all instances restart twice", () => {
        expectWithinLimit({ plan, events: [restartAt(4_000, all), restartAt(7_000, all)] });
    });

    test("when a third of the instances restarts each second", () => {
        const events = [0, 1, 2, 3, 4].map(turn => restartAt(4_000 + 1_000 * turn, third(turn)));
        expectWithinLimit({ plan, events });
    });

    test("when it leaves the configuration and comes back, from instance to instance at different times", () => {
        const events = all.flatMap((index): FleetEvent[] => [
            { kind: "withdraw", atMs: warmUpMs + 4_000 + 20 * index, instances: [index] },
            { kind: "grant", atMs: warmUpMs + 4_500 + 20 * index, instances: [index] },
        ]);
        expectWithinLimit({ plan, events });
    });

    // Guards against a burst that is granted by each of many instances before they hear of each other's admissions.
    test("when its burst is used up between two digests", () => {
        const demandPerSecond = (now: number) => (now < warmUpMs + 5_000 ? 0.6 : 10) * smallBurst.ratePerSecond;
        expectWithinLimit({ plan: smallBurst, seed: 2, demandPerSecond });
    });

    // Guards against a burst that each instance admits when all receive a request at the same moment.
    test("when its requests arrive at all instances at the same moments", () => {
        const small: Plan = { ratePerSecond: 2, burst: 2 };
        const scenario = { plan: small, instances: 34, isInStep: true };
        expectWithinLimit({ ...scenario, demandPerSecond: () => 2 * 1.134 });
        expectWithinLimit({ ...scenario, demandPerSecond: () => 34 });
    });

    // Guards against instances that admit a whole burst each after a pause, since their copies of the bucket had refilled meanwhile.
    test("when instances stand still for some seconds, with a small burst", () => {
        const events: FleetEvent[] = [{
            kind: "pause",
            atMs: warmUpMs + 1_000,
            instances: all.slice(0, 12),
            forMs: 5_000,
        }];
        expectWithinLimit({ plan: smallBurst, events });
    });

    // Guards against the sides of a partition that each admit the whole limit.
    test("when a third of the instances is separated from the others", () => {
        const events: FleetEvent[] = [{ kind: "separate", atMs: warmUpMs + 4_000, instances: third(0), forMs: 6_000 }];
        expectWithinLimit({ plan, events });
    });

    test("when a third of the instances is cut off, each from all others", () => {
        const events: FleetEvent[] = [{ kind: "isolate", atMs: warmUpMs + 4_000, instances: third(0), forMs: 6_000 }];
        expectWithinLimit({ plan, events });
    });

    test("when three digests in ten are lost while instances restart", () => {
        const events = [0, 1, 2].map(turn => restartAt(4_000 + 1_000 * turn, third(turn)));
        expectWithinLimit({ plan, events, lossShare: 0.3 });
    });
});

// Guards against an owner that stood still or was restarted and rejects requests within the limit, since its copy of the bucket is behind.
describe("an organisation that sends its usual load loses hardly any request", () => {
    const pausedThird: FleetEvent = { kind: "pause", atMs: warmUpMs + 4_000, instances: third(0), forMs: 3_000 };
    const inTurn = Array.from(
        { length: 10 },
        (_, turn) => restartAt(2_000 + 800 * turn, all.slice(4 * turn, 4 * turn + 4)),
    );

    test.each([
        { name: "while a third of the instances stands still", events: [pausedThird] },
        { name: "while all instances restart in turn", events: inTurn },
    ])("$name", ({ events }) => {
        const run = simulateFleet({
            seed: 1,
            instances,
            plan,
            events,
            demandPerSecond: () => 0.6 * plan.ratePerSecond,
        });
        expect(run.rejected.length).toBeLessThanOrEqual(0.01 * (run.admitted.length + run.rejected.length));
    });
});
