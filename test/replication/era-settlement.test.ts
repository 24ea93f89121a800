import { createEraSettlement, eraSettleMs } from "@trefoilladder/replication";
import type { EraSettlement, KeyedRecord } from "@trefoilladder/replication";
import fc from "fast-check";

/** A settlement with its clock, and the state that results from the records it returned. */
function createHarness() {
    const state = { now: 100_000, era: 1, roseAt: -Infinity };
    const settlement: EraSettlement = createEraSettlement({
        now: () => state.now,
        era: {
            get current() {
                return state.era;
            },
            get roseAt() {
                return state.roseAt;
            },
        },
    });
    const inForce = new Map<string, string>();

    function enforce(records: readonly KeyedRecord[]): void {
        for (const { key, value } of records) {
            if (value === undefined) {
                inForce.delete(key);
            }
            else {
                inForce.set(key, value.toString());
            }
        }
    }

    const encode = (entries: Record<string, string | undefined>) =>
        Object.entries(entries).map(([key, value]) => ({
            key,
            value: value === undefined ? undefined : Buffer.from(value),
        }));

    return {
        snapshot: (entries: Record<string, string>) => enforce(settlement.accept(encode(entries), true)),
        read: (entries: Record<string, string | undefined>) => enforce(settlement.accept(encode(entries), false)),
        rise() {
            state.era += 1;
            state.roseAt = state.now;
        },
        advance(ms: number) {
            state.now += ms;
            enforce(settlement.settle());
        },
        inForce: () => Object.fromEntries(inForce),
        logged: () => settlement.logged().map(({ key }) => key),
    };
}

describe("records after a restore of the store", () => {
    // Guards against requests to an evacuated failure domain because the copy was made before the evacuation.
    test("stay in force although the first snapshot lacks them, until 10 s after the rise", () => {
        const harness = createHarness();
        harness.snapshot({ "evacuate/a": "{}" });
        harness.rise();
        harness.snapshot({});
        harness.advance(eraSettleMs - 1);
        expect(harness.inForce()).toEqual({ "evacuate/a": "{}" });
        expect(harness.logged()).toEqual([]);
        harness.advance(1);
        expect(harness.inForce()).toEqual({});
    });

    // Guards against a revoked key that comes back because the copy was made before it was revoked.
    test("stay deleted although the first snapshot holds them, until 10 s after the rise", () => {
        const harness = createHarness();
        harness.snapshot({ "evacuate/a": "{}" });
        harness.read({ "evacuate/a": undefined });
        harness.rise();
        harness.snapshot({ "evacuate/a": "{}" });
        harness.advance(eraSettleMs - 1);
        expect(harness.inForce()).toEqual({});
        harness.advance(1);
        expect(harness.inForce()).toEqual({ "evacuate/a": "{}" });
    });

    // Guards against an order of the new era that takes effect only 10 s later.
    test("give way at once to records that were written after the first snapshot", () => {
        const harness = createHarness();
        harness.snapshot({ "evacuate/a": "{}", "evacuate/b": "{}" });
        harness.read({ "evacuate/b": undefined });
        harness.rise();
        harness.snapshot({ "evacuate/b": "{}", "evacuate/c": "{}" });
        expect(harness.inForce()).toEqual({ "evacuate/a": "{}", "evacuate/c": "{}" });
        harness.read({ "evacuate/a": undefined, "evacuate/b": "{}" });
        expect(harness.inForce()).toEqual({ "evacuate/b": "{}", "evacuate/c": "{}" });
    });

    // Guards against a change that is missed because it arrived in a second snapshot of the era, after a 410.
    test("give way to a second snapshot only where it differs from the first", () => {
        const harness = createHarness();
        harness.snapshot({ "evacuate/a": "{}", "evacuate/b": "{}" });
        harness.rise();
        harness.snapshot({ "evacuate/b": "old" });
        harness.snapshot({ "evacuate/b": "new", "evacuate/c": "{}" });
        expect(harness.inForce()).toEqual({ "evacuate/a": "{}", "evacuate/b": "new", "evacuate/c": "{}" });
        harness.snapshot({ "evacuate/b": "new" });
        expect(harness.inForce()).toEqual({ "evacuate/a": "{}", "evacuate/b": "new" });
    });

    // Guards against a settlement by the log of the first restore after a second one.
    test("are held anew after a second restore, until 10 s after that one", () => {
        const harness = createHarness();
        harness.snapshot({ "evacuate/a": "{}" });
        harness.rise();
        harness.snapshot({});
        harness.advance(500);
        harness.rise();
        harness.advance(eraSettleMs);
        expect(harness.inForce()).toEqual({ "evacuate/a": "{}" });
        harness.snapshot({});
        expect(harness.inForce()).toEqual({});
    });

    // Guards against a deletion that is remembered for ever and delays a later order.
    test("do not stay deleted when they were deleted more than a minute before", () => {
        const harness = createHarness();
        harness.snapshot({ "evacuate/a": "{}" });
        harness.read({ "evacuate/a": undefined });
        harness.advance(60_000);
        harness.rise();
        harness.snapshot({ "evacuate/a": "{}" });
        expect(harness.inForce()).toEqual({ "evacuate/a": "{}" });
    });

    // Guards against changed behaviour without a restore, and against a state that differs from the log in the end.
    test("are those of the log without a restore, and again 10 s after the last one", () => {
        const key = fc.constantFrom("a", "b", "c");
        const step = fc.oneof(
            fc.record({
                kind: fc.constant("read" as const),
                key,
                value: fc.option(fc.constantFrom("1", "2"), { nil: undefined }),
            }),
            fc.record({ kind: fc.constant("snapshot" as const), keys: fc.subarray(["a", "b", "c"]) }),
            fc.record({ kind: fc.constant("rise" as const) }),
        );
        fc.assert(
            fc.property(fc.array(step, { maxLength: 30 }), steps => {
                const harness = createHarness();
                let log: Record<string, string> = {};
                let hasRisen = false;
                for (const next of steps) {
                    harness.advance(100);
                    if (next.kind === "rise") {
                        hasRisen = true;
                        harness.rise();
                        harness.snapshot(log);
                        continue;
                    }
                    if (next.kind === "snapshot") {
                        log = Object.fromEntries(next.keys.map(name => [name, "1"]));
                        harness.snapshot(log);
                    }
                    else {
                        const others = Object.fromEntries(Object.entries(log).filter(([name]) => name !== next.key));
                        log = next.value === undefined ? others : { ...others, [next.key]: next.value };
                        harness.read({ [next.key]: next.value });
                    }
                    if (!hasRisen) {
                        expect(harness.inForce()).toEqual(log);
                    }
                }
                harness.advance(eraSettleMs);
                expect(harness.inForce()).toEqual(log);
            }),
            { seed: 20_261_206, numRuns: 500 },
        );
    });
});
