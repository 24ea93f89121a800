/**
 * The targets that may get requests, from the newest records that they and the store hold.
 */

import type { Clock } from "@trefoilladder/clock";
import type { TargetRecord } from "@trefoilladder/serving";
import type { DecisionLog } from "@trefoilladder/telemetry";

/** A target as it was last heard of. */
export interface ListedTarget extends TargetRecord {
    /** Monotonic time until which the target is slow, in milliseconds. */
    coldUntil: number;
}

/** One start of a target. */
export type Incarnation = Pick<TargetRecord, "id" | "startedAt">;

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
    get(id: string): ListedTarget | undefined;
    /** Returns the targets of a service that may get requests. */
    serving(service: string): readonly ListedTarget[];
    /** Tells whether a target may get requests. */
    isServing(id: string): boolean;
    readonly size: number;
}

/** Dropped targets that are remembered; the oldest are forgotten first. */
const maxDropped = 4_096;

/** Incarnations that said that they leave and are remembered, about as many as there are targets; the oldest are forgotten first. */
const maxLeaving = 32_768;

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
    /** Starts of the incarnations that said in an answer that they leave, by target. */
    const leaving = new Map<string, number>();
    let byService = new Map<string, ListedTarget[]>();

    function isLeaving({ id, startedAt }: Incarnation): boolean {
        return leaving.get(id) === startedAt;
    }

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

    /** Returns whether another target has taken over the address of a target. */
    function isReplaced(target: ListedTarget): boolean {
        for (const other of targets.values()) {
            const sameAddress = other.address === target.address && other.port === target.port;
            if (sameAddress && other.id !== target.id && other.startedAt > target.startedAt) {
                return true;
            }
        }
        return false;
    }

    function rebuild(): void {
        byService = new Map();
        for (const target of targets.values()) {
            if (target.draining || isLeaving(target) || isReplaced(target)) {
                continue;
            }
            const list = byService.get(target.service) ?? [];
            list.push(target);
            byService.set(target.service, list);
        }
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
            rebuild();
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
            rebuild();
            return true;
        },
        drop,
        retain(ids) {
            [...targets.keys()].filter(id => !ids.has(id)).forEach(drop);
        },
        noteLeaving(target) {
            if (isLeaving(target) || (leaving.get(target.id) ?? -Infinity) > target.startedAt) {
                return;
            }
            leaving.delete(target.id);
            leaving.set(target.id, target.startedAt);
            const oldest = leaving.keys().next();
            if (leaving.size > maxLeaving && oldest.done !== true) {
                leaving.delete(oldest.value);
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
            rebuild();
        },
        get: id => targets.get(id),
        isServing(id) {
            const target = targets.get(id);
            return target !== undefined && !target.draining && !isLeaving(target);
        },
        serving: service => byService.get(service) ?? [],
        get size() {
            return targets.size;
        },
    };
}
