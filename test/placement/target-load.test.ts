import { createTargetLoad } from "@trefoilladder/placement";

describe("target load", () => {
    test("counts what was sent since the last report", () => {
        const load = createTargetLoad();
        load.begin();
        load.report({ running: 3, waiting: 0, slots: 6 }, 0);
        load.begin();
        expect(load.utilisation(6, 0, 0)).toBeCloseTo(4 / 6);
        load.end();
        load.end();
        expect(load.inFlight).toBe(0);
    });

    // Guards against a target that started again, looks less than idle, and draws requests from all others.
    test("is not below zero when requests to an earlier start of the target end", () => {
        const load = createTargetLoad();
        load.end();
        load.end();
        load.begin();
        expect(load.inFlight).toBe(1);
        expect(load.utilisation(6, 0, 0)).toBeCloseTo(1 / 6);
    });

    // Replays scale-1 of laurel-gw: targets without a fresh report looked idle and queues grew while others had slots.
    test("takes a target without a fresh report to be as busy as its peers", () => {
        const silent = createTargetLoad();
        const reported = createTargetLoad();
        reported.report({ running: 2, waiting: 0, slots: 6 }, 10_000);
        expect(silent.utilisation(6, 10_000, 0.6)).toBeCloseTo(0.6);
        expect(reported.utilisation(6, 10_000, 0.6)).toBeLessThan(silent.utilisation(6, 10_000, 0.6));
    });
});
