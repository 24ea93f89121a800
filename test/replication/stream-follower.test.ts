import { createVirtualClock } from "@trefoilladder/clock";
import { chooseReaderRole, createStreamFollower, readerRole, StoreFailure, stream } from "@trefoilladder/replication";
import type { ReaderRole, RecordBatch, RecordStore } from "@trefoilladder/replication";
import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";
import { keyedRecord } from "./keyed-record";
import { silentLog } from "./silent-log";

type ScriptedResponse = Result<RecordBatch, StoreFailure> | "silent" | "stalled" | "pending" | Transfer;

/** A response whose transfer takes time. */
interface Transfer {
    batch: RecordBatch;
    transferMs: number;
}

/** Time between two parts of a response, in milliseconds. */
const partIntervalMs = 100;

/** Starts a follower against scripted responses; a read beyond the script receives none. */
function startFollower(
    script: readonly ScriptedResponse[],
    peerCount = 40,
    options: { role?: () => ReaderRole; pushed?: [number, number][]; fetchMissing?(): Promise<void>; } = {},
) {
    const clock = createVirtualClock();
    const stopping = new AbortController();
    const calls: string[] = [];
    const events: string[] = [];
    const applied: { keys: string[]; isSnapshot: boolean; }[] = [];
    const waits: number[] = [];
    let respond: (response: Result<RecordBatch, StoreFailure>) => void = () => undefined;
    let next = 0;

    async function transfer(
        { batch, transferMs }: Transfer,
        signal: AbortSignal,
        received: (bytes: number) => void,
    ): Promise<Result<RecordBatch, StoreFailure>> {
        for (let elapsedMs = 0; elapsedMs < transferMs && !signal.aborted; elapsedMs += partIntervalMs) {
            await clock.sleep(partIntervalMs, signal);
            received(10_000);
        }
        return signal.aborted ? err(new StoreFailure("unanswered", "aborted")) : ok(batch);
    }

    function nextResponse(
        name: string,
        signal: AbortSignal,
        received: (bytes: number) => void = () => undefined,
    ): Promise<Result<RecordBatch, StoreFailure>> {
        calls.push(name);
        const scripted = script[next++] ?? "silent";
        if (scripted === "pending") {
            return new Promise(resolve => respond = resolve);
        }
        if (scripted === "stalled") {
            received(10_000);
        }
        else if (scripted !== "silent" && "transferMs" in scripted) {
            return transfer(scripted, signal, received);
        }
        else if (scripted !== "silent") {
            return Promise.resolve(scripted);
        }
        return new Promise(resolve => {
            signal.addEventListener("abort", () => resolve(err(new StoreFailure("unanswered", "aborted"))));
        });
    }

    const store: RecordStore = {
        newest: (_, signal) => nextResponse("newest", signal),
        read(_, offset, waitMs, signal, received) {
            waits.push(waitMs);
            return nextResponse(`read ${offset}`, signal, received);
        },
        put: () => Promise.resolve(ok({})),
        close: () => undefined,
    };
    const follower = createStreamFollower({
        store,
        stream: stream.targets,
        clock,
        log: silentLog(events),
        random: () => 0.5,
        peerCount: () => peerCount,
        pauseMs: 500,
        apply: (records, isSnapshot) => applied.push({ keys: records.map(({ key }) => key), isSnapshot }),
        role: options.role,
        fetchMissing: options.fetchMissing,
        recordsRead: (from, batch) => options.pushed?.push([from, batch.nextOffset]),
    });
    const done = follower.run(stopping.signal);

    /** Advances the clock in steps, so that the follower runs between them. */
    async function advance(ms: number): Promise<void> {
        for (let elapsedMs = 0; elapsedMs < ms; elapsedMs += 50) {
            await clock.advance(50);
        }
    }

    return {
        now: () => clock.now(),
        advance,
        follower,
        calls,
        waits,
        events,
        applied,
        /** Returns the number of times that the store recovered after failures. */
        regainedCount: () => events.filter(event => event === "dependency_regained").length,
        /** Responds to the pending call. */
        respond: (response: Result<RecordBatch, StoreFailure>) => respond(response),
        async stop() {
            stopping.abort();
            await clock.advance(60_000);
            await done;
        },
    };
}

const refused = err(new StoreFailure("refused", "the store responded with 503"));
const expired = err(new StoreFailure("expired", "the store responded with 410"));

