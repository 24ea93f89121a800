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
import { planOf, putPlan } from "./edits";
import { createMemoryLog } from "./memory-log";
import type { MemoryLog } from "./memory-log";

const telemetry = createTelemetry({ instance: "test", level: "silent" });
const stopping: AbortController[] = [];
const tasks: Promise<void>[] = [];

function start(log: MemoryLog, parts: Partial<ConfigurationFollowerParts> = {}, clock: Clock = createMonotonicClock()) {
    const follower = createConfigurationFollower({ log, clock, telemetry, ...parts });
    const stop = new AbortController();
    stopping.push(stop);
    tasks.push(follower.run(stop.signal));
    return follower;
}

/** Returns collaborators that answer from another follower, as the inner listener does. */
function peerParts(peer: ConfigurationFollower): Partial<ConfigurationFollowerParts> {
    return {
        peers: () => ["entry-1~1"],
        fetchRecordsFromPeer: async (_peer, from, limit) => ok(peer.recordsFrom(from, limit)),
        fetchSnapshotFromPeer: async () => ok((await peer.snapshot()).text),
    };
}

/** Waits for a condition; the test's own time limit ends it. */
async function until(condition: () => boolean): Promise<void> {
    while (!condition()) {
        await delay(5);
    }
}

async function appendPlans(log: MemoryLog, count: number, from = 0): Promise<void> {
    for (let index = from; index < from + count; index++) {
        await log.append(
            "configuration",
            putPlan(`put-plan-${index}`, index, planOf("standard", { burst: index + 1 })),
        );
    }
}

