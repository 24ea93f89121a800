import type { Clock } from "@trefoilladder/clock";
import type { LogClient, LogRecord } from "@trefoilladder/platform";
import type { Telemetry } from "@trefoilladder/telemetry";
import { z } from "zod";
import { rendezvousWeights } from "./rendezvous";
import { shardCount } from "./shard";

/** Log stream of the join and remove records. */
export const rosterStream = "roster";

/** Kinds of roster records. */
export const rosterRecordKind = { join: "join", remove: "remove" } as const;

const rosterRecordSchema = z.object({
    kind: z.enum(rosterRecordKind),
    incarnation: z.string().min(1),
});

/** Candidates for shard ownership, built from the join and remove records in log order. */
export interface Roster {
    /** Returns whether the stream has been read to its end at least once. */
    hasSynced(): boolean;
    /** Offset of the last record applied, plus one. */
    appliedOffset(): number;
    has(incarnation: string): boolean;
    /** Returns whether a remove record for the incarnation has been read. */
    wasRemoved(incarnation: string): boolean;
    /** Every incarnation that has joined and has not been removed. */
    incarnations(): Iterable<string>;
    /** Candidates of a shard, highest rank first. */
    candidates(shard: number): readonly string[];
    /** Sets the incarnation for which `run` maintains a join record; undefined stops writing join records. */
    keepJoined(incarnation: string | undefined): void;
    /** Appends a remove record; returns whether the log confirmed it. The record is idempotent. */
    remove(incarnation: string): Promise<boolean>;
    /** Reads the stream and writes join records until the signal aborts. */
    run(signal: AbortSignal): Promise<void>;
}

const longPollMs = 5_000;
const minRetryMs = 100;
const maxRetryMs = 2_000;
const joinCheckMs = 200;
/** Time after which an appended join record that has not been read back from the stream is appended again. */
const joinRepeatMs = 1_500;

/** Creates a roster that follows its stream in the log. */
export function createRoster(parts: { log: LogClient; clock: Clock; telemetry: Telemetry; }): Roster {
    const { log, clock, telemetry } = parts;
    /** Offset of the latest join record of each incarnation. */
    const joined = new Map<string, number>();
    // A lost response can cause a join record to be appended twice; the second must not undo a removal between the two.
    const removed = new Set<string>();
    const rankings: (readonly string[] | undefined)[] = new Array<undefined>(shardCount).fill(undefined);
    let nextOffset = 0;
    let firstOffset = 0;
    let synced = false;
    let incarnationToJoin: string | undefined;

    function apply(record: LogRecord): void {
        nextOffset = record.offset + 1;
        const parsed = rosterRecordSchema.safeParse(record.value);
        if (!parsed.success) {
            telemetry.count("roster.malformed_records");
            return;
        }
        const { kind, incarnation } = parsed.data;
        if (kind === rosterRecordKind.remove) {
            removed.add(incarnation);
            if (joined.delete(incarnation)) {
                rankings.fill(undefined);
            }
        }
        else if (!removed.has(incarnation)) {
            const isNew = !joined.has(incarnation);
            joined.set(incarnation, record.offset);
            if (isNew) {
                rankings.fill(undefined);
            }
        }
    }

    function candidates(shard: number): readonly string[] {
        let ranked = rankings[shard];
        if (ranked === undefined) {
            ranked = [...joined.keys()].sort((a, b) => compareRank(shard, a, b));
            rankings[shard] = ranked;
        }
        return ranked;
    }

    /** Continues at the oldest retained record when the next one has expired. */
    async function skipExpired(signal: AbortSignal): Promise<void> {
        const page = await log.read(rosterStream, Number.MAX_SAFE_INTEGER, { limit: 1, signal });
        if (page.isOk()) {
            nextOffset = Math.max(nextOffset, page.value.firstOffset);
            firstOffset = page.value.firstOffset;
        }
    }

    async function follow(signal: AbortSignal): Promise<void> {
        let retryMs = minRetryMs;
        let reachable = true;
        while (!signal.aborted) {
            const page = await log.read(rosterStream, nextOffset, { waitMs: synced ? longPollMs : 0, signal });
            if (signal.aborted) {
                return;
            }
            if (page.isErr()) {
                telemetry.count("roster.read_failures", { code: page.error.code });
                if (page.error.code === "platform_records_expired") {
                    await skipExpired(signal);
                }
                else if (reachable) {
                    telemetry.fault("roster_log_lost", { code: page.error.code });
                    reachable = false;
                }
                await clock.sleep(retryMs * (0.5 + Math.random()), signal);
                retryMs = Math.min(retryMs * 2, maxRetryMs);
                continue;
            }
            if (!reachable) {
                telemetry.stateChange("roster_log_restored", { offset: page.value.endOffset });
            }
            reachable = true;
            retryMs = minRetryMs;
            firstOffset = page.value.firstOffset;
            page.value.records.forEach(apply);
            synced ||= nextOffset >= page.value.endOffset;
            telemetry.gauge("roster.size", joined.size);
        }
    }

    /** Appends a join record while the incarnation has none on the stream, or its record has expired. */
    async function writeJoins(signal: AbortSignal): Promise<void> {
        let appendedAt = -Infinity;
        let appendedFor: string | undefined;
        while (!signal.aborted) {
            const incarnation = incarnationToJoin;
            const due = incarnation !== appendedFor || clock.now() - appendedAt > joinRepeatMs;
            if (incarnation !== undefined && synced && due && !removed.has(incarnation)) {
                const offset = joined.get(incarnation);
                if (offset === undefined || offset < firstOffset) {
                    appendedAt = clock.now();
                    appendedFor = incarnation;
                    const appended = await log.append(rosterStream, { kind: rosterRecordKind.join, incarnation });
                    if (appended.isErr()) {
                        telemetry.count("roster.append_failures", { code: appended.error.code });
                    }
                }
            }
            await clock.sleep(joinCheckMs, signal);
        }
    }

    return {
        hasSynced: () => synced,
        appliedOffset: () => nextOffset,
        has: incarnation => joined.has(incarnation),
        wasRemoved: incarnation => removed.has(incarnation),
        incarnations: () => joined.keys(),
        candidates,
        keepJoined: incarnation => void (incarnationToJoin = incarnation),
        async remove(incarnation) {
            const appended = await log.append(rosterStream, { kind: rosterRecordKind.remove, incarnation });
            return appended.isOk();
        },
        run: async signal => void await Promise.all([follow(signal), writeJoins(signal)]),
    };
}

/** Compares the ranks of two incarnations for a shard: negative when `a` ranks higher. Equal on every instance. */
export function compareRank(shard: number, a: string, b: string): number {
    const difference = rendezvousWeights(b)[shard]! - rendezvousWeights(a)[shard]!;
    return difference !== 0 ? difference : (a < b ? -1 : a > b ? 1 : 0);
}
