import { createTargetSets } from "../../packages/gateway/src/target-sets";
import { targetRecord } from "./fixtures";

const targets = Array.from({ length: 40 }, (_, index) => ({ ...targetRecord(index, index + 1), coldUntil: 0 }));

function createSets(peerCount: number) {
    const fleet = { now: 0, peerCount };
    const sets = createTargetSets({
        self: () => ({ id: "10.0.0.0:1", domain: "a" }),
        peers: () => Array.from({ length: fleet.peerCount }, (_, index) => ({ id: `10.0.1.${index}:1`, domain: "a" })),
        hasIdleConnection: () => true,
        now: () => fleet.now,
    });

    /** Returns the ids of the set after some requests, with as many requests in progress. */
    function setAfter(requests: number, inProgress: number, listed = targets): string[] {
        for (let count = 0; count < requests; count++) {
            sets.ranked("dossier", listed, () => inProgress);
        }
        const candidates = sets.ranked("dossier", listed, () => inProgress)!.map(target => ({
            target,
            unhealthyProbability: 0.01,
            pathFailureProbability: 0.01,
            utilisation: 0.2,
            msSinceOutcome: 0,
            isCold: false,
            isSameDomain: true,
            isOutsideSet: false,
        }));
        sets.mark("dossier", candidates, 1_000);
        return candidates.filter(({ isOutsideSet }) => !isOutsideSet).map(({ target }) => target.id);
    }

    return { fleet, setAfter };
}

describe("the set of an instance", () => {
    // Guards against sets that stay large after a surge, or grow with each target that is removed while it has requests.
    test("follows the requests in progress in both directions", () => {
        const { setAfter } = createSets(60);
        const usual = setAfter(100, 1).length;
        expect(setAfter(200, 24).length).toBeGreaterThanOrEqual(24);
        expect(setAfter(200, 1).length).toBeLessThanOrEqual(usual + 2);
    });

    test("excludes a target that has left, and keeps the others", () => {
        const { setAfter } = createSets(60);
        const before = setAfter(0, 1);
        const after = setAfter(0, 1, targets.filter(({ id }) => id !== before[0]));
        expect(after).not.toContain(before[0]);
        expect(before.filter(id => !after.includes(id)).length).toBeLessThanOrEqual(2);
    });

    // Guards against targets that no instance prefers after most instances have left.
    test("grows when other instances leave", () => {
        const { fleet, setAfter } = createSets(200);
        const before = setAfter(0, 1).length;
        Object.assign(fleet, { now: 2_000, peerCount: 3 });
        expect(setAfter(0, 1).length).toBeGreaterThan(2 * before);
    });
});
