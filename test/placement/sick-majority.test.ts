import { explainedWaitMs, outcome, outcomeWeight, queueWaitMs } from "@trefoilladder/placement";
import { replaySickMajority } from "./sick-majority-replay";
import type { SickMajority } from "./sick-majority-replay";

/** The dossier service in seconds 7 to 9 of scale-1 of laurel-gw-grown: 7 of 11 targets failed nearly all they got. */
const sickMajority: SickMajority = {
    seed: 1,
    soundTargets: 4,
    sickTargets: 7,
    slots: 6,
    queue: 24,
    requestsPerSecond: 70,
    workMs: 380,
    failingShare: 0.9,
    timeoutMs: 2_000,
    lateAfterMs: 750,
    lengthMs: 8_000,
};

describe("placement while most targets of a service are sick", () => {
    // Guards against sound targets that look sick because they carry the load of the others: more requests then went to targets
    // that fail at once than the sound ones had no room for.
    test("sends no more requests to sick targets than the sound ones have no room for", () => {
        const seeds = [1, 2, 3, 4, 5];
        const failed = seeds.map(seed => replaySickMajority({ ...sickMajority, seed }).failedShare);
        const capacity = sickMajority.soundTargets * sickMajority.slots * 1_000 / sickMajority.workMs;
        const withoutRoom = 1 - capacity / sickMajority.requestsPerSecond;
        expect(failed.reduce((sum, share) => sum + share, 0) / seeds.length).toBeLessThan(withoutRoom);
    });

    test("serves most of what the sound ones have room for", () => {
        const { servedShare } = replaySickMajority(sickMajority);
        const capacity = sickMajority.soundTargets * sickMajority.slots * 1_000 / sickMajority.workMs;
        expect(servedShare).toBeGreaterThan(0.8 * capacity / sickMajority.requestsPerSecond);
    });
});

describe("wait at a target", () => {
    test("grows with the requests beyond its slots", () => {
        expect(queueWaitMs(0.5, 400)).toBe(0);
        expect(queueWaitMs(2, 400)).toBe(400);
        expect(queueWaitMs(2, undefined)).toBeGreaterThan(0);
    });

    // Guards against slow targets that are never suspected, since their queues are long as well.
    test("explains late answers up to a bound", () => {
        expect(explainedWaitMs(2, 400)).toBe(400);
        expect(explainedWaitMs(20, 400)).toBe(explainedWaitMs(5, 400));
    });
});

describe("weight of an outcome", () => {
    // Replays scale-1 of laurel-gw-grown: instances whose paths were cut made all others avoid targets that answered them.
    test("is small for a failed connection to a target that has answered another instance of late", () => {
        expect(outcomeWeight(outcome.unreachable, 100)).toBeLessThan(0.1);
        expect(outcomeWeight(outcome.unreachable, 1_000)).toBeGreaterThan(0.3);
        expect(outcomeWeight(outcome.failure, 100)).toBe(1);
    });
});
