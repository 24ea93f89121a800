/**
 * Directory of the targets that may receive requests, from their newest records and from what they reported in responses.
 */

import type { Clock } from "@trefoilladder/clock";
import type { TargetRecord } from "@trefoilladder/serving";
import type { DecisionLog } from "@trefoilladder/telemetry";
import { createIncarnationReports } from "./incarnation-reports";
import type { Incarnation } from "./incarnation-reports";

/** A target with its newest record. */
export interface ListedTarget extends TargetRecord {
    /** Monotonic time in milliseconds until which the target is slow after its start. */
    coldUntil: number;
}

/** Directory of targets. */
export interface TargetDirectory {
    /** Applies a record of a target. Ignores a record that is older than the known one, and returns false for it. */
    put(record: TargetRecord): boolean;
    /** Handles the deletion of a target's record. */
    drop(id: string): void;
    /** Keeps only the targets with these ids. */
    retain(ids: ReadonlySet<string>): void;
    /** Records that an incarnation reported in a response that it is leaving; no later record of this incarnation reverts that. */
    markLeaving(target: Incarnation): void;
    /** Records that an incarnation accepts no requests from this instance for a time in milliseconds. */
    markThrottling(target: Incarnation, forMs: number): void;
    /** Handles a change of the services for which `isKnownService` returns true. */
    handleServicesChange(): void;
    /** Excludes the targets of a failure domain. */
    beginEvacuation(domain: string): void;
    /**
     * Admits the targets of a failure domain again. They are cold for the time that `coldMsOf` returns for their service, in
     * milliseconds, unless a record written after the evacuation states otherwise.
     */
    endEvacuation(domain: string, coldMsOf: (service: string) => number): void;
    get(id: string): ListedTarget | undefined;
    /** Returns the targets of a service that may receive requests now. */
    serving(service: string): readonly ListedTarget[];
    /** Returns whether a target may receive requests, now or once it stops throttling. */
    isActive(id: string): boolean;
    /** Returns whether an incarnation may receive requests now. */
    isServing(target: Incarnation): boolean;
    /**
     * Returns the time in milliseconds until a target of a service accepts requests again: 0 when one may receive requests now,
     * undefined when the service has no available target. Only targets that `allows` returns true for count.
     */
    msUntilServing(service: string, allows?: (target: ListedTarget) => boolean): number | undefined;
    readonly size: number;
    /** Returns the number of targets that are cold now. */
    coldCount(): number;
}

/** Maximum number of dropped targets that are kept; the oldest are evicted first. */
const maxDropped = 4_096;

/**
 * Time in milliseconds after the end of an evacuation in which a record may arrive that was written before it: the streams of
 * the configuration and of the targets are read independently of each other.
 */
const recordDelayMs = 2_000;

function addressOf({ address, port }: TargetRecord): string {
    return `${address}:${port}`;
}

/** Options of a directory. */
export interface TargetDirectoryOptions {
    clock: Clock;
    log: DecisionLog;
    /** Returns the monotonic time in milliseconds until which records that expired in an outage of the store may be renewed. */
    expiryGraceUntil(): number;
    /**
     * Returns whether the configuration names a service; true for all services before the first configuration. Records of other
     * services, which another writer may have left, replace no target of a known one.
     */
    isKnownService(service: string): boolean;
    /** Called with the id of each target that was removed or replaced by a new incarnation. */
    removed(id: string): void;
    /** Called with the id of each target that receives no further requests and may still process earlier ones. */
    leaving(id: string): void;
}

