/**
 * Limits that all instances share, by name, with the running totals that instances exchange.
 */

import type { SharedLimit } from "./shared-limit";

/** Running total of the tokens taken from a named limit, with its increment since the previously sent total. */
export type NamedTotal = [name: string, total: number, increment: number];

/** Shared limits by name. */
export interface LimitGroup {
    /** Whether a configuration has set the limits, even if it holds none. */
    readonly isConfigured: boolean;
    get(name: string): SharedLimit | undefined;
    /** Returns the names and limits. */
    all(): IterableIterator<[name: string, limit: SharedLimit]>;
    /** Adds a limit and sets its contact share to the current one. */
    add(name: string, limit: SharedLimit): void;
    /**
     * Removes the limits whose names are not among these. Their buckets and totals are kept for a while: the tokens of one that
     * returns have been used up, and a total that began again would look like tokens put back.
     */
    retain(names: ReadonlySet<string>): void;
    /** Returns a limit, one that was removed included, which is in force again then; undefined when none is kept. */
    restore(name: string): SharedLimit | undefined;
    setContactShare(share: number): void;
    /** Called several times a second while the process runs; a gap between two calls shows that it was paused. */
    tick(): void;
    /** Returns the monotonic time in milliseconds at which the last pause of the process was detected; -Infinity without one. */
    pausedAt(): number;
    /**
     * Discards what the buckets hold and what others have reported: the process was suspended together with its clock, so that
     * neither the tokens refilled meanwhile nor those admitted by others can be told.
     */
    recordSuspension(): void;
    /** Returns the monotonic time in milliseconds of the last contact with an instance; -Infinity without any. */
    lastContactAt(sender: string): number;
    /**
     * Applies the running totals of another instance, named by its address and incarnation (`address/incarnation`); totals
     * that it leaves out have not changed.
     */
    applyPeerTotals(sender: string, totals: readonly NamedTotal[]): void;
    /** Returns the running totals to send: those that have changed, and repeats of those that changed recently. */
    collectChangedTotals(): NamedTotal[];
}

interface Entry {
    limit: SharedLimit;
    sentTotal: number;
    /** Part of `sentTotal` that was new when it was first sent. */
    sentIncrement: number;
    resendsLeft: number;
    /** Monotonic time in milliseconds at which the limit was removed; undefined while it is in force. */
    removedAt: number | undefined;
}

/** Time in milliseconds for which a removed limit is kept, longer than any instance keeps another one's total. */
const removedLimitTtlMs = 600_000;
/** Maximum number of removed limits that are kept; those removed first are evicted first. */
const maxRemovedLimits = 10_000;

/** Time in milliseconds since the last `tick` after which the process counts as paused. */
const pauseThresholdMs = 700;
/** Maximum number of instances whose last contact is kept; the least recent one is evicted first. */
const maxSenders = 4_096;
/** Number of further digests that repeat a changed total, since datagrams may be lost. */
const resends = 1;

/** Options of a group. */
export interface LimitGroupOptions {
    now(): number;
    /** Totals that changed by less than this since they were last sent count as unchanged. */
    minChange: number;
    /** Called when a reported total is lower than the previous one by `tokens`. */
    totalFell?(name: string, sender: string, tokens: number): void;
}

/** Returns the address of a sender, the part before its incarnation. */
function addressOf(sender: string): string {
    return sender.split("/", 1)[0]!;
}

