import { createRandom } from "@trefoilladder/stand-ins";
import { setTimeout as delay } from "node:timers/promises";
import { experiments } from "../../packages/experiment/src/experiments";
import type { ExperimentContext } from "../../packages/experiment/src/experiments";
import type { TargetFault } from "../../packages/experiment/src/measures";

/** Time in milliseconds that a slow fleet takes to return its executions. */
const slowMs = 50;

/** Returns a context whose fleet takes long to return its executions; `behaviours` collects what is set at the target. */
function slowContext(behaviours: object[], faults: TargetFault[]): ExperimentContext {
    const fleet = {
        targets: [{ id: "target-0" }],
        fetchExecutions: () => delay(slowMs, []),
        setTarget: (_: unknown, behaviour: object) => Promise.resolve(void behaviours.push(behaviour)),
    };
    return { fleet, faults, random: createRandom(1) } as unknown as ExperimentContext;
}

// Guards against an experiment that fails on a busy machine, where the step that ends a fault is due before the one that begins it has
// ended (seed 7 of the experiment tool's test).
test("a fault that ends while it is still beginning is begun and then ended", async () => {
    const behaviours: object[] = [];
    const faults: TargetFault[] = [];
    const context = slowContext(behaviours, faults);
    const [begin, end] = experiments["gray-slow"]!.createSteps(createRandom(1));
    await Promise.all([begin!.run(context), end!.run(context)]);
    expect(behaviours).toEqual([{ slowFactor: expect.any(Number) }, { slowFactor: 1 }]);
    expect(faults).toEqual([{ target: "target-0", from: expect.any(Number), to: expect.any(Number) }]);
    expect(faults[0]!.to).toBeLessThan(Infinity);
});