describe("configuration follower", () => {
    afterEach(async () => {
        stopping.splice(0).forEach(stop => stop.abort());
        await Promise.all(tasks.splice(0));
    });

    it("guards against a start that needs records which the log no longer keeps", async () => {
        const log = createMemoryLog();
        const clock = createMonotonicClock();
        const first = start(log);
        await appendPlans(log, 20);
        await until(() => first.configuration.appliedOffset === 20);
        log.loseResponses = 1;
        expect((await writeSnapshot({ log, clock }, first.configuration)).isOk()).toBe(true);
        await appendPlans(log, 5, 20);
        await until(() => first.configuration.appliedOffset === 25);
        log.expire("configuration", 18);
        const second = start(log);
        await until(() => second.isFresh(clock.now()));
        expect(renderSnapshot(second.configuration)).toBe(renderSnapshot(first.configuration));
    });

    it("guards against a start that waits for the log although a peer has the configuration", async () => {
        const log = createMemoryLog();
        const first = start(log);
        await appendPlans(log, 7);
        await until(() => first.configuration.appliedOffset === 7);
        log.away = true;
        const second = start(log, peerParts(first));
        await until(() => second.isFresh(performance.now()));
        expect(renderSnapshot(second.configuration)).toBe(renderSnapshot(first.configuration));
    });

    it("guards against an instance that cannot catch up when records and snapshot have left the log", async () => {
        const log = createMemoryLog();
        const first = start(log);
        await appendPlans(log, 7);
        await until(() => first.configuration.appliedOffset === 7);
        log.expire("configuration", 6);
        // A peer without the old records, so that the snapshot is needed.
        const second = start(log, {
            ...peerParts(first),
            fetchRecordsFromPeer: async () => ok({ records: [], appliedOffset: 7, firstOffset: 7 }),
        });
        await until(() => second.configuration.appliedOffset === 7);
        expect(renderSnapshot(second.configuration)).toBe(renderSnapshot(first.configuration));
    });

    it("guards against serving an old configuration for longer than 2 s after a peer's row showed a newer one", async () => {
        const log = createMemoryLog();
        const clock = createVirtualClock();
        const follower = start(log, {}, clock);
        await until(() => follower.isFresh(clock.now()));
        follower.noteHigherOffset(3, "entry-1~1");
        const knownSince = clock.now();
        await clock.advance(1_000);
        // A later offset must not restart the time.
        follower.noteHigherOffset(9, "entry-1~1");
        expect(follower.isFresh(knownSince + 1_999)).toBe(true);
        expect(follower.isFresh(knownSince + 2_000)).toBe(false);
        await appendPlans(log, 9);
        await until(() => follower.configuration.appliedOffset === 9);
        expect(follower.isFresh(clock.now() + 60_000)).toBe(true);
    });

    it("guards against an instance that stays behind in a log outage although a peer has the record", async () => {
        const log = createMemoryLog();
        const peer = start(log);
        await appendPlans(log, 4);
        await until(() => peer.configuration.appliedOffset === 4);
        const cut = createMemoryLog();
        const follower = start(cut, peerParts(peer));
        await until(() => follower.isFresh(performance.now()));
        cut.away = true;
        follower.noteHigherOffset(4, "entry-1~1");
        await until(() => follower.configuration.appliedOffset === 4);
        expect(follower.isFresh(performance.now())).toBe(true);
    });

    it("guards against a peer's answer with a gap, which would lose the edits in it", async () => {
        const log = createMemoryLog();
        const peer = start(log);
        await appendPlans(log, 6);
        await until(() => peer.configuration.appliedOffset === 6);
        const cut = createMemoryLog();
        let answers = 0;
        const follower = start(cut, {
            ...peerParts(peer),
            fetchRecordsFromPeer: async (_peer, from, limit) => {
                answers++;
                const { records } = peer.recordsFrom(from, limit);
                return ok({ records: records.slice(2), appliedOffset: 6, firstOffset: 0 });
            },
        });
        follower.noteHigherOffset(6, "entry-1~1");
        await until(() => answers >= 2);
        expect(follower.configuration.appliedOffset).toBe(0);
    });

    it("guards against a start from a snapshot whose writer stopped halfway", async () => {
        const log = createMemoryLog();
        const first = start(log);
        await appendPlans(log, 8);
        await until(() => first.configuration.appliedOffset === 8);
        await writeSnapshot({ log, clock: createMonotonicClock() }, first.configuration);
        const [chunk] = log.streams.get("snapshots")!;
        await log.append("snapshots", { ...chunk!.value as object, appliedOffset: 99, checksum: "0" });
        expect((await findNewestSnapshot(log))._unsafeUnwrap().end?.appliedOffset).toBe(8);
        log.expire("configuration", 8);
        const second = start(log);
        await until(() => second.isFresh(performance.now()));
        expect(renderSnapshot(second.configuration)).toBe(renderSnapshot(first.configuration));
    });

    it("guards against an instance that admits before it has read any configuration", async () => {
        const log = createMemoryLog();
        log.away = true;
        const follower = start(log);
        await delay(300);
        expect(follower.isFresh(performance.now())).toBe(false);
    });

    it("guards against a chunk above 256 KiB, and against a snapshot that does not read back", async () => {
        const log = createMemoryLog();
        const clock = createMonotonicClock();
        const routes = Array.from({ length: 6_000 }, (_, index) => ({
            name: `route-${index}`,
            service: "dossier",
            pathPrefix: `/dossier/nominees/${index}`,
            methods: ["GET" as const],
        }));
        await log.append("configuration", putPlan("put-large-plan", 0, planOf("standard", { routes })));
        const first = start(log);
        await until(() => first.configuration.appliedOffset === 1);
        await writeSnapshot({ log, clock }, first.configuration);
        const sizes = log.streams.get("snapshots")!.map(({ value }) => Buffer.byteLength(JSON.stringify(value)));
        expect(sizes.length).toBeGreaterThan(2);
        expect(Math.max(...sizes)).toBeLessThanOrEqual(maxSnapshotChunkBytes);
        log.expire("configuration", 1);
        const second = start(log);
        await until(() => second.isFresh(clock.now()));
        expect(renderSnapshot(second.configuration)).toBe(renderSnapshot(first.configuration));
    });

    it("guards against a snapshot that nobody writes, or that is written again without need", async () => {
        const log = createMemoryLog();
        const clock = createVirtualClock();
        const turns: number[] = [];
        const follower = start(log, { isSnapshotTurn: offset => turns.push(offset) > 0 }, clock);
        await appendPlans(log, 999);
        await until(() => follower.configuration.appliedOffset === 999);
        await clock.advance(30_000);
        expect(log.streams.get("snapshots") ?? []).toEqual([]);
        await appendPlans(log, 1, 999);
        await until(() => follower.configuration.appliedOffset === 1_000);
        await clock.advance(30_000);
        await until(() => log.streams.get("snapshots")!.length >= 2);
        const length = log.streams.get("snapshots")!.length;
        await clock.advance(60_000);
        expect(log.streams.get("snapshots")).toHaveLength(length);
        expect((await findNewestSnapshot(log))._unsafeUnwrap().end?.appliedOffset).toBe(1_000);
    });
});
