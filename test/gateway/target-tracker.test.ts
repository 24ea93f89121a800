import { createVirtualClock } from "@trefoilladder/clock";
import { createTargetSets } from "../../packages/gateway/src/target-sets";
import { createTargetTracker } from "../../packages/gateway/src/target-tracker";
import { createTestDirectory } from "../replication/create-test-directory";
import { silentLog } from "../replication/silent-log";
import { targetRecord } from "./fixtures";

/** Creates a tracker of some targets; `counts.urgent` counts the requests for an immediate digest. */
function createTracker(size: number, hasIdleConnection = (_: string) => false) {
    const clock = createVirtualClock();
    const log = silentLog();
    const directory = createTestDirectory({ clock, log });
    const targets = Array.from({ length: size }, (_, index) => targetRecord(index, 1 + index));
    targets.forEach(target => directory.put(target));
    const counts = { urgent: 0 };
    const tracker = createTargetTracker({
        directory,
        domain: "a",
        now: () => clock.now(),
        log,
        targetSets: createTargetSets({
            self: () => ({ id: "entry-0", domain: "a" }),
            peers: () => [],
            hasIdleConnection,
            now: () => clock.now(),
        }),
        onUrgentChange: () => counts.urgent += 1,
    });
    return { clock, tracker, counts, ids: targets.map(({ id }) => id) };
}

describe("an immediate digest", () => {
    test("is requested for the first failure of a target", () => {
        const { tracker, counts, ids } = createTracker(4);
        tracker.observe(ids[0]!, "failure");
        expect(counts.urgent).toBe(1);
    });

    // Guards against a digest for each rejected request. In scale-1 a whole service rejected half of its requests for 8.5 s and each
    // instance sent a digest for each rejection; on larger sites the processor time of these digests ended the run.
    test("is not requested for each request that a whole service rejects", async () => {
        const { clock, tracker, counts, ids } = createTracker(4);
        let shed = 0;
        for (let round = 0; round < 100; round++) {
            await clock.advance(100);
            const isShed = round % 8 < 4;
            shed += isShed ? 1 : 0;
            tracker.observe(ids[round % ids.length]!, isShed ? "shed" : "success");
        }
        expect(counts.urgent).toBeLessThan(shed / 2);
    });

    test("is not requested for each failure of a target that is known to be unhealthy", () => {
        const { tracker, counts, ids } = createTracker(4);
        for (let round = 0; round < 50; round++) {
            tracker.observe(ids[0]!, "failure");
        }
        expect(counts.urgent).toBeLessThan(5);
    });
});

describe("the utilisation of the least used target", () => {
    test("is that of the service, and undefined for a service without targets", () => {
        const { tracker, ids } = createTracker(2);
        tracker.begin(ids[0]!);
        expect(tracker.leastUtilisation("dossier")).toBe(0);
        expect(tracker.leastUtilisation("archive")).toBeUndefined();
    });
});

describe("the candidates for a request", () => {
    // Guards against another choice in small deployments, which have a connection to each target anyway.
    test("are unmarked for a service with few targets", () => {
        const { tracker } = createTracker(24);
        expect(tracker.candidates("dossier", new Set()).some(({ isOutsideSet }) => isOutsideSet !== undefined)).toBe(
            false,
        );
    });

    // Guards against a new target that receives no requests since no instance has a connection to it.
    test("need a connection if none is idle, unless no instance has used the target", () => {
        const { tracker, ids } = createTracker(30, id => id === "target-1");
        tracker.observe(ids[0]!, "success");
        tracker.observe(ids[1]!, "success");
        const candidates = tracker.candidates("dossier", new Set(), { maxIdleMs: 1_000 });
        const marks = new Map(candidates.map(({ target, needsConnection }) => [target.id, needsConnection]));
        expect(ids.slice(0, 3).map(id => marks.get(id))).toEqual([true, false, false]);
    });
});

// Guards against idle targets that appear as full as the few targets which send all load reports.
describe("the assumed utilisation of a target without reports", () => {
    test("is the mean over all targets of the service", () => {
        const { tracker, ids } = createTracker(10);
        for (let count = 0; count < 100; count++) {
            tracker.reportLoad(ids[0]!, { running: 6, waiting: 24, slots: 6 });
        }
        const idle = tracker.candidates("dossier", new Set()).find(({ target }) => target.id === ids[1]);
        expect(idle!.utilisation).toBeCloseTo(0.5);
    });
});

describe("an outcome without evidence", () => {
    // Guards against sound targets that are suspected since they reject requests while they carry the load of others.
    test("leaves the probability of being unhealthy as it is", () => {
        const { tracker, ids } = createTracker(2);
        const probabilities = () =>
            tracker.candidates("dossier", new Set()).map(({ unhealthyProbability }) => unhealthyProbability);
        const before = probabilities();
        for (let count = 0; count < 20; count++) {
            tracker.observe(ids[0]!, "overloaded");
        }
        expect(probabilities()[0]).toBeCloseTo(before[0]!);
    });
});