describe("stream follower", () => {
    test("reads the newest records, then the following ones", async () => {
        const harness = startFollower([
            ok({ records: [keyedRecord("a")], nextOffset: 3 }),
            ok({ records: [keyedRecord("b")], nextOffset: 4 }),
        ]);
        await harness.advance(2_000);
        expect(harness.calls).toEqual(["newest", "read 3", "read 4"]);
        expect(harness.applied).toEqual([{ keys: ["a"], isSnapshot: true }, { keys: ["b"], isSnapshot: false }]);
        expect(harness.follower.nextOffset).toBe(4);
        await harness.stop();
    });

    test("reads the newest records again when the store no longer has the next ones", async () => {
        const harness = startFollower([
            ok({ records: [], nextOffset: 3 }),
            expired,
            ok({ records: [keyedRecord("a")], nextOffset: 9 }),
        ]);
        await harness.advance(3_000);
        expect(harness.calls).toEqual(["newest", "read 3", "newest", "read 9"]);
        await harness.stop();
    });

    // Rejected calls are charged, and a recovering store must not receive calls of all instances at once.
    test("backs off after each failure and logs the recovery of the store", async () => {
        const harness = startFollower([
            ...Array.from({ length: 12 }, () => refused),
            ok({ records: [], nextOffset: 0 }),
        ]);
        await harness.advance(5_000);
        expect(harness.calls.length).toBeLessThanOrEqual(8);
        expect(harness.events.filter(event => event === "dependency_lost")).toHaveLength(1);
        await harness.advance(15_000);
        expect(harness.events).toContain("dependency_regained");
        expect(harness.regainedCount()).toBe(1);
        await harness.stop();
    });

    // Guards against reads of a small fleet that all hang for 20 s after the store has been unresponsive for 1.5 s: no peer was
    // ahead, and a revoked key stayed valid (soak, seeds 12 and 13).
    test.each([[0, 2_000], [4, 3_000], [1_000, 11_000]])("limits the wait with %d peers", async (peerCount, waitMs) => {
        const harness = startFollower([ok({ records: [], nextOffset: 3 })], peerCount);
        await harness.advance(1_000);
        expect(harness.waits).toEqual([waitMs]);
        await harness.stop();
    });

    // Guards against a connection that stalls for good: its read never ends, while peers receive newer records.
    test("replaces a stalled read when a peer is ahead", async () => {
        const harness = startFollower([
            ok({ records: [], nextOffset: 3 }),
            "silent",
            ok({ records: [], nextOffset: 5 }),
        ]);
        await harness.advance(1_000);
        harness.follower.handlePeerAhead();
        await harness.advance(1_500);
        expect(harness.calls).toEqual(["newest", "read 3", "read 3", "read 5"]);
        await harness.stop();
    });

    // Guards against the late configuration of incident inc1: a large record was never received completely, because each read was
    // aborted 0.4 s after a peer was known to be ahead.
    test("receives a large record while peers are constantly ahead", async () => {
        const large: ScriptedResponse = { batch: { records: [keyedRecord("a")], nextOffset: 4 }, transferMs: 1_200 };
        const harness = startFollower([ok({ records: [], nextOffset: 3 }), large, large, large]);
        for (let step = 0; step < 14; step++) {
            await harness.advance(200);
            harness.follower.handlePeerAhead();
        }
        expect(harness.calls).toEqual(["newest", "read 3", "read 4"]);
        expect(harness.follower.nextOffset).toBe(4);
        await harness.stop();
    });

    // Guards against a connection that stalls in the middle of a response.
    test("replaces a read whose response has stalled", async () => {
        const harness = startFollower([
            ok({ records: [], nextOffset: 3 }),
            "stalled",
            ok({ records: [], nextOffset: 5 }),
        ]);
        for (let step = 0; step < 8; step++) {
            await harness.advance(200);
            harness.follower.handlePeerAhead();
        }
        expect(harness.calls.slice(0, 3)).toEqual(["newest", "read 3", "read 3"]);
        await harness.stop();
    });
});

