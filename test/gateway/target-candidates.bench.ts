// Measures the processor time of a target tracker's candidates, which each request needs, without target sets, with sets that are not
// used for a small service, and with sets in use. Run with:
// npx esbuild test/gateway/target-candidates.bench.ts --bundle --platform=node | node -
import { createVirtualClock } from "@trefoilladder/clock";
import { maxUnrankedTargets } from "@trefoilladder/placement";
import { createTargetSets } from "../../packages/gateway/src/target-sets";
import { createTargetTracker } from "../../packages/gateway/src/target-tracker";
import type { TargetTracker } from "../../packages/gateway/src/target-tracker";
import { createTestDirectory } from "../replication/create-test-directory";
import { silentLog } from "../replication/silent-log";
import { targetRecord } from "./fixtures";

const rounds = 40;
const callsPerRound = 5_000;
const none: ReadonlySet<string> = new Set();

/** Creates a tracker of some targets. */
function createTracker(size: number, usesSets: boolean): TargetTracker {
    const clock = createVirtualClock();
    const now = () => clock.now();
    const log = silentLog();
    const directory = createTestDirectory({ clock, log });
    Array.from({ length: size }, (_, index) => directory.put(targetRecord(index, 1 + index)));
    const targetSets = createTargetSets({
        self: () => ({ id: "entry-0", domain: "a" }),
        peers: () => [],
        hasIdleConnection: () => false,
        now,
    });
    return createTargetTracker({
        directory,
        domain: "a",
        now,
        log,
        targetSets: usesSets ? targetSets : undefined,
        onUrgentChange: () => undefined,
    });
}

/** Returns the processor time of a call in microseconds: the median and the lowest of the rounds. */
function measure(tracker: TargetTracker): { medianUs: number; lowestUs: number; } {
    const times = Array.from({ length: rounds }, () => {
        const before = process.cpuUsage();
        for (let call = 0; call < callsPerRound; call++) {
            tracker.candidates("dossier", none);
        }
        return process.cpuUsage(before).user / callsPerRound;
    }).sort((a, b) => a - b);
    return { medianUs: times[rounds / 2]!, lowestUs: times[0]! };
}

const cases = [
    { size: maxUnrankedTargets, usesSets: false },
    { size: maxUnrankedTargets, usesSets: true },
    { size: 69, usesSets: false },
    { size: 69, usesSets: true },
];
for (const { size, usesSets } of cases) {
    const { medianUs, lowestUs } = measure(createTracker(size, usesSets));
    const sets = usesSets ? "with" : "without";
    console.log(`${size} targets, ${sets} sets: median ${medianUs.toFixed(2)} us, lowest ${lowestUs.toFixed(2)} us`);
}
