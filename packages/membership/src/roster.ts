import type { Clock } from "@trefoilladder/clock";
import type { LogClient, LogRecord } from "@trefoilladder/platform";
import type { Telemetry } from "@trefoilladder/telemetry";
import { z } from "zod";
import { rendezvousWeights } from "./rendezvous";
import { shardCount } from "./shard";

/** Stream that holds the join and remove records. */
export const rosterStream = "roster";

/** Kinds of roster records. */
export const rosterRecordKind = { join: "join", remove: "remove" } as const;

const rosterRecordSchema = z.object({
    kind: z.enum(rosterRecordKind),
    incarnation: z.string().min(1),
});

/** The candidates for ownership, as the log orders them. */
export interface Roster {
    /** Returns whether the stream has been read to its end at least once. */
    established(): boolean;
    /** Offset of the last record applied, plus one. */
    appliedOffset(): number;
    has(incarnation: string): boolean;
    /** Returns whether a remove record for the incarnation was read. */
    wasRemoved(incarnation: string): boolean;
    /** Every incarnation that has joined and was not removed. */
    incarnations(): Iterable<string>;
    /** Candidates of a shard, the first in rank first. */
    candidates(shard: number): readonly string[];
    /** Names the incarnation that `run` keeps joined; undefined writes no more join records. */
    keepJoined(incarnation: string | undefined): void;
    /** Appends a remove record; returns whether the log confirmed it. A repeated record changes nothing. */
    remove(incarnation: string): Promise<boolean>;
    /** Follows the stream and writes join records until the signal aborts. */
    run(signal: AbortSignal): Promise<void>;
}

const longPollMs = 5_000;
const minRetryMs = 100;
const maxRetryMs = 2_000;
const joinCheckMs = 200;
/** Time that an append is given to show up on the stream before it is repeated. */
const joinRepeatMs = 1_500;

/** Creates a follower of the roster stream. */
export function createRoster(parts: { log: LogClient; clock: Clock; telemetry: Telemetry; }): Roster {
    const { log, clock, telemetry } = parts;
    /** Offset of the latest join record of each member. */
    const joined = new Map<string, number>();
    // A join record that a lost response caused to be appended twice must not undo a removal between the two.
    const removed = new Set<string>();
    const ranking: (readonly string[] | undefined)[] = new Array<undefined>(shardCount).fill(undefined);
    let applied = 0;
    let firstOffset = 0;
    let established = false;
    let wanted: string | undefined;

    function apply(record: LogRecord): void {
        applied = record.offset + 1;
        const parsed = rosterRecordSchema.safeParse(record.value);
        if (!parsed.success) {
            telemetry.count("roster.malformed_records");
            return;
        }
        const { kind, incarnation } = parsed.data;
        if (kind === rosterRecordKind.remove) {
            removed.add(incarnation);
            if (joined.delete(incarnation)) {
                ranking.fill(undefined);
            }
        }
        else if (!removed.has(incarnation)) {
            const isNew = !joined.has(incarnation);
            joined.set(incarnation, record.offset);
            if (isNew) {
                ranking.fill(undefined);
            }
        }
    }

    function candidates(shard: number): readonly string[] {
        let ranked = ranking[shard];
        if (ranked === undefined) {
            ranked = [...joined.keys()].sort((a, b) => compareRank(shard, a, b));
            ranking[shard] = ranked;
        }
        return ranked;
    }

    /** Continues at the oldest record kept, after the next one has passed out of retention. */
    async function skipExpired(signal: AbortSignal): Promise<void> {
        const page = await log.read(rosterStream, Number.MAX_SAFE_INTEGER, { limit: 1, signal });
        if (page.isOk()) {
            applied = Math.max(applied, page.value.firstOffset);
            firstOffset = page.value.firstOffset;
        }
    }

    async function follow(signal: AbortSignal): Promise<void> {
        let retryMs = minRetryMs;
        let reachable = true;
        while (!signal.aborted) {
            const page = await log.read(rosterStream, applied, { waitMs: established ? longPollMs : 0, signal });
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
            established ||= applied >= page.value.endOffset;
            telemetry.gauge("roster.size", joined.size);
        }
    }

    /** Appends a join record while the wanted member is not on the stream, or its record is about to expire. */
    async function writeJoins(signal: AbortSignal): Promise<void> {
        let appendedAt = -Infinity;
        let appendedFor: string | undefined;
        while (!signal.aborted) {
            const incarnation = wanted;
            const due = incarnation !== appendedFor || clock.now() - appendedAt > joinRepeatMs;
            if (incarnation !== undefined && established && due && !removed.has(incarnation)) {
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
        established: () => established,
        appliedOffset: () => applied,
        has: incarnation => joined.has(incarnation),
        wasRemoved: incarnation => removed.has(incarnation),
        incarnations: () => joined.keys(),
        candidates,
        keepJoined: incarnation => void (wanted = incarnation),
        async remove(incarnation) {
            const appended = await log.append(rosterStream, { kind: rosterRecordKind.remove, incarnation });
            return appended.isOk();
        },
        run: async signal => void await Promise.all([follow(signal), writeJoins(signal)]),
    };
}

/** Orders two incarnations by their rank for a shard: negative when `a` ranks above `b`. The same at every instance. */
export function compareRank(shard: number, a: string, b: string): number {
    const difference = rendezvousWeights(b)[shard]! - rendezvousWeights(a)[shard]!;
    return difference !== 0 ? difference : (a < b ? -1 : a > b ? 1 : 0);
}
