import { createMonotonicClock, createVirtualClock } from "@trefoilladder/clock";
import type { Clock } from "@trefoilladder/clock";
import {
    createConfigurationFollower,
    findNewestSnapshot,
    maxSnapshotChunkBytes,
    renderSnapshot,
    writeSnapshot,
} from "@trefoilladder/configuration";
import type { ConfigurationFollower, ConfigurationFollowerParts } from "@trefoilladder/configuration";
import { createTelemetry } from "@trefoilladder/telemetry";
import { ok } from "neverthrow";
import { setTimeout as delay } from "node:timers/promises";
import { waitUntil } from "../wait-until";
import { createPlan, putPlan } from "./edits";
import { createMemoryLog } from "./memory-log";
import type { MemoryLog } from "./memory-log";

const telemetry = createTelemetry({ instance: "test", level: "silent" });
const stopControllers: AbortController[] = [];
const tasks: Promise<void>[] = [];

function startFollower(
    log: MemoryLog,
    parts: Partial<ConfigurationFollowerParts> = {},
    clock: Clock = createMonotonicClock(),
) {
    const follower = createConfigurationFollower({ log, clock, telemetry, ...parts });
    const stopController = new AbortController();
    stopControllers.push(stopController);
    tasks.push(follower.run(stopController.signal));
    return follower;
}

/** Returns fetch functions that read from another follower, as the inner listener of a peer does. */
function peerFetchers(peer: ConfigurationFollower): Partial<ConfigurationFollowerParts> {
    return {
        peers: () => ["entry-1~1"],
        fetchRecordsFromPeer: async (_peer, from, limit) => ok(peer.recordsFrom(from, limit)),
        fetchSnapshotFromPeer: async () => ok((await peer.snapshot()).text),
    };
}

async function appendPlans(log: MemoryLog, count: number, from = 0): Promise<void> {
    for (let index = from; index < from + count; index++) {
        await log.append(
            "configuration",
            putPlan(`put-plan-${index}`, index, createPlan("standard", { burst: index + 1 })),
        );
    }
}