/** Creates an empty directory. */
export function createTargetDirectory(options: TargetDirectoryOptions): TargetDirectory {
    const { clock, log } = options;
    const targets = new Map<string, ListedTarget>();
    /** Monotonic times in milliseconds at which records expired, for targets that are kept during the grace period. */
    const expiredAt = new Map<string, number>();
    /** Last records of dropped targets; a late copy of such a record must not restore the target. */
    const dropped = new Map<string, TargetRecord>();
    const evacuated = new Set<string>();
    /** Cold times that are assumed after an evacuation, in monotonic milliseconds, by target. */
    const assumedCold = new Map<string, { startedAt: number; until: number; endedAt: number; }>();
    const reports = createIncarnationReports(() => clock.now());
    /** Available targets, throttling ones included; undefined after a change. */
    let availableByService: Map<string, ListedTarget[]> | undefined;

    function isOlder(record: TargetRecord, known: TargetRecord): boolean {
        return record.startedAt < known.startedAt
            || record.startedAt === known.startedAt && record.sequence < known.sequence;
    }

    /** Returns whether a known record goes before another one of the same target. */
    function isSuperseded(record: TargetRecord, known: TargetRecord): boolean {
        const isKnown = options.isKnownService(known.service);
        return isKnown === options.isKnownService(record.service) ? isOlder(record, known) : isKnown;
    }

    function wasDropped(record: TargetRecord): boolean {
        const last = dropped.get(record.id);
        return last !== undefined
            && (isSuperseded(record, last) || record.startedAt === last.startedAt && record.sequence === last.sequence);
    }

    function addDropped(target: TargetRecord): void {
        dropped.delete(target.id);
        dropped.set(target.id, target);
        const oldest = dropped.keys().next();
        if (dropped.size > maxDropped && oldest.done !== true) {
            dropped.delete(oldest.value);
        }
    }

    /** Returns the time at which the target of a known service that started last at each address did; it has replaced the others. */
    function lastStartByAddress(): Map<string, number> {
        const lastStarts = new Map<string, number>();
        for (const target of targets.values()) {
            if (options.isKnownService(target.service)) {
                const key = addressOf(target);
                lastStarts.set(key, Math.max(lastStarts.get(key) ?? -Infinity, target.startedAt));
            }
        }
        return lastStarts;
    }

    function groupByService(): Map<string, ListedTarget[]> {
        const lastStarts = lastStartByAddress();
        const lists = new Map<string, ListedTarget[]>();
        for (const target of targets.values()) {
            const isReplaced = target.startedAt < (lastStarts.get(addressOf(target)) ?? -Infinity);
            if (target.draining || reports.isLeaving(target) || isReplaced || evacuated.has(target.domain)) {
                continue;
            }
            const list = lists.get(target.service) ?? [];
            list.push(target);
            lists.set(target.service, list);
        }
        return lists;
    }

    /** Returns the available targets of a service. Builds the lists lazily, once for many changes. */
    function availableTargets(service: string): readonly ListedTarget[] {
        availableByService ??= groupByService();
        return availableByService.get(service) ?? [];
    }

    /**
     * Returns the time until which a target is cold by a record. A known record may arrive again, in a copy for example; its cold time
     * counts from its first arrival.
     */
    function coldUntilOf(record: TargetRecord, known: ListedTarget | undefined): number {
        const isKnown = known?.startedAt === record.startedAt && known.sequence === record.sequence;
        const recorded = isKnown ? known.coldUntil : clock.now() + record.coldMs;
        const assumed = assumedCold.get(record.id);
        if (assumed === undefined || isKnown) {
            return recorded;
        }
        if (assumed.startedAt === record.startedAt && clock.now() < assumed.endedAt + recordDelayMs) {
            return Math.max(recorded, assumed.until);
        }
        assumedCold.delete(record.id);
        return recorded;
    }

    function remove(id: string, reason: string): void {
        const heldMs = Math.round(clock.now() - (expiredAt.get(id) ?? clock.now()));
        expiredAt.delete(id);
        assumedCold.delete(id);
        const target = targets.get(id);
        if (target !== undefined) {
            targets.delete(id);
            addDropped(target);
            log.stateChange("target_gone", {
                target: id,
                why: reason,
                heldMs,
                sequence: target.sequence,
                startedAt: target.startedAt,
            });
            options.removed(id);
            availableByService = undefined;
        }
    }

    function drop(id: string): void {
        if (!targets.has(id) || expiredAt.has(id)) {
            return;
        }
        const droppedAt = clock.now();
        const remainingMs = options.expiryGraceUntil() - droppedAt;
        if (remainingMs <= 0) {
            remove(id, "record_dropped");
            return;
        }
        expiredAt.set(id, droppedAt);
        log.stateChange("target_lapsed", { target: id, graceMs: Math.round(remainingMs) });
        void clock.sleep(remainingMs).then(() => {
            if (expiredAt.get(id) === droppedAt) {
                remove(id, "not_back_after_outage");
            }
        });
    }

    return {
        put(record) {
            const known = targets.get(record.id);
            if (known !== undefined && isSuperseded(record, known) || wasDropped(record)) {
                const { id, service, sequence } = record;
                log.stateChange("superseded_record_ignored", { target: id, service, sequence });
                return false;
            }
            expiredAt.delete(record.id);
            const coldUntil = coldUntilOf(record, known);
            if (coldUntil > clock.now() && !(known !== undefined && known.coldUntil > clock.now())) {
                log.stateChange("target_cold", { target: record.id, forMs: Math.round(coldUntil - clock.now()) });
            }
            targets.set(record.id, { ...record, coldUntil });
            if (known === undefined || known.draining !== record.draining || known.startedAt !== record.startedAt) {
                const { id, service, draining, sequence, startedAt } = record;
                log.stateChange("target_listed", { target: id, service, draining, sequence, startedAt });
            }
            if (known !== undefined && known.startedAt !== record.startedAt) {
                options.removed(record.id);
            }
            else if (record.draining) {
                options.leaving(record.id);
            }
            availableByService = undefined;
            return true;
        },
        drop,
        retain(ids) {
            [...targets.keys()].filter(id => !ids.has(id)).forEach(drop);
        },
        markLeaving(target) {
            if (!reports.markLeaving(target)) {
                return;
            }
            const listed = targets.get(target.id);
            log.stateChange("target_leaving", {
                target: target.id,
                startedAt: target.startedAt,
                source: "answer",
                listedAs: listed === undefined ? "gone" : listed.draining ? "draining" : "ready",
                sequence: listed?.sequence,
            });
            options.leaving(target.id);
            availableByService = undefined;
        },
        handleServicesChange() {
            availableByService = undefined;
        },
        beginEvacuation(domain) {
            evacuated.add(domain);
            availableByService = undefined;
            [...targets.values()].filter(target => target.domain === domain).forEach(({ id }) => options.leaving(id));
        },
        endEvacuation(domain, coldMsOf) {
            evacuated.delete(domain);
            availableByService = undefined;
            const endedAt = clock.now();
            for (const target of [...targets.values()].filter(other => other.domain === domain)) {
                const { id, service, startedAt } = target;
                const until = Math.max(target.coldUntil, endedAt + coldMsOf(service));
                targets.set(id, { ...target, coldUntil: until });
                assumedCold.set(id, { startedAt, until, endedAt });
            }
        },
        get: id => targets.get(id),
        markThrottling(target, forMs) {
            const addedMs = reports.markThrottling(target, forMs);
            if (addedMs > 0) {
                const { id, startedAt } = target;
                log.stateChange("target_turned_away", {
                    target: id,
                    startedAt,
                    askedMs: forMs,
                    forMs: Math.round(reports.throttlingMs(target)),
                });
            }
        },
        isActive(id) {
            const target = targets.get(id);
            return target !== undefined && !target.draining && !reports.isLeaving(target)
                && !evacuated.has(target.domain);
        },
        isServing(target) {
            const listed = targets.get(target.id);
            const isCurrent = listed?.startedAt === target.startedAt && !listed.draining
                && !evacuated.has(listed.domain);
            return isCurrent && !reports.isLeaving(target) && reports.throttlingMs(target) === 0;
        },
        msUntilServing(service, allows = () => true) {
            const waits = availableTargets(service).filter(allows).map(reports.throttlingMs);
            return waits.length === 0 ? undefined : Math.min(...waits);
        },
        serving(service) {
            const listed = availableTargets(service);
            return reports.isAnyThrottling() ? listed.filter(target => reports.throttlingMs(target) === 0) : listed;
        },
        coldCount: () => [...targets.values()].filter(({ coldUntil }) => clock.now() < coldUntil).length,
        get size() {
            return targets.size;
        },
    };
}
