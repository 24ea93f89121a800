import { createColdShares } from "@trefoilladder/limits";
import type { OwnerCandidate } from "@trefoilladder/limits";
import { maxInWindow, simulateFleet, warmUpMs } from "./fleet-simulation";
import type { FleetEvent, FleetRun, FleetScenario } from "./fleet-simulation";
import { restartAt } from "./restart-event";

/** Seeds of the runs, `LIMIT_SEEDS=20` for the first twenty. */
const seeds = Array.from({ length: Number(process.env.LIMIT_SEEDS ?? 1) }, (_, index) => index + 1);
/** Numbers of instances; a run of 293 takes minutes, `LIMIT_SIZES=293` plays it. */
const sizes = (process.env.LIMIT_SIZES ?? "34,111").split(",").map(Number);
/** Requests per second that a cold target handles, and the most in any one second: above that the target crashes. */
const perSecond = 4.7;
const allowed = Math.floor(1.5 * perSecond + 8);
const boundWindowMs = 1_000;
/** Targets of a failure domain. */
const ids = Array.from({ length: 4 }, (_, index) => `i-${index}`);

function play(instances: number, seed: number, fields: Partial<FleetScenario>): FleetRun {
    return simulateFleet({
        seed,
        instances,
        plan: { ratePerSecond: 1, burst: 1 },
        demandPerSecond: () => 0,
        durationMs: warmUpMs + 8_000,
        coldTargets: { ids, perSecond, fromMs: 0 },
        ...fields,
    });
}

function largest({ sentToCold }: FleetRun): number {
    return Math.max(0, ...[...sentToCold.values()].map(times => maxInWindow(times, boundWindowMs)));
}

function indices(instances: number): number[] {
    return Array.from({ length: instances }, (_, index) => index);
}

// Guards against a cold target that crashes because the instances together send it more than it can handle.
describe.each(sizes)("%d instances send a cold target no more than its bound", instances => {
    const all = indices(instances);

    test.each(seeds)("when a third of the fleet restarts each second, seed %d", seed => {
        const events = Array.from(
            { length: 6 },
            (_, turn) => restartAt(1_000 * turn, all.filter(index => index % 3 === turn % 3)),
        );
        expect(largest(play(instances, seed, { events }))).toBeLessThanOrEqual(allowed);
    }, 240_000);

    test.each(seeds)("when all instances restart at once, seed %d", seed => {
        const run = play(instances, seed, { events: [restartAt(1_000, all)] });
        expect(largest(run)).toBeLessThanOrEqual(allowed);
        // The fleet knows itself again a few seconds after the restart and sends on.
        expect(run.sentToCold.size).toBe(ids.length);
        for (const times of run.sentToCold.values()) {
            expect(times.at(-1)).toBeGreaterThan(warmUpMs + 4_000);
        }
    }, 240_000);

    test.each(seeds)("when half of the fleet is cut off from the other half, seed %d", seed => {
        const half: FleetEvent = {
            kind: "separate",
            atMs: warmUpMs + 1_000,
            instances: all.filter(index => index % 2 === 0),
            forMs: 3_000,
        };
        expect(largest(play(instances, seed, { events: [half] }))).toBeLessThanOrEqual(allowed);
    }, 240_000);

    test.each(seeds)("when a whole failure domain of targets becomes cold at once, seed %d", seed => {
        const run = play(instances, seed, { coldTargets: { ids, perSecond, fromMs: warmUpMs + 1_000 } });
        expect(largest(run)).toBeLessThanOrEqual(allowed);
        // The targets get a good part of what they handle; nothing would also stay within the bound.
        for (const id of ids) {
            expect(run.sentToCold.get(id)!.length).toBeGreaterThan(0.5 * perSecond * 7);
        }
    }, 240_000);
});

describe("an instance", () => {
    interface View {
        contactShare?: number;
        ownStart?: number;
        others?: readonly number[];
        hasOthers?: boolean;
    }

    function create(fields: View) {
        const candidates: OwnerCandidate[] = [
            { address: "self", runningSince: fields.ownStart ?? 0 },
            ...(fields.others ?? [0]).map((runningSince, index) => ({ address: `other-${index}`, runningSince })),
        ];
        let now = 20_000;
        const shares = createColdShares({
            self: () => "self",
            now: () => now,
            runningSince: () => fields.ownStart ?? 0,
            candidates: () => candidates,
            hasOthers: () => fields.hasOthers ?? true,
            contactShare: () => fields.contactShare ?? 1,
        });
        return { shares, advance: (ms: number) => now += ms };
    }

    // Guards against a burst at a target that was not asked for a while.
    test("sends single requests at its share of the rate", () => {
        const { shares, advance } = create({});
        expect(shares.mayTake("t", perSecond)).toBe(true);
        shares.take("t", perSecond);
        expect(shares.mayTake("t", perSecond)).toBe(false);
        advance(3_000 / (0.75 * perSecond) - 10);
        expect(shares.mayTake("t", perSecond)).toBe(false);
        advance(20);
        expect(shares.mayTake("t", perSecond)).toBe(true);
    });

    // Guards against shares of two disjoint views of the fleet that add up to more than the bound.
    test.each([0.5, 4.7, 20, 200])("sends at most a sixth of the bound in one second at a rate of %d", rate => {
        const { shares, advance } = create({});
        const times: number[] = [];
        for (let at = 0; at < 10_000; at += 5) {
            if (shares.mayTake("t", rate)) {
                shares.take("t", rate);
                times.push(at);
            }
            advance(5);
        }
        expect(2 * 3 * maxInWindow(times, boundWindowMs)).toBeLessThanOrEqual(1.5 * rate + 8);
    });

    // Guards against requests of instances that rank themselves among the few others that they know.
    test.each([
        ["with a low contact share", { contactShare: 0.89 }],
        ["that has lost all others for so long that it has forgotten them", { others: [] }],
        ["that has just started while others run", { ownStart: 16_000 }],
        ["that has just started with the whole fleet", { ownStart: 19_000, others: [19_000] }],
    ])("%s sends nothing", (_, fields) => {
        expect(create(fields).shares.mayTake("t", perSecond)).toBe(false);
    });

    test("that is the only one of its deployment sends", () => {
        expect(create({ others: [], hasOthers: false }).shares.mayTake("t", perSecond)).toBe(true);
    });

    test("that started with the whole fleet sends before the others would count it as settled", () => {
        expect(create({ ownStart: 17_500, others: [17_400] }).shares.mayTake("t", perSecond)).toBe(true);
    });
});
