import { createUsualShares, outcome } from "@trefoilladder/placement";

describe("outcome baseline", () => {
    // Late attempts are the only sign of a hanging target, so its own must not raise the baseline of lateness.
    test("is not affected by a few unhealthy targets", () => {
        const baseline = createUsualShares();
        for (let round = 0; round < 30; round++) {
            for (let target = 0; target < 17; target++) {
                baseline.note(`t-${target}`, target < 3 ? outcome.late : outcome.success);
            }
        }
        expect(baseline.usual(outcome.late, 0)).toBe(0);
    });

    // 10 of 17 targets lost 0.4 of their responses for four seconds. Guards against their failures raising the baseline: no
    // target was suspected, and requests that cannot be retried kept failing there.
    test("is not affected when the majority of the targets is unhealthy", () => {
        const baseline = createUsualShares();
        for (let round = 0; round < 30; round++) {
            for (let target = 0; target < 17; target++) {
                baseline.note(`t-${target}`, target < 10 && round % 5 < 2 ? outcome.failure : outcome.success);
            }
        }
        expect(baseline.usual(outcome.failure, 0)).toBe(0);
    });

    test("follows outcomes that are common at most targets", () => {
        const baseline = createUsualShares();
        for (let round = 0; round < 40; round++) {
            for (let target = 0; target < 17; target++) {
                baseline.note(`t-${target}`, round % 2 === 0 ? outcome.shed : outcome.success);
            }
        }
        expect(baseline.usual(outcome.shed, 0)).toBeGreaterThan(0.4);
        baseline.note("t-0", outcome.success);
        expect(baseline.usual(outcome.shed, 100)).toBeGreaterThan(0.4);
    });
});
