import { simulateWork } from "./work-simulation";
import type { WorkLoad } from "./work-simulation";

/** Requests of 94 ms and 577 ms at one service of a large fleet. */
const unevenWork: Omit<WorkLoad, "loadShare" | "byWork"> = {
    seed: 1,
    instances: 118,
    targets: 69,
    slots: 6,
    queueCapacity: 24,
    classes: [
        { share: 0.4, serviceMs: 94, objectiveMs: 300, deadlineMs: 1_500, priority: 0 },
        { share: 0.6, serviceMs: 577, objectiveMs: 2_000, deadlineMs: 6_000, priority: 2 },
    ],
    slow: { count: 0, factor: 1 },
    organisations: 20,
    surge: undefined,
    durationMs: 12_000,
    warmUpMs: 5_000,
    countedUntilMs: 10_000,
};

// Guards against short requests that queue behind long ones at targets that look alike by the number of requests.
describe("placement of requests that cause different amounts of work", () => {
    test.each([
        { loadShare: 0.85, slow: { count: 0, factor: 1 } },
        { loadShare: 0.7, slow: { count: 7, factor: 2.5 } },
    ])(
        "by work lets fewer short requests be late than by count, at load $loadShare with $slow.count slow targets",
        load => {
            const byCount = simulateWork({ ...unevenWork, ...load, byWork: false }).classes;
            const byWork = simulateWork({ ...unevenWork, ...load, byWork: true }).classes;
            expect(byWork[0]!.lateShare).toBeLessThan(byCount[0]!.lateShare / 2);
            expect(byWork[1]!.lateShare).toBeLessThan(byCount[1]!.lateShare + 0.01);
            expect(byWork[0]!.refusals + byWork[1]!.refusals).toBeLessThan(0.05);
        },
        240_000,
    );
});
