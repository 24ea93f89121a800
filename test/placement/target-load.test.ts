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

    // Guards against a long request of this instance that counts like a short one until the next report.
    test("expects a longer wait behind the work that this instance has sent since the last report", () => {
        const waits = [94, 577].map(workMs => {
            const load = createTargetLoad();
            load.report({ running: 6, waiting: 2, slots: 6 }, 0);
            load.begin(workMs);
            load.begin(workMs);
            return load.waitMs({ slots: 6, peerUtilisation: 0.8, meanWorkMs: 384 }, 0);
        });
        expect(waits[1]! - waits[0]!).toBeCloseTo((577 - 94) * 2 / 6, 0);
    });

    test("expects a short wait at an idle target, and one by the backlog at a full one", () => {
        const idle = createTargetLoad();
        idle.report({ running: 1, waiting: 0, slots: 6 }, 0);
        const full = createTargetLoad();
        full.report({ running: 6, waiting: 12, slots: 6 }, 0);
        const state = { slots: 6, peerUtilisation: 0.8, meanWorkMs: 384 };
        expect(idle.waitMs(state, 0)).toBeLessThan(2);
        expect(full.waitMs(state, 0)).toBeCloseTo(13 * 384 / 6, 0);
    });
});
