import { createOutcomeBaseline, outcome } from "@trefoilladder/placement";

describe("outcome baseline", () => {
    // Late attempts are the only sign of a hanging target, so its own must not raise the baseline of lateness.
    test("is not affected by a few unhealthy targets", () => {
        const baseline = createOutcomeBaseline();
        for (let round = 0; round < 30; round++) {
            for (let target = 0; target < 17; target++) {
                baseline.record(`t-${target}`, target < 3 ? outcome.late : outcome.success);
            }
        }
        expect(baseline.share(outcome.late, 0)).toBe(0);
    });

    // 10 of 17 targets lost 0.4 of their responses for four seconds. Guards against their failures raising the baseline: no
    // target was suspected, and requests that cannot be retried kept failing there.
    test("is not affected when the majority of the targets is unhealthy", () => {
        const baseline = createOutcomeBaseline();
        for (let round = 0; round < 30; round++) {
            for (let target = 0; target < 17; target++) {
                baseline.record(`t-${target}`, target < 10 && round % 5 < 2 ? outcome.failure : outcome.success);
            }
        }
        expect(baseline.share(outcome.failure, 0)).toBe(0);
    });

    test("follows outcomes that are common at most targets", () => {
        const baseline = createOutcomeBaseline();
        for (let round = 0; round < 40; round++) {
            for (let target = 0; target < 17; target++) {
                baseline.record(`t-${target}`, round % 2 === 0 ? outcome.shed : outcome.success);
            }
        }
        expect(baseline.share(outcome.shed, 0)).toBeGreaterThan(0.4);
        baseline.record("t-0", outcome.success);
        expect(baseline.share(outcome.shed, 100)).toBeGreaterThan(0.4);
    });
});
