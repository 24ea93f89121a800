import { createIdleLimits } from "../../packages/gateway/src/idle-limits";
import { createTargetTracker } from "../../packages/gateway/src/target-tracker";
import { createTestDirectory } from "../replication/create-test-directory";
import { silentLog } from "../replication/silent-log";
import { targetRecord } from "./fixtures";

const shortMs = 200;
const longMs = 4_000;

/** Creates the limits of an instance with its tracker; `peersSince` are the times since which the other instances run. */
function createInstance(options: { since?: number; peersSince?: number[]; hasManyTargets?: boolean; } = {}) {
    const time = { now: 0 };
    const now = () => time.now;
    const events: string[] = [];
    const log = silentLog(events);
    const directory = createTestDirectory();
    directory.put(targetRecord(0, 1));
    directory.put(targetRecord(1, 2, { service: "archive" }));
    const limits = createIdleLimits({
        now,
        log,
        hasManyTargets: () => options.hasManyTargets ?? true,
        runningSince: () => options.since ?? 0,
        peersRunningSince: () => options.peersSince ?? [],
    });
    const counts = { urgent: 0 };
    const tracker = createTargetTracker({
        directory,
        domain: "a",
        now,
        log,
        idleLimits: limits,
        onUrgentChange: () => counts.urgent += 1,
    });
    return { time, limits, tracker, counts, events };
}

describe("the longest idle time of a connection", () => {
    test("is longer for idempotent requests", () => {
        const { limits } = createInstance();
        expect(limits.maxIdleMs("dossier", false)).toBe(longMs);
        expect(limits.maxIdleMs("dossier", true)).toBeGreaterThan(longMs);
    });

    // Guards against requests that are lost on dropped connections after one of them has shown that targets drop them.
    test("is short at all instances for 30 s after any of them saw an idle reset of the service", () => {
        const observer = createInstance();
        const other = createInstance();
        observer.tracker.observeIdleReset("target-0");
        expect(observer.counts.urgent).toBe(1);
        observer.tracker.collectObservations().forEach(other.tracker.applyPeerDigest);
        for (const { time, limits } of [observer, other]) {
            expect(limits.maxIdleMs("dossier", false)).toBe(shortMs);
            expect(limits.maxIdleMs("archive", false)).toBe(longMs);
            time.now = 29_000;
            expect(limits.maxIdleMs("dossier", false)).toBe(shortMs);
            time.now = 31_000;
            expect(limits.maxIdleMs("dossier", false)).toBe(longMs);
        }
    });

    test("is shortened with one log line, however many resets follow", () => {
        const { tracker, events, counts } = createInstance();
        for (let count = 0; count < 20; count++) {
            tracker.observeIdleReset("target-0");
        }
        expect(events.filter(event => event === "idle_limit_shortened")).toHaveLength(1);
        // An urgent digest for each reset would cost processor time at all instances.
        expect(counts.urgent).toBe(1);
    });

    // Guards against sound targets that are suspected since they close idle connections.
    test("does not affect the health of the target", () => {
        const { tracker } = createInstance();
        const before = tracker.candidates("dossier", new Set())[0]!;
        tracker.observeIdleReset("target-0");
        tracker.applyPeerDigest({ target: "target-0", outcomes: [["idle_reset", 9]], load: undefined });
        expect(tracker.candidates("dossier", new Set())[0]).toEqual(before);
    });

    // Guards against an instance that started after the reset and does not know of it.
    test("is short for 30 s at an instance that started later than the others", () => {
        const { limits, time } = createInstance({ since: 60_000, peersSince: [0, 59_000] });
        time.now = 61_000;
        expect(limits.maxIdleMs("dossier", false)).toBe(shortMs);
        time.now = 91_000;
        expect(limits.maxIdleMs("dossier", false)).toBe(longMs);
    });

    test("is long at once when all instances start together", () => {
        const { limits, time } = createInstance({ since: 5_000, peersSince: [0, 6_000] });
        time.now = 6_000;
        expect(limits.maxIdleMs("dossier", false)).toBe(longMs);
    });

    test("is short for services with few targets, which reuse connections anyway", () => {
        expect(createInstance({ hasManyTargets: false }).limits.maxIdleMs("dossier", false)).toBe(shortMs);
    });
});
