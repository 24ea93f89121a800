import { createVirtualClock } from "@trefoilladder/clock";
import { createEjectionCoordinator, createRandomSource, createRouter } from "@trefoilladder/routing";
import fc from "fast-check";
import { createSyntheticPools, listTargets, service } from "./synthetic-service";

const floor = 0.6;
const targetCount = 10;

const evidenceRow = fc.record({
    target: fc.integer({ min: 0, max: targetCount - 1 }).map(index => `target-${index}`),
    requests: fc.integer({ min: 0, max: 200 }),
    failures: fc.integer({ min: 0, max: 200 }),
    stalls: fc.integer({ min: 0, max: 50 }),
    connectFailures: fc.integer({ min: 0, max: 50 }),
    latencyP50Us: fc.integer({ min: 0, max: 1_000_000 }),
    latencyP95Us: fc.integer({ min: 0, max: 2_000_000 }),
    probes: fc.integer({ min: 0, max: 1 }),
    probeFailures: fc.integer({ min: 0, max: 1 }),
    overdue: fc.integer({ min: 0, max: 20 }),
});

const decision = fc.record({
    target: fc.integer({ min: 0, max: targetCount - 1 }).map(index => `target-${index}`),
    domains: fc.subarray(["a", "b", "c"]),
    evidence: fc.constant("slow"),
    count: fc.integer({ min: 1, max: 5 }),
    remainingMs: fc.integer({ min: 0, max: 20_000 }),
});

const step = fc.record({
    gapMs: fc.integer({ min: 1, max: 700 }),
    instance: fc.integer({ min: 0, max: 5 }),
    rows: fc.array(evidenceRow, { maxLength: 12 }),
    inForce: fc.array(decision, { maxLength: 6 }),
    leaving: fc.subarray(Array.from({ length: targetCount }, (_, index) => `target-${index}`), { maxLength: 4 }),
    cold: fc.subarray(Array.from({ length: targetCount }, (_, index) => `target-${index}`), { maxLength: 4 }),
});

interface ListedTarget {
    id: string;
    leaving: boolean;
    cold: boolean;
}

/** Counts the ejected targets that would otherwise be healthy, and the remaining healthy ones. */
function countCapacity(
    targets: readonly ListedTarget[],
    ejected: ReadonlySet<string>,
): { taken: number; healthy: number; } {
    const available = targets.filter(({ leaving, cold }) => !leaving && !cold);
    const taken = available.filter(({ id }) => ejected.has(id)).length;
    return { taken, healthy: available.length - taken };
}

it(
    "guards against a coordinator ejecting below the floor, for arbitrary evidence, lists and decisions in force",
    async () => {
        let ejections = 0;
        await fc.assert(
            fc.asyncProperty(fc.array(step, { minLength: 5, maxLength: 30 }), async steps => {
                const clock = createVirtualClock();
                let targets: ListedTarget[] = [];
                const coordinator = createEjectionCoordinator({
                    service,
                    clock,
                    random: createRandomSource(1),
                    targets: () => targets,
                    policy: { minHealthyFraction: floor },
                });
                for (const { gapMs, instance, rows, inForce, leaving, cold } of steps) {
                    await clock.advance(gapMs);
                    targets = Array.from({ length: targetCount }, (_, index) => {
                        const id = `target-${index}`;
                        return { id, leaving: leaving.includes(id), cold: cold.includes(id) };
                    });
                    const before = coordinator.handleReport({
                        incarnation: `entry-${instance}`,
                        domain: ["a", "b", "c"][instance % 3]!,
                        service,
                        intervalMs: 500,
                        targets: rows as never,
                        inForce: inForce as never,
                    });
                    // The coordinator decides at most every 100 ms, so the last decisions may come from an older list.
                    await clock.advance(101);
                    const after = coordinator.handleReport({
                        incarnation: "entry-9",
                        domain: "a",
                        service,
                        intervalMs: 500,
                        targets: [],
                        inForce: [],
                    });
                    const { taken, healthy } = countCapacity(
                        targets,
                        new Set(after.decisions.map(({ target }) => target)),
                    );
                    ejections += before.decisions.length;
                    expect(taken === 0 || healthy >= Math.ceil(floor * targetCount)).toBe(true);
                }
            }),
            { numRuns: 150, seed: 20_261 },
        );
        expect(ejections).toBeGreaterThan(100);
    },
    120_000,
);

it("guards against an instance ejecting below the floor by its own evidence or a coordinator's decisions", async () => {
    const outcomes = ["completed", "failed", "stalled", "reset", "truncated", "connect-failed"] as const;
    let ejections = 0;
    await fc.assert(
        fc.asyncProperty(
            fc.array(fc.double({ min: 0, max: 1, noNaN: true }), { minLength: targetCount, maxLength: targetCount }),
            fc.array(decision, { maxLength: 10 }),
            fc.integer({ min: 0, max: 4 }),
            fc.integer(),
            async (failureRates, decisions, leavingCount, seed) => {
                const clock = createVirtualClock();
                const random = createRandomSource(seed);
                const router = createRouter({
                    clock,
                    random,
                    self: { id: "entry-0", domain: "a" },
                    policy: { minHealthyFraction: floor },
                    createPool: createSyntheticPools(clock, () => ({ headersMs: 1 })),
                });
                router.updateTargets(listTargets(targetCount));
                const check = () => {
                    const targets = router.targets(service);
                    const ejected = new Set(targets.filter(target => target.ejected).map(({ id }) => id));
                    const { taken, healthy } = countCapacity(targets, ejected);
                    ejections += taken;
                    expect(taken === 0 || healthy >= Math.ceil(floor * targetCount)).toBe(true);
                };
                for (let round = 0; round < 60; round++) {
                    const acquired = await router.acquire({
                        service,
                        organisation: "laurel",
                        deadlineAt: clock.now() + 1_000,
                        excludedTargets: new Set(),
                        signal: new AbortController().signal,
                    });
                    const attempt = acquired._unsafeUnwrap();
                    const bad = random.next() < failureRates[Number(attempt.target.id.split("-")[1])]!;
                    attempt.release({ outcome: outcomes[bad ? 1 + Math.floor(5 * random.next()) : 0]!, headersMs: 2 });
                    await clock.advance(50);
                    check();
                }
                router.applyDecisions(service, {
                    isCoordinator: true,
                    decisions: decisions as never,
                    version: 1n,
                    floorReached: false,
                });
                check();
                router.updateTargets(
                    listTargets(targetCount).map((listed, index) =>
                        index < leavingCount ? { ...listed, state: "leaving" } : listed
                    ),
                );
                check();
                await router.close();
            },
        ),
        { numRuns: 40, seed: 20_262 },
    );
    expect(ejections).toBeGreaterThan(100);
});
