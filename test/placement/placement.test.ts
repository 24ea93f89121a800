import { chooseTarget, expectedCost } from "@trefoilladder/placement";
import type { Candidate, RequestProfile } from "@trefoilladder/placement";
import { createRandomSource } from "../../packages/routing/src/random-source";

const nonRetryable: RequestProfile = { isRetryable: false, transferKb: 1 };
const largeResponse: RequestProfile = { isRetryable: true, transferKb: 90 };

function candidate(fields: Partial<Candidate> = {}): Candidate {
    return {
        unhealthyProbability: 0.02,
        pathFailureProbability: 0.02,
        utilisation: 0.3,
        isCold: false,
        isSameDomain: true,
        ...fields,
    };
}

function sharesOf(candidates: readonly Candidate[], request: RequestProfile, draws = 4_000): number[] {
    const random = createRandomSource(3);
    const counts = candidates.map(() => 0);
    for (let index = 0; index < draws; index++) {
        counts[candidates.indexOf(chooseTarget(candidates, request, () => random.next())!)]! += 1;
    }
    return counts.map(count => count / draws);
}

describe("placement", () => {
    test("returns undefined without candidates", () => {
        expect(chooseTarget([], nonRetryable, Math.random)).toBeUndefined();
    });

    test("keeps non-retryable requests away from suspected targets", () => {
        const shares = sharesOf([candidate({ unhealthyProbability: 0.6 }), candidate(), candidate()], nonRetryable);
        expect(shares[0]).toBeLessThan(0.01);
    });

    test("avoids a healthy target whose network path is broken", () => {
        const shares = sharesOf([candidate({ pathFailureProbability: 0.7 }), candidate(), candidate()], nonRetryable);
        expect(shares[0]).toBeLessThan(0.01);
    });

    test("keeps large responses in the failure domain until its targets are full", () => {
        expect(sharesOf([candidate(), candidate({ isSameDomain: false })], largeResponse)[0]).toBeGreaterThan(0.99);
        expect(sharesOf([candidate({ utilisation: 2 }), candidate({ isSameDomain: false })], largeResponse)[0])
            .toBeLessThan(
                0.5,
            );
    });

    // Guards against requests that queue within the set while targets outside it have free slots.
    test("prefers targets of the set until they have a queue", () => {
        const outside = candidate({ isOutsideSet: true, needsConnection: true, isSameDomain: false });
        expect(sharesOf([candidate(), outside], nonRetryable)[0]).toBeGreaterThan(0.99);
        expect(sharesOf([candidate({ utilisation: 2 }), outside], nonRetryable)[0]).toBeLessThan(0.2);
    });

    test("prefers a target to which a connection is idle", () => {
        expect(sharesOf([candidate(), candidate({ needsConnection: true })], nonRetryable)[0]).toBeGreaterThan(0.7);
    });

    // Guards against all instances choosing the same least loaded target.
    test("spreads requests over targets of equal cost", () => {
        const shares = sharesOf([candidate(), candidate(), candidate(), candidate()], nonRetryable);
        shares.forEach(share => expect(share).toBeGreaterThan(0.2));
    });

    test("prefers a target with free slots to one where requests wait", () => {
        expect(expectedCost(candidate({ utilisation: 0.9 }), nonRetryable)).toBeLessThan(
            expectedCost(candidate({ utilisation: 1.2 }), nonRetryable),
        );
    });

    // Guards against a new target that no instance ever chooses.
    test("sends requests to a cold target while others are busy", () => {
        const shares = sharesOf(
            [candidate({ isCold: true, utilisation: 0 }), candidate({ utilisation: 1.1 })],
            nonRetryable,
        );
        expect(shares[0]).toBeGreaterThan(0.5);
    });
});