describe("an instance that is not a reader of the stream", () => {
    const listed: ScriptedResponse = ok({ records: [keyedRecord("a")], nextOffset: 5 });
    const role = () => readerRole.none;

    test("polls the store only while no other instance confirms the stream's end", async () => {
        const harness = startFollower([listed, ok({ records: [], nextOffset: 5 })], 40, { role });
        for (let step = 0; step < 20; step++) {
            await harness.advance(200);
            harness.follower.confirmEnd(5, harness.now() - 100);
        }
        expect(harness.calls).toEqual(["newest"]);
        await harness.advance(1_700);
        expect(harness.calls).toEqual(["newest", "read 5"]);
        expect(harness.waits).toEqual([0]);
        await harness.stop();
    });

    // Guards against an instance that waits for records that no reader pushes, past the time by which they must be in force.
    test("polls the store when it lacks records that others have", async () => {
        const harness = startFollower([listed, ok({ records: [keyedRecord("b")], nextOffset: 6 })], 40, { role });
        for (let step = 0; step < 8; step++) {
            await harness.advance(200);
            harness.follower.confirmEnd(6, harness.now());
        }
        expect(harness.calls).toEqual(["newest", "read 5"]);
        expect(harness.follower.nextOffset).toBe(6);
        await harness.stop();
    });

    test("polls the store soon after it learns of records that do not arrive", async () => {
        const harness = startFollower([listed, ok({ records: [keyedRecord("b")], nextOffset: 6 })], 40, { role });
        await harness.advance(200);
        harness.follower.confirmEnd(5, harness.now());
        harness.follower.handlePeerAhead();
        await harness.advance(700);
        expect(harness.calls).toEqual(["newest", "read 5"]);
        await harness.stop();
    });

    // Guards against a read of a large record by each instance: the store is polled only when no other instance provides a copy.
    test.each([[true, ["newest"]], [false, ["newest", "read 5"]]])(
        "fetches missing records from another instance (which has them: %p)",
        async (hasCopy, calls) => {
            let fetches = 0;
            const harness = startFollower([listed, ok({ records: [keyedRecord("b")], nextOffset: 6 })], 40, {
                role,
                async fetchMissing() {
                    fetches += 1;
                    if (hasCopy) {
                        harness.follower.applyCopy({ records: [keyedRecord("b")], nextOffset: 6 });
                    }
                },
            });
            await harness.advance(200);
            harness.follower.confirmEnd(5, harness.now());
            harness.follower.handlePeerAhead();
            await harness.advance(900);
            expect(fetches).toBe(1);
            expect(harness.calls).toEqual(calls);
            expect(harness.follower.nextOffset).toBe(6);
            await harness.stop();
        },
    );

    test("applies only records that directly follow its own", async () => {
        const harness = startFollower([listed], 40, { role });
        await harness.advance(100);
        expect(harness.follower.applyFrom(6, { records: [keyedRecord("c")], nextOffset: 7 })).toBe(false);
        expect(harness.follower.applyFrom(3, { records: [keyedRecord("c")], nextOffset: 7 })).toBe(false);
        expect(harness.follower.applyFrom(5, { records: [keyedRecord("b")], nextOffset: 6 })).toBe(true);
        expect(harness.follower.applyCopy({ records: [keyedRecord("z")], nextOffset: 6 })).toBe(false);
        expect(harness.applied).toEqual([{ keys: ["a"], isSnapshot: true }, { keys: ["b"], isSnapshot: false }]);
        await harness.stop();
    });
});

