/**
 * The targets that may get requests, from the newest records that they and the store hold.
 */

import type { Clock } from "@trefoilladder/clock";
import type { TargetRecord } from "@trefoilladder/serving";
import type { DecisionLog } from "@trefoilladder/telemetry";
import { createIncarnationNotices } from "./incarnation-notices";
import type { Incarnation } from "./incarnation-notices";

/** A target as it was last heard of. */
export interface ListedTarget extends TargetRecord {
    /** Monotonic time until which the target is slow, in milliseconds. */
    coldUntil: number;
}

/** The listed targets. */
export interface TargetDirectory {
    /** Applies what a target said last. An older record of the same incarnation changes nothing; returns false for one. */
    put(record: TargetRecord): boolean;
    /** Notes that the record of a target was dropped. */
    drop(id: string): void;
    /** Keeps only the targets with these ids. */
    retain(ids: ReadonlySet<string>): void;
    /** Notes that an incarnation of a target said in an answer that it leaves; no later record of it takes that back. */
    noteLeaving(target: Incarnation): void;
    /** Notes that an incarnation of a target wants nothing from this instance for a time in milliseconds. */
    noteTurnedAway(target: Incarnation, forMs: number): void;
    get(id: string): ListedTarget | undefined;
    /** Returns the targets of a service that may get requests. */
    serving(service: string): readonly ListedTarget[];
    /** Tells whether a target may get requests, now or when it has room again. */
    isKept(id: string): boolean;
    /** Tells whether an incarnation of a target may get requests now. */
    isServing(target: Incarnation): boolean;
    /**
     * Returns the time in milliseconds until a target of a service wants requests again: 0 when one may get requests now, undefined
     * when none is known.
     */
    msUntilServing(service: string): number | undefined;
    readonly size: number;
}

/** Dropped targets that are remembered; the oldest are forgotten first. */
const maxDropped = 4_096;

/** What the directory needs. */
export interface TargetDirectoryParts {
    clock: Clock;
    log: DecisionLog;
    /** Returns the monotonic time in milliseconds until which records that lapsed in an outage of the store may come back. */
    lapseGraceUntil(): number;
    /** Called with the id of each target that is gone or replaced. */
    removed(id: string): void;
    /** Called with the id of each target that gets no further requests and may still be at work on some. */
    leaving(id: string): void;
}