/** Creates an empty group. */
export function createLimitGroup(options: LimitGroupOptions): LimitGroup {
    const { now, minChange } = options;
    const entries = new Map<string, Entry>();
    /** Monotonic times in milliseconds by instance, the most recent contact last. */
    const lastContacts = new Map<string, number>();
    /** Last sender at each address; a restarted instance has another incarnation. */
    const senders = new Map<string, string>();
    const ended = new Set<string>();
    let contactShare = 1;
    let lastTickAt: number | undefined;
    let lastPauseAt = -Infinity;
    let isConfigured = false;

    function recordContact(sender: string): void {
        lastContacts.delete(sender);
        lastContacts.set(sender, now());
        const oldest = lastContacts.keys().next();
        if (lastContacts.size > maxSenders && oldest.done !== true) {
            lastContacts.delete(oldest.value);
            senders.delete(addressOf(oldest.value));
        }
    }

    /** Removes the previous incarnation of a sender, whose process has ended. */
    function removePreviousIncarnation(sender: string): void {
        const address = addressOf(sender);
        const previous = senders.get(address);
        senders.set(address, sender);
        if (previous !== undefined && previous !== sender) {
            recordEnd(previous);
            entries.forEach(({ limit }) => limit.removePeer(previous, now()));
        }
    }

    function recordEnd(sender: string): void {
        lastContacts.delete(sender);
        ended.add(sender);
        const oldest = ended.values().next();
        if (ended.size > maxSenders && oldest.done !== true) {
            ended.delete(oldest.value);
        }
    }

    /**
     * Detects that the process was paused. It is called before each use of a limit, since the requests and reports that
     * arrived during a pause are handled before the timers.
     */
    function detectPause(): void {
        const pausedMs = lastTickAt === undefined ? 0 : now() - lastTickAt;
        if (pausedMs > pauseThresholdMs) {
            lastTickAt = now();
            lastPauseAt = now();
            entries.forEach(({ limit }) => limit.recordPause(pausedMs, now()));
        }
    }

    function hasExpired({ removedAt }: Entry): boolean {
        return removedAt !== undefined && now() - removedAt > removedLimitTtlMs;
    }

    function deleteOldLimits(): void {
        const removed = [...entries].filter(([, { removedAt }]) => removedAt !== undefined);
        removed.filter(([, entry], index) => hasExpired(entry) || index < removed.length - maxRemovedLimits)
            .forEach(([name]) => entries.delete(name));
    }

    /** Returns whether the next digest carries the total of a limit; updates the sent total of one that has changed. */
    function needsSending(entry: Entry): boolean {
        const { admitted } = entry.limit;
        if (Math.abs(admitted - entry.sentTotal) >= minChange) {
            entry.sentIncrement = admitted - entry.sentTotal;
            entry.sentTotal = admitted;
            entry.resendsLeft = resends;
            return true;
        }
        entry.resendsLeft -= 1;
        return entry.resendsLeft >= 0;
    }

    return {
        get isConfigured() {
            return isConfigured;
        },
        get(name) {
            detectPause();
            const entry = entries.get(name);
            return entry?.removedAt === undefined ? entry?.limit : undefined;
        },
        *all() {
            for (const [name, { limit, removedAt }] of entries) {
                if (removedAt === undefined) {
                    yield [name, limit];
                }
            }
        },
        add(name, limit) {
            isConfigured = true;
            limit.setContactShare(contactShare, now());
            entries.set(name, { limit, sentTotal: 0, sentIncrement: 0, resendsLeft: 0, removedAt: undefined });
        },
        retain(names) {
            isConfigured = true;
            for (const [name, entry] of [...entries]) {
                if (!names.has(name) && entry.removedAt === undefined) {
                    entry.removedAt = now();
                    // The order of the map is that of removal.
                    entries.delete(name);
                    entries.set(name, entry);
                }
            }
            deleteOldLimits();
        },
        restore(name) {
            const entry = entries.get(name);
            if (entry === undefined || hasExpired(entry)) {
                entries.delete(name);
                return undefined;
            }
            entry.removedAt = undefined;
            return entry.limit;
        },
        tick() {
            detectPause();
            lastTickAt = now();
        },
        setContactShare(share) {
            if (share !== contactShare) {
                contactShare = share;
                entries.forEach(({ limit }) => limit.setContactShare(share, now()));
            }
        },
        pausedAt() {
            detectPause();
            return lastPauseAt;
        },
        recordSuspension() {
            lastPauseAt = now();
            entries.forEach(({ limit }) => limit.restart(now(), 0));
        },
        lastContactAt: sender => lastContacts.get(sender) ?? -Infinity,
        applyPeerTotals(sender, totals) {
            detectPause();
            if (ended.has(sender)) {
                // A relay sent on a digest of an instance that has restarted since.
                return;
            }
            removePreviousIncarnation(sender);
            recordContact(sender);
            for (const [name, total, increment] of totals) {
                const fallenBy = entries.get(name)?.limit.applyPeerTotal(sender, total, now(), increment) ?? 0;
                if (fallenBy > 0) {
                    options.totalFell?.(name, sender, fallenBy);
                }
            }
        },
        collectChangedTotals() {
            return [...entries]
                .filter(([, entry]) => needsSending(entry))
                .map(([name, entry]): NamedTotal => [name, entry.sentTotal, entry.sentIncrement]);
        },
    };
}
