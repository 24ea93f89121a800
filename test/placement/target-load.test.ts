import { createTargetLoad } from "@trefoilladder/placement";

describe("target load", () => {
    test("counts requests sent since the last report", () => {
        const load = createTargetLoad();
        load.begin();
        load.report({ running: 3, waiting: 0, slots: 6 }, 0);
        load.begin();
        expect(load.utilisation(6, 0, 0)).toBeCloseTo(4 / 6);
        load.end();
        load.end();
        expect(load.inFlight).toBe(0);
    });

    // Guards against a restarted target whose load is negative, which attracts the requests of all other targets.
    test("is not below zero when requests to an earlier incarnation of the target end", () => {
        const load = createTargetLoad();
        load.end();
        load.end();
        load.begin();
        expect(load.inFlight).toBe(1);
        expect(load.utilisation(6, 0, 0)).toBeCloseTo(1 / 6);
    });

    // Guards against targets without a recent report that appear idle: their queues grew while others had free slots.
    test("assumes that a target without a recent report is as busy as its peers", () => {
        const unreported = createTargetLoad();
        const reported = createTargetLoad();
        reported.report({ running: 2, waiting: 0, slots: 6 }, 10_000);
        expect(unreported.utilisation(6, 10_000, 0.6)).toBeCloseTo(0.6);
        expect(reported.utilisation(6, 10_000, 0.6)).toBeLessThan(unreported.utilisation(6, 10_000, 0.6));
    });
});
