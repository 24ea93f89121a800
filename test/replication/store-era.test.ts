import { createVirtualClock } from "@trefoilladder/clock";
import { createStoreEra, createStreamFollower, readerRole, StoreFailure, stream } from "@trefoilladder/replication";
import type { ReaderRole, RecordBatch, RecordStore } from "@trefoilladder/replication";
import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";
import { createReadSchedule } from "../../packages/replication/src/read-schedule";
import { createRandomSource } from "../../packages/routing/src/random-source";
import { keyedRecord } from "./keyed-record";
import { silentLog } from "./silent-log";

type Response = Result<RecordBatch, StoreFailure>;

function batch(keys: readonly string[], nextOffset: number, era?: number): RecordBatch {
    return { records: keys.map(keyedRecord), nextOffset, era };
}

/** Starts a follower against scripted responses; a call beyond the script and a "pending" one wait for `respond`. */
function startFollower(script: readonly (Response | "pending")[], role: ReaderRole = readerRole.first) {
    const clock = createVirtualClock();
    const stopping = new AbortController();
    const events: string[] = [];
    const calls: string[] = [];
    const applied: string[] = [];
    const pushed: number[] = [];
    let respond: (response: Response) => void = () => undefined;
    let next = 0;

    function nextResponse(name: string, signal: AbortSignal): Promise<Response> {
        calls.push(name);
        const scripted = script[next++] ?? "pending";
        return scripted !== "pending" ? Promise.resolve(scripted) : new Promise(resolve => {
            respond = resolve;
            signal.addEventListener("abort", () => resolve(err(new StoreFailure("unanswered", "aborted"))));
        });
    }

    const store: RecordStore = {
        newest: (_, signal) => nextResponse("newest", signal),
        read: (_, offset, _waitMs, signal) => nextResponse(`read ${offset}`, signal),
        put: () => Promise.resolve(ok({})),
        close: () => undefined,
    };
    const era = createStoreEra({ now: () => clock.now(), log: silentLog(events) });
    const follower = createStreamFollower({
        store,
        stream: stream.targets,
        clock,
        log: silentLog(events),
        random: () => 0.5,
        peerCount: () => 290,
        pauseMs: 300,
        era,
        role: () => role,
        apply(records, isSnapshot) {
            applied.push(`${isSnapshot ? "all " : ""}${records.map(({ key }) => key).join(",")}`);
        },
        recordsRead: from => pushed.push(from),
    });
    const done = follower.run(stopping.signal);
    return {
        era,
        follower,
        events,
        calls,
        applied,
        pushed,
        now: () => clock.now(),
        respond: (response: Response) => respond(response),
        async advance(ms: number) {
            for (let elapsedMs = 0; elapsedMs < ms; elapsedMs += 50) {
                await clock.advance(50);
            }
        },
        async stop() {
            stopping.abort();
            await clock.advance(60_000);
            await done;
        },
    };
}

