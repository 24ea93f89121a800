import { largeService } from "./large-service";
import { simulateWork } from "./work-simulation";

const times = { durationMs: 12_000, warmUpMs: 5_000, countedUntilMs: 10_000 };

// Guards against short requests that queue behind long ones at targets that look alike by the number of requests.
describe("placement of requests that cause different amounts of work", () => {
    test.each([
        { loadShare: 0.85, slow: { count: 0, factor: 1 } },
        { loadShare: 0.7, slow: { count: 7, factor: 2.5 } },
    ])(
        "by work lets fewer short requests be late than by count, at load $loadShare with $slow.count slow targets",
        load => {
            const byCount = simulateWork(largeService({ ...times, ...load, byWork: false })).classes;
            const byWork = simulateWork(largeService({ ...times, ...load, byWork: true })).classes;
            expect(byWork[0]!.lateShare).toBeLessThan(byCount[0]!.lateShare / 2);
            expect(byWork[1]!.lateShare).toBeLessThan(byCount[1]!.lateShare + 0.01);
            expect(byWork[0]!.refusals + byWork[1]!.refusals).toBeLessThan(0.05);
        },
        240_000,
    );
});
