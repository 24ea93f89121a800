/**
 * Limits that all instances share, by name, with the running totals that instances tell each other.
 */

import type { SharedLimit } from "./shared-limit";

/** Running total of the tokens taken from the limit of a name, with the part of it that came since the total was told last. */
export type NamedTotal = [name: string, total: number, added: number];

/** Shared limits by name. */
export interface LimitGroup {
    get(name: string): SharedLimit | undefined;
    /** Adds a limit; it gets the contact share that is known. */
    add(name: string, limit: SharedLimit): void;
    /** Removes the limits whose names are not among these. */
    retain(names: ReadonlySet<string>): void;
    setContactShare(share: number): void;
    /** Returns when an instance was last heard, in milliseconds. */
    heardAt(sender: string): number;
    /** Applies the running totals that another instance has told; those that it has not told have not changed. */
    learn(sender: string, totals: readonly NamedTotal[]): void;
    /** Returns the running totals to tell: those that changed, and for a while those that did. */
    collectNews(): NamedTotal[];
}

interface Entry {
    limit: SharedLimit;
    toldTotal: number;
    /** Part of the told total that came with it. */
    toldAdded: number;
    repeatsLeft: number;
}

/** Instances that are remembered; the one that was heard longest ago is forgotten first. */
const maxHeard = 4_096;
/** Further digests that carry a changed total, since datagrams get lost. */
const repeats = 1;

/** Creates a group without limits. Totals that changed by less than `minChange` since they were told are no news. */
export function createLimitGroup(options: { now(): number; minChange: number; }): LimitGroup {
    const { now, minChange } = options;
    const entries = new Map<string, Entry>();
    /** Monotonic times in milliseconds, the instance heard last at the end. */
    const heard = new Map<string, number>();
    let contactShare = 1;

    function noteHeard(sender: string): void {
        heard.delete(sender);
        heard.set(sender, now());
        const oldest = heard.keys().next();
        if (heard.size > maxHeard && oldest.done !== true) {
            heard.delete(oldest.value);
        }
    }

    function hasNews(entry: Entry): boolean {
        const { admitted } = entry.limit;
        if (Math.abs(admitted - entry.toldTotal) >= minChange) {
            entry.toldAdded = admitted - entry.toldTotal;
            entry.toldTotal = admitted;
            entry.repeatsLeft = repeats;
            return true;
        }
        entry.repeatsLeft -= 1;
        return entry.repeatsLeft >= 0;
    }

    return {
        get: name => entries.get(name)?.limit,
        add(name, limit) {
            limit.setContactShare(contactShare, now());
            entries.set(name, { limit, toldTotal: 0, toldAdded: 0, repeatsLeft: 0 });
        },
        retain(names) {
            [...entries.keys()].filter(name => !names.has(name)).forEach(name => entries.delete(name));
        },
        setContactShare(share) {
            if (share !== contactShare) {
                contactShare = share;
                entries.forEach(({ limit }) => limit.setContactShare(share, now()));
            }
        },
        heardAt: sender => heard.get(sender) ?? -Infinity,
        learn(sender, totals) {
            noteHeard(sender);
            for (const [name, total, added] of totals) {
                entries.get(name)?.limit.observe(sender, total, now(), added);
            }
        },
        collectNews() {
            return [...entries]
                .filter(([, entry]) => hasNews(entry))
                .map(([name, entry]): NamedTotal => [name, entry.toldTotal, entry.toldAdded]);
        },
    };
}