describe("a follower of a store that is restored from a copy", () => {
    // Guards against records that are applied at an offset of the older era.
    test("discards the response to a read and reads the newest records when it shows a newer era", async () => {
        const harness = startFollower([
            ok(batch(["a"], 5, 1)),
            ok(batch(["x"], 7, 2)),
            ok(batch(["b"], 3, 2)),
        ]);
        await harness.advance(2_000);
        expect(harness.calls).toEqual(["newest", "read 5", "newest", "read 3"]);
        expect(harness.applied).toEqual(["all a", "all b"]);
        expect(harness.pushed).toEqual([]);
        await harness.stop();
    });

    // Guards against a restore that goes unnoticed because the store fails at first, or because the offset does not exist.
    test.each(["expired", "refused"] as const)(
        "reads the newest records after the failure %s of a newer era",
        async code => {
            const harness = startFollower([
                ok(batch(["a"], 5, 1)),
                err(new StoreFailure(code, "no records", { era: 2 })),
                ok(batch(["b"], 3, 2)),
            ]);
            await harness.advance(2_000);
            expect(harness.calls).toEqual(["newest", "read 5", "newest", "read 3"]);
            await harness.stop();
        },
    );

    // Guards against a reader whose long poll stays open over the restore and ends up to 4 s later.
    test("ends a waiting read when it hears of a newer era, which is no failure of the store", async () => {
        const harness = startFollower([ok(batch(["a"], 5, 1)), "pending", ok(batch(["b"], 3, 2))]);
        await harness.advance(1_000);
        harness.era.observe(2, "peer");
        expect(harness.follower.nextOffset).toBe(-1);
        await harness.advance(300);
        expect(harness.calls).toEqual(["newest", "read 5", "newest"]);
        expect(harness.applied).toEqual(["all a", "all b"]);
        expect(harness.events).not.toContain("dependency_lost");
        await harness.stop();
    });

    // Guards against the snapshot of an era that has already ended, after which offsets are assigned again.
    test("reads again when the store is restored twice during one read", async () => {
        const harness = startFollower([
            ok(batch(["a"], 5, 1)),
            ok(batch([], 4, 2)),
            "pending",
            ok(batch(["c"], 4, 3)),
        ]);
        await harness.advance(1_000);
        expect(harness.calls).toEqual(["newest", "read 5", "newest"]);
        harness.era.observe(3, "peer");
        harness.respond(ok(batch(["b"], 4, 2)));
        await harness.advance(500);
        expect(harness.applied).toEqual(["all a", "all c"]);
        expect(harness.follower.nextOffset).toBe(4);
        await harness.stop();
    });

    // Guards against a part of the store that has not been restored: its records would revert the newer ones.
    test("backs off and applies nothing while the responses are of an older era", async () => {
        const older = ok(batch(["old"], 9, 1));
        const harness = startFollower([ok(batch(["a"], 5, 2)), ...Array.from({ length: 20 }, () => older)]);
        await harness.advance(5_000);
        expect(harness.applied).toEqual(["all a"]);
        expect(harness.follower.isFailing).toBe(true);
        expect(harness.calls.length).toBeLessThan(12);
        await harness.stop();
    });

    // Guards against a peer that has not heard of the restore and seems to be ahead.
    test("applies and trusts nothing that peers send of an older era", async () => {
        const harness = startFollower([ok(batch(["a"], 5, 2)), "pending"]);
        await harness.advance(500);
        expect(harness.follower.applyCopy(batch(["old"], 9, 1))).toBe(false);
        expect(harness.follower.applyFrom(5, batch(["old"], 6, 1))).toBe(false);
        expect(harness.follower.applyFrom(5, batch(["old"], 6))).toBe(false);
        expect(harness.applied).toEqual(["all a"]);
        expect(harness.follower.applyFrom(5, batch(["b"], 6, 2))).toBe(true);
        await harness.stop();
    });

    // Guards against an instance without contact to the store that keeps the state of the older era: its offset was higher.
    test("applies the copy of a peer of a newer era although its offset is lower", async () => {
        const refused = err(new StoreFailure("refused", "call rejected"));
        const harness = startFollower([ok(batch(["a"], 5, 1)), ...Array.from({ length: 20 }, () => refused)]);
        await harness.advance(1_000);
        expect(harness.follower.applyCopy(batch(["b"], 3, 2))).toBe(true);
        expect(harness.follower.nextOffset).toBe(3);
        expect(harness.era.current).toBe(2);
        expect(harness.applied).toEqual(["all a", "all b"]);
        await harness.stop();
    });

    // Guards against 300 instances that call the restored store at once.
    test("reads after a random time when it is not a reader, without a pushed or confirmed offset of the older era", async () => {
        const harness = startFollower([ok(batch(["a"], 5, 1)), ok(batch(["b"], 3, 2))], readerRole.none);
        await harness.advance(300);
        harness.era.observe(2, "peer");
        harness.follower.confirmEnd(5, harness.now(), 1);
        harness.follower.confirmEnd(-1, harness.now(), 2);
        await harness.advance(900);
        expect(harness.calls).toEqual(["newest"]);
        await harness.advance(100);
        expect(harness.calls).toEqual(["newest", "newest"]);
        await harness.stop();
    });

    // Guards against a changed behaviour with a store that sends no era.
    test("works as before when no response has an era", async () => {
        const harness = startFollower([ok(batch(["a"], 5)), ok(batch(["b"], 6))]);
        await harness.advance(1_000);
        expect(harness.applied).toEqual(["all a", "b"]);
        expect(harness.follower.applyFrom(6, batch(["c"], 7))).toBe(true);
        expect(harness.follower.applyCopy(batch(["d"], 9))).toBe(true);
        expect(harness.events).not.toContain("store_era_rose");
        await harness.stop();
    });

    // Guards against two reads of the newest records by each follower of an instance that starts.
    test("keeps its first snapshot when another follower learns the era first", async () => {
        const harness = startFollower(["pending"]);
        await harness.advance(100);
        harness.era.observe(4, "store");
        harness.respond(ok(batch(["a"], 5, 4)));
        await harness.advance(1_000);
        expect(harness.calls).toEqual(["newest", "read 5"]);
        await harness.stop();
    });
});

describe("the era of the store", () => {
    function createEra() {
        const clock = createVirtualClock(100_000);
        return { clock, era: createStoreEra({ now: () => clock.now(), log: silentLog() }) };
    }

    // Guards against a grace period after each start of an instance, and against one that starts anew at instances that hear late.
    test("begins at the earliest time that any instance knows", async () => {
        const { clock, era } = createEra();
        era.observe(3, "store");
        expect([era.roseAt, era.ageMs()]).toEqual([-Infinity, -1]);
        era.observe(4, "store");
        await clock.advance(1_000);
        expect(era.ageMs()).toBe(1_000);
        era.observe(4, "peer", 1_400);
        era.observe(4, "peer", 200);
        expect(era.ageMs()).toBe(1_400);
        era.observe(5, "peer", 700);
        expect(era.ageMs()).toBe(700);
    });

    test("is not changed by an older era or by a response without one", () => {
        const { era } = createEra();
        era.observe(3, "store");
        era.observe(undefined, "store");
        era.observe(2, "peer", 50);
        expect([era.current, era.roseAt]).toEqual([3, -Infinity]);
        expect([2, 3, 4, undefined].map(era.isOlder)).toEqual([true, false, false, false]);
    });
});

describe("the reads of a fleet after a restore", () => {
    // Guards against a restored store that fails again because all instances call it at the same moment.
    test("are spread over time, and readers go first", () => {
        const source = createRandomSource(20_261_206);
        const schedule = createReadSchedule({ random: () => source.next(), pauseMs: 300 });
        const instances = 293;
        const delays = Array.from({ length: instances }, () => schedule.rereadAfterMs(readerRole.none, instances - 1));
        const latestOfReaders = Math.max(
            ...Array.from({ length: 20 }, () => schedule.rereadAfterMs(readerRole.domain, instances - 1)),
        );
        const inWindow = (start: number) => delays.filter(delay => delay >= start && delay < start + 100).length;
        expect(latestOfReaders).toBeLessThan(Math.min(...delays));
        expect(Math.max(...delays)).toBeLessThanOrEqual(1_700);
        expect(Math.max(...delays.map(inWindow))).toBeLessThanOrEqual(40);
    });
});
