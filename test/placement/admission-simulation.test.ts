import { largeService } from "./large-service";
import { simulateWork } from "./work-simulation";
import type { WorkLoad, WorkResult } from "./work-simulation";

const usualLoad = { loadShare: 0.75, durationMs: 24_000, warmUpMs: 8_000, countedUntilMs: 18_000 };
const surgeMs = { fromMs: 9_000, toMs: 15_000 };
const timeoutMs = 400_000;

function both(load: Partial<WorkLoad>): { byCount: WorkResult; byWork: WorkResult; } {
    return {
        byCount: simulateWork(largeService({ ...usualLoad, ...load, byWork: false })),
        byWork: simulateWork(largeService({ ...usualLoad, ...load, byWork: true })),
    };
}

const sum = (values: readonly number[]) => values.reduce((total, value) => total + value, 0);

// Guards against urgent requests that are late or lost behind a surge of a less urgent class, against a less urgent class that
// starves, and against refused requests that return as a second surge.
test("a surge of the less urgent class leaves the urgent one in time and does not return as a whole", () => {
    const { byCount, byWork } = both({ surge: { classIndex: 1, factor: 2.2, ...surgeMs } });
    const [urgent, other] = byWork.classes;
    expect(urgent!.lateShare).toBeLessThan(0.1);
    expect(urgent!.missedShare).toBeLessThan(byCount.classes[0]!.missedShare / 4);
    expect(other!.lateShare).toBeLessThan(byCount.classes[1]!.lateShare);
    expect(other!.missedShare).toBeLessThan(0.3);
    expect(byWork.otherOrganisations.missedShare).toBeLessThan(byCount.otherOrganisations.missedShare);
    expect(sum(byWork.returns)).toBeLessThan(sum(byCount.returns));
}, timeoutMs);

// Guards against one organisation that takes the capacity of all others.
test("an organisation that sends 6.8 times its usual load is refused more often than the others", () => {
    const { byCount, byWork } = both({ organisations: 10, surge: { organisation: 3, factor: 6.8, ...surgeMs } });
    expect(byWork.otherOrganisations.lateShare).toBeLessThan(byCount.otherOrganisations.lateShare);
    expect(byWork.otherOrganisations.missedShare).toBeLessThan(byCount.otherOrganisations.missedShare);
    expect(byWork.otherOrganisations.missedShare).toBeLessThan(byWork.hotOrganisation.missedShare);
    expect(byWork.otherOrganisations.refusals).toBeLessThan(0.8 * byWork.hotOrganisation.refusals);
}, timeoutMs);