describe("configuration follower", () => {
    afterEach(async () => {
        stopControllers.splice(0).forEach(stop => stop.abort());
        await Promise.all(tasks.splice(0));
    });

    it("starts from a snapshot when the log no longer retains the older records", async () => {
        const log = createMemoryLog();
        const clock = createMonotonicClock();
        const first = startFollower(log);
        await appendPlans(log, 20);
        await waitUntil(() => first.configuration.appliedOffset === 20);
        log.lostResponseCount = 1;
        expect((await writeSnapshot({ log, clock }, first.configuration)).isOk()).toBe(true);
        await appendPlans(log, 5, 20);
        await waitUntil(() => first.configuration.appliedOffset === 25);
        log.expire("configuration", 18);
        const second = startFollower(log);
        await waitUntil(() => second.isFresh(clock.now()));
        expect(renderSnapshot(second.configuration)).toBe(renderSnapshot(first.configuration));
    });

    it("starts from a peer that has the configuration while the log is unreachable", async () => {
        const log = createMemoryLog();
        const first = startFollower(log);
        await appendPlans(log, 7);
        await waitUntil(() => first.configuration.appliedOffset === 7);
        log.unavailable = true;
        const second = startFollower(log, peerFetchers(first));
        await waitUntil(() => second.isFresh(performance.now()));
        expect(renderSnapshot(second.configuration)).toBe(renderSnapshot(first.configuration));
    });

    it("catches up from the snapshot of a peer when the log retains neither the records nor a snapshot", async () => {
        const log = createMemoryLog();
        const first = startFollower(log);
        await appendPlans(log, 7);
        await waitUntil(() => first.configuration.appliedOffset === 7);
        log.expire("configuration", 6);
        // The peer does not keep the old records either, so the snapshot is needed.
        const second = startFollower(log, {
            ...peerFetchers(first),
            fetchRecordsFromPeer: async () => ok({ records: [], appliedOffset: 7, firstOffset: 7 }),
        });
        await waitUntil(() => second.configuration.appliedOffset === 7);
        expect(renderSnapshot(second.configuration)).toBe(renderSnapshot(first.configuration));
    });

    it("is stale from 2 s after a gossip row showed a newer configuration until that is applied", async () => {
        const log = createMemoryLog();
        const clock = createVirtualClock();
        const follower = startFollower(log, {}, clock);
        await waitUntil(() => follower.isFresh(clock.now()));
        follower.observeHigherOffset(3, "entry-1~1");
        const knownSince = clock.now();
        await clock.advance(1_000);
        // A higher offset must not restart the 2 s.
        follower.observeHigherOffset(9, "entry-1~1");
        expect(follower.isFresh(knownSince + 1_999)).toBe(true);
        expect(follower.isFresh(knownSince + 2_000)).toBe(false);
        await appendPlans(log, 9);
        await waitUntil(() => follower.configuration.appliedOffset === 9);
        expect(follower.isFresh(clock.now() + 60_000)).toBe(true);
    });

    it("fetches missing records from a peer during a log outage", async () => {
        const log = createMemoryLog();
        const peer = startFollower(log);
        await appendPlans(log, 4);
        await waitUntil(() => peer.configuration.appliedOffset === 4);
        const isolatedLog = createMemoryLog();
        const follower = startFollower(isolatedLog, peerFetchers(peer));
        await waitUntil(() => follower.isFresh(performance.now()));
        isolatedLog.unavailable = true;
        follower.observeHigherOffset(4, "entry-1~1");
        await waitUntil(() => follower.configuration.appliedOffset === 4);
        expect(follower.isFresh(performance.now())).toBe(true);
    });

    it("ignores the records after a gap in a peer's response, because the edits in the gap would be lost", async () => {
        const log = createMemoryLog();
        const peer = startFollower(log);
        await appendPlans(log, 6);
        await waitUntil(() => peer.configuration.appliedOffset === 6);
        const isolatedLog = createMemoryLog();
        let responseCount = 0;
        const follower = startFollower(isolatedLog, {
            ...peerFetchers(peer),
            fetchRecordsFromPeer: async (_peer, from, limit) => {
                responseCount++;
                const { records } = peer.recordsFrom(from, limit);
                return ok({ records: records.slice(2), appliedOffset: 6, firstOffset: 0 });
            },
        });
        follower.observeHigherOffset(6, "entry-1~1");
        await waitUntil(() => responseCount >= 2);
        expect(follower.configuration.appliedOffset).toBe(0);
    });

    it("starts from the last complete snapshot when the writer of a newer one stopped halfway", async () => {
        const log = createMemoryLog();
        const first = startFollower(log);
        await appendPlans(log, 8);
        await waitUntil(() => first.configuration.appliedOffset === 8);
        await writeSnapshot({ log, clock: createMonotonicClock() }, first.configuration);
        const [chunk] = log.streams.get("snapshots")!;
        await log.append("snapshots", { ...chunk!.value as object, appliedOffset: 99, checksum: "0" });
        expect((await findNewestSnapshot(log))._unsafeUnwrap().end?.appliedOffset).toBe(8);
        log.expire("configuration", 8);
        const second = startFollower(log);
        await waitUntil(() => second.isFresh(performance.now()));
        expect(renderSnapshot(second.configuration)).toBe(renderSnapshot(first.configuration));
    });

    it("is not fresh before it has read any configuration, so that it does not admit requests", async () => {
        const log = createMemoryLog();
        log.unavailable = true;
        const follower = startFollower(log);
        await delay(300);
        expect(follower.isFresh(performance.now())).toBe(false);
    });

    it("writes chunks of at most 256 KiB and restores a snapshot of several chunks", async () => {
        const log = createMemoryLog();
        const clock = createMonotonicClock();
        const routes = Array.from({ length: 6_000 }, (_, index) => ({
            name: `route-${index}`,
            service: "dossier",
            pathPrefix: `/dossier/nominees/${index}`,
            methods: ["GET" as const],
        }));
        await log.append("configuration", putPlan("put-large-plan", 0, createPlan("standard", { routes })));
        const first = startFollower(log);
        await waitUntil(() => first.configuration.appliedOffset === 1);
        await writeSnapshot({ log, clock }, first.configuration);
        const sizes = log.streams.get("snapshots")!.map(({ value }) => Buffer.byteLength(JSON.stringify(value)));
        expect(sizes.length).toBeGreaterThan(2);
        expect(Math.max(...sizes)).toBeLessThanOrEqual(maxSnapshotChunkBytes);
        log.expire("configuration", 1);
        const second = startFollower(log);
        await waitUntil(() => second.isFresh(clock.now()));
        expect(renderSnapshot(second.configuration)).toBe(renderSnapshot(first.configuration));
    });

    it("writes a snapshot after 1,000 records and does not rewrite it without new records", async () => {
        const log = createMemoryLog();
        const clock = createVirtualClock();
        const checkedOffsets: number[] = [];
        const follower = startFollower(log, { isSnapshotWriter: offset => checkedOffsets.push(offset) > 0 }, clock);
        await appendPlans(log, 999);
        await waitUntil(() => follower.configuration.appliedOffset === 999);
        await clock.advance(30_000);
        expect(log.streams.get("snapshots") ?? []).toEqual([]);
        await appendPlans(log, 1, 999);
        await waitUntil(() => follower.configuration.appliedOffset === 1_000);
        await clock.advance(30_000);
        await waitUntil(() => log.streams.get("snapshots")!.length >= 2);
        const length = log.streams.get("snapshots")!.length;
        await clock.advance(60_000);
        expect(log.streams.get("snapshots")).toHaveLength(length);
        expect((await findNewestSnapshot(log))._unsafeUnwrap().end?.appliedOffset).toBe(1_000);
    });
});
