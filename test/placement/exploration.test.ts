import { chooseProbe, outcome, shedOutcome } from "@trefoilladder/placement";
import type { ProbeCandidate } from "@trefoilladder/placement";
import { createRandomSource } from "../../packages/routing/src/random-source";

function candidate(fields: Partial<ProbeCandidate> = {}): ProbeCandidate {
    return {
        unhealthyProbability: 0.9,
        pathFailureProbability: 0.02,
        msSinceOutcome: 5_000,
        isSameDomain: true,
        ...fields,
    };
}

function probedShare(candidates: readonly ProbeCandidate[], transferKb = 1): number {
    const random = createRandomSource(5);
    const draws = 2_000;
    let probes = 0;
    for (let draw = 0; draw < draws; draw++) {
        probes += chooseProbe(candidates, { transferKb }, () => random.next()) === undefined ? 0 : 1;
    }
    return probes / draws;
}

// Guards against suspected targets that receive no request although they are sound again.
describe("a probe with a retryable request", () => {
    test("goes to a suspected target without recent outcomes, for a part of the requests", () => {
        const share = probedShare([candidate(), candidate({ unhealthyProbability: 0.01 })]);
        expect(share).toBeGreaterThan(0.1);
        expect(share).toBeLessThan(0.5);
    });

    test.each([
        ["is not suspected", { unhealthyProbability: 0.02 }],
        ["has shown an outcome just now", { msSinceOutcome: 100 }],
        ["cannot be reached by this instance", { pathFailureProbability: 0.9 }],
        // Guards against a queue at a target that all instances of a large fleet probe before they learn of its first outcome.
        ["is outside the set of this instance", { isOutsideSet: true }],
    ])("does not go to a target that %s", (_, fields) => {
        expect(probedShare([candidate(fields)])).toBe(0);
    });
});

// Guards against large responses that cross failure domains only to probe a target.
test("a probe crosses failure domains with a small transfer only", () => {
    const far = candidate({ isSameDomain: false });
    expect(probedShare([far], 1)).toBeGreaterThan(0.1);
    expect(probedShare([far], 90)).toBe(0);
    expect(probedShare([candidate()], 90)).toBeGreaterThan(0.1);
});

// Guards against sound targets that are suspected since they carry the load of the unhealthy ones.
describe("the outcome of a rejected request", () => {
    test("is no sign of poor health when all slots of the target are in use", () => {
        expect(shedOutcome({ running: 6, waiting: 24, slots: 6 })).toBe(outcome.overloaded);
    });

    test("is a sign of poor health at a target with free slots, or without a known load", () => {
        expect(shedOutcome({ running: 2, waiting: 0, slots: 6 })).toBe(outcome.shed);
        expect(shedOutcome({ running: 0, waiting: 0, slots: 0 })).toBe(outcome.shed);
        expect(shedOutcome(undefined)).toBe(outcome.shed);
    });
});
