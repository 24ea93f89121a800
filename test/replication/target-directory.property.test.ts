import { createVirtualClock } from "@trefoilladder/clock";
import type { TargetRecord } from "@trefoilladder/serving";
import fc from "fast-check";
import { targetRecord } from "../gateway/fixtures";
import { createTestDirectory } from "./create-test-directory";

/** One input of a directory; inputs come in any order, since records, copies and responses may be late. */
type Input =
    | { kind: "record"; target: number; start: number; sequence: number; draining: boolean; }
    | { kind: "drop"; target: number; }
    | { kind: "copy"; targets: readonly number[]; start: number; sequence: number; }
    | { kind: "leaving"; target: number; start: number; }
    | { kind: "throttling"; target: number; start: number; seconds: number; }
    | { kind: "outage"; }
    /** Passage of time, including a time in which the process is suspended. */
    | { kind: "time"; ms: number; }
    | { kind: "restart"; };

const targetCount = 3;
const target = fc.nat(targetCount - 1);
const start = fc.constantFrom(1_000, 2_000);
const sequence = fc.integer({ min: 1, max: 4 });

const input: fc.Arbitrary<Input> = fc.oneof(
    fc.record({ kind: fc.constant("record" as const), target, start, sequence, draining: fc.boolean() }),
    fc.record({ kind: fc.constant("drop" as const), target }),
    fc.record({ kind: fc.constant("copy" as const), targets: fc.uniqueArray(target), start, sequence }),
    fc.record({ kind: fc.constant("leaving" as const), target, start }),
    fc.record({
        kind: fc.constant("throttling" as const),
        target,
        start,
        seconds: fc.constantFrom(0.5, 1, 3, 10, Infinity),
    }),
    fc.record({ kind: fc.constant("outage" as const) }),
    fc.record({ kind: fc.constant("time" as const), ms: fc.integer({ min: 1, max: 4_000 }) }),
    fc.record({ kind: fc.constant("restart" as const) }),
);

/** Longest time in milliseconds for which the directory honours a target's throttling. */
const maxThrottlingMs = 300_000;

/** Tracks the incarnations that must not receive requests: those that reported leaving, or that are throttling. */
function createOracle() {
    const left = new Set<string>();
    const throttlingEnds = new Map<string, number>();
    const keyOf = (id: string, startedAt: number) => `${id}/${startedAt}`;
    return {
        leaving: (id: string, startedAt: number) => void left.add(keyOf(id, startedAt)),
        throttling(id: string, startedAt: number, at: number) {
            throttlingEnds.set(keyOf(id, startedAt), Math.max(throttlingEnds.get(keyOf(id, startedAt)) ?? 0, at));
        },
        forbids: ({ id, startedAt }: TargetRecord, now: number) =>
            left.has(keyOf(id, startedAt)) || now < (throttlingEnds.get(keyOf(id, startedAt)) ?? 0),
    };
}

async function replay(events: readonly Input[]): Promise<void> {
    const clock = createVirtualClock();
    let graceUntil = -Infinity;
    const createDirectory = () => createTestDirectory({ clock, expiryGraceUntil: () => graceUntil });
    let directory = createDirectory();
    let oracle = createOracle();
    const put = (index: number, startedAt: number, fields: Partial<TargetRecord>) =>
        directory.put(targetRecord(index, 80 + index, { startedAt, ...fields }));
    for (const step of events) {
        switch (step.kind) {
            case "record":
                put(step.target, step.start, { sequence: step.sequence, draining: step.draining });
                break;
            case "drop":
                directory.drop(`target-${step.target}`);
                break;
            case "copy":
                step.targets.forEach(index => put(index, step.start, { sequence: step.sequence }));
                directory.retain(new Set(step.targets.map(index => `target-${index}`)));
                break;
            case "leaving":
                directory.markLeaving({ id: `target-${step.target}`, startedAt: step.start });
                oracle.leaving(`target-${step.target}`, step.start);
                break;
            case "throttling":
                directory.markThrottling({ id: `target-${step.target}`, startedAt: step.start }, step.seconds * 1_000);
                oracle.throttling(
                    `target-${step.target}`,
                    step.start,
                    clock.now() + Math.min(maxThrottlingMs, step.seconds * 1_000),
                );
                break;
            case "outage":
                graceUntil = clock.now() + 2_200;
                break;
            case "time":
                await clock.advance(step.ms);
                break;
            case "restart":
                directory = createDirectory();
                oracle = createOracle();
                break;
        }
        for (const served of directory.serving("dossier")) {
            expect(oracle.forbids(served, clock.now())).toBe(false);
            expect(directory.isServing(served)).toBe(true);
        }
    }
}

describe("targets that receive new requests", () => {
    // Guards against a target that reported leaving, or is throttling this instance, and receives requests after late records or copies.
    test("never include a leaving or throttling incarnation, in any order of inputs", async () => {
        await fc.assert(fc.asyncProperty(fc.array(input, { maxLength: 40 }), replay), {
            numRuns: 1_000,
            seed: 20261205,
        });
    }, 60_000);
});