/** Creates an empty directory. */
export function createTargetDirectory(parts: TargetDirectoryParts): TargetDirectory {
    const { clock, log } = parts;
    const targets = new Map<string, ListedTarget>();
    /** Monotonic times in milliseconds at which the records of targets lapsed that are kept for a while. */
    const lapsed = new Map<string, number>();
    /** Last records of dropped targets, which a late copy of them must not bring back. */
    const dropped = new Map<string, TargetRecord>();
    const notices = createIncarnationNotices(() => clock.now());
    /** Targets that may get requests; undefined after a change. */
    let byService: Map<string, ListedTarget[]> | undefined;

    function isOlder(record: TargetRecord, known: TargetRecord): boolean {
        return record.startedAt < known.startedAt
            || record.startedAt === known.startedAt && record.sequence < known.sequence;
    }

    function wasDropped(record: TargetRecord): boolean {
        const last = dropped.get(record.id);
        return last !== undefined
            && (isOlder(record, last) || record.startedAt === last.startedAt && record.sequence === last.sequence);
    }

    function remember(target: TargetRecord): void {
        dropped.delete(target.id);
        dropped.set(target.id, target);
        const oldest = dropped.keys().next();
        if (dropped.size > maxDropped && oldest.done !== true) {
            dropped.delete(oldest.value);
        }
    }

    /** Returns the target that started last at each address, which has taken it over from earlier ones. */
    function newestByAddress(): Map<string, ListedTarget> {
        const newest = new Map<string, ListedTarget>();
        for (const target of targets.values()) {
            const key = `${target.address}:${target.port}`;
            if (target.startedAt >= (newest.get(key)?.startedAt ?? -Infinity)) {
                newest.set(key, target);
            }
        }
        return newest;
    }

    function listByService(): Map<string, ListedTarget[]> {
        const newest = newestByAddress();
        const lists = new Map<string, ListedTarget[]>();
        for (const target of targets.values()) {
            const isReplaced = newest.get(`${target.address}:${target.port}`)!.startedAt > target.startedAt;
            if (target.draining || notices.isLeaving(target) || isReplaced) {
                continue;
            }
            const list = lists.get(target.service) ?? [];
            list.push(target);
            lists.set(target.service, list);
        }
        return lists;
    }

    /** Returns the listed targets of a service; the lists are made when they are asked for, once for many changes. */
    function listedOf(service: string): readonly ListedTarget[] {
        byService ??= listByService();
        return byService.get(service) ?? [];
    }

    function remove(id: string, why: string): void {
        const heldMs = Math.round(clock.now() - (lapsed.get(id) ?? clock.now()));
        lapsed.delete(id);
        const target = targets.get(id);
        if (target !== undefined) {
            targets.delete(id);
            remember(target);
            log.belief("target_gone", {
                target: id,
                why,
                heldMs,
                sequence: target.sequence,
                startedAt: target.startedAt,
            });
            parts.removed(id);
            byService = undefined;
        }
    }

    function drop(id: string): void {
        if (!targets.has(id) || lapsed.has(id)) {
            return;
        }
        const lapsedAt = clock.now();
        const remainingMs = parts.lapseGraceUntil() - lapsedAt;
        if (remainingMs <= 0) {
            remove(id, "record_dropped");
            return;
        }
        lapsed.set(id, lapsedAt);
        log.belief("target_lapsed", { target: id, graceMs: Math.round(remainingMs) });
        void clock.sleep(remainingMs).then(() => {
            if (lapsed.get(id) === lapsedAt) {
                remove(id, "not_back_after_outage");
            }
        });
    }

    return {
        put(record) {
            const known = targets.get(record.id);
            if (known !== undefined && isOlder(record, known) || wasDropped(record)) {
                log.belief("older_record_ignored", { target: record.id, sequence: record.sequence });
                return false;
            }
            lapsed.delete(record.id);
            targets.set(record.id, { ...record, coldUntil: clock.now() + record.coldMs });
            if (known === undefined || known.draining !== record.draining || known.startedAt !== record.startedAt) {
                const { id, service, draining, sequence, startedAt } = record;
                log.belief("target_listed", { target: id, service, draining, sequence, startedAt });
            }
            if (known !== undefined && known.startedAt !== record.startedAt) {
                parts.removed(record.id);
            }
            else if (record.draining) {
                parts.leaving(record.id);
            }
            byService = undefined;
            return true;
        },
        drop,
        retain(ids) {
            [...targets.keys()].filter(id => !ids.has(id)).forEach(drop);
        },
        noteLeaving(target) {
            if (!notices.noteLeaving(target)) {
                return;
            }
            const listed = targets.get(target.id);
            log.belief("target_leaving", {
                target: target.id,
                startedAt: target.startedAt,
                source: "answer",
                listedAs: listed === undefined ? "gone" : listed.draining ? "draining" : "ready",
                sequence: listed?.sequence,
            });
            parts.leaving(target.id);
            byService = undefined;
        },
        get: id => targets.get(id),
        noteTurnedAway(target, forMs) {
            const addedMs = notices.noteTurnedAway(target, forMs);
            if (addedMs > 0) {
                const { id, startedAt } = target;
                log.belief("target_turned_away", {
                    target: id,
                    startedAt,
                    askedMs: forMs,
                    forMs: Math.round(notices.msTurnedAway(target)),
                });
            }
        },
        isKept(id) {
            const target = targets.get(id);
            return target !== undefined && !target.draining && !notices.isLeaving(target);
        },
        isServing(target) {
            const listed = targets.get(target.id);
            const isSame = listed?.startedAt === target.startedAt && !listed.draining;
            return isSame && !notices.isLeaving(target) && notices.msTurnedAway(target) === 0;
        },
        msUntilServing(service) {
            const waits = listedOf(service).map(notices.msTurnedAway);
            return waits.length === 0 ? undefined : Math.min(...waits);
        },
        serving(service) {
            const listed = listedOf(service);
            return notices.hasTurnedAway() ? listed.filter(target => notices.msTurnedAway(target) === 0) : listed;
        },
        get size() {
            return targets.size;
        },
    };
}