describe("a reader of the stream", () => {
    // Guards against a drop that is applied twice and removes a target that has returned in between.
    test("discards its own read when another reader's records arrived first", async () => {
        const pushed: [number, number][] = [];
        const harness = startFollower(
            [ok({ records: [keyedRecord("a")], nextOffset: 5 }), "silent"],
            40,
            { role: () => readerRole.first, pushed },
        );
        await harness.advance(1_000);
        expect(harness.calls).toEqual(["newest", "read 5"]);
        harness.follower.applyFrom(5, { records: [keyedRecord("b")], nextOffset: 6 });
        harness.follower.handlePeerAhead();
        await harness.advance(2_000);
        expect(harness.calls.at(-1)).toBe("read 6");
        expect(pushed).toEqual([]);
        await harness.stop();
    });

    // Guards against a change that is delayed by the reader's next pause because another reader's push overtook its response.
    test("applies and pushes the part of its response that follows the records that overtook it", async () => {
        const pushed: [number, number][] = [];
        const harness = startFollower([ok({ records: [], nextOffset: 5 }), "pending"], 40, {
            role: () => readerRole.domain,
            pushed,
        });
        await harness.advance(1_000);
        harness.follower.applyFrom(5, { records: [keyedRecord("b")], nextOffset: 6 });
        harness.respond(ok({ records: [keyedRecord("b"), keyedRecord("c")], nextOffset: 7 }));
        await harness.advance(50);
        expect(harness.applied.at(-1)).toEqual({ keys: ["c"], isSnapshot: false });
        expect(harness.follower.nextOffset).toBe(7);
        expect(pushed).toEqual([[6, 7]]);
        await harness.stop();
    });

    // Guards against a reader that confirms the end of the stream where pushed records ended: the others would not poll for 1.5 s.
    // A record that cannot be decoded is missing from the response, so that none of its records has a known offset.
    test("does not confirm the end after a response with further records that pushed ones overtook", async () => {
        const harness = startFollower([ok({ records: [], nextOffset: 5 }), "pending"], 40, {
            role: () => readerRole.domain,
        });
        await harness.advance(500);
        const confirmedAt = harness.follower.endConfirmedAt;
        await harness.advance(500);
        harness.follower.applyFrom(5, { records: [keyedRecord("b")], nextOffset: 6 });
        harness.respond(ok({ records: [keyedRecord("b"), keyedRecord("c")], nextOffset: 8 }));
        await harness.advance(50);
        expect(harness.follower.nextOffset).toBe(6);
        expect(harness.follower.endConfirmedAt).toBe(confirmedAt);
        await harness.stop();
    });

    // Guards against an instance that backs off and requests copies from others although the store responds to it again.
    test("detects the recovery of the store from a response that other records overtook", async () => {
        const failed: ScriptedResponse = err(new StoreFailure("refused", "call rejected"));
        const harness = startFollower([ok({ records: [], nextOffset: 5 }), failed, "pending"], 40, {
            role: () => readerRole.domain,
        });
        await harness.advance(1_500);
        expect(harness.follower.isFailing).toBe(true);
        harness.follower.applyFrom(5, { records: [keyedRecord("b")], nextOffset: 6 });
        harness.respond(ok({ records: [keyedRecord("b")], nextOffset: 6 }));
        await harness.advance(50);
        expect(harness.follower.isFailing).toBe(false);
        expect(harness.regainedCount()).toBe(1);
        expect(harness.applied.at(-1)).toEqual({ keys: ["b"], isSnapshot: false });
        expect(harness.applied).toHaveLength(2);
        await harness.stop();
    });

    test("pushes the records that it read, and waits no longer than others rely on its confirmation", async () => {
        const pushed: [number, number][] = [];
        const harness = startFollower(
            [ok({ records: [], nextOffset: 5 }), ok({ records: [keyedRecord("b")], nextOffset: 6 })],
            40,
            { role: () => readerRole.first, pushed },
        );
        await harness.advance(1_500);
        expect(pushed).toEqual([[5, 6]]);
        expect(Math.max(...harness.waits)).toBeLessThanOrEqual(2_000);
        await harness.stop();
    });
});

describe("reader selection", () => {
    const all = Array.from({ length: 12 }, (_, index) => ({
        address: `10.1.0.${index + 1}:7660`,
        domain: index % 3 === 0 ? "a" : "b",
        isStoreUnavailable: false,
    }));

    function rolesWithout(failing: readonly string[]): Map<ReaderRole, string[]> {
        const roles = new Map<ReaderRole, string[]>();
        for (const self of all) {
            const others = all.filter(other => other !== self)
                .map(other => ({ ...other, isStoreUnavailable: failing.includes(other.address) }));
            const role = chooseReaderRole(self, others);
            roles.set(role, [...roles.get(role) ?? [], self.address]);
        }
        return roles;
    }

    test("selects one reader per domain, one of them as first for all, and others when these lose the store", () => {
        const roles = rolesWithout([]);
        expect(roles.get("first")).toHaveLength(1);
        expect(roles.get("domain")).toHaveLength(1);
        const readers = [...roles.get("first")!, ...roles.get("domain")!];
        const domains = readers.map(reader => all.find(({ address }) => address === reader)!.domain);
        expect(new Set(domains).size).toBe(2);
        const without = rolesWithout(readers);
        const further = [...without.get("first")!, ...without.get("domain")!].filter(reader =>
            !readers.includes(reader)
        );
        expect(further).toHaveLength(2);
    });

    test("selects an instance that is alone", () => {
        expect(chooseReaderRole({ address: "10.1.0.1:7660", domain: "a" }, [])).toBe("first");
    });
});
