/**
 * Settlement of keyed records after the store was restored from a copy.
 *
 * The copy lacks the newest records, so that its first snapshot may hold older ones. Records that were in force before stay in
 * force until the log of the new era holds a newer record of their key, or until a fixed time after the era rose, in which the
 * writers write their records again. Deletions are records in this sense: a deleted key does not come back.
 */

import type { KeyedRecord } from "./record-store";
import type { StoreEra } from "./store-era";

/** Time in milliseconds after a rise of the era within which the writers have written their records again. */
export const eraSettleMs = 10_000;
/** Time in milliseconds for which a deletion is remembered; the store is restored from copies that are seconds old. */
const deletionMemoryMs = 60_000;

/** Decides which records of a stream are in force. */
export interface EraSettlement {
    /**
     * Takes records that a follower applies, in offset order, and returns those to put in force now. A value of undefined ends a
     * record. With `isSnapshot`, the log holds no other keys.
     */
    accept(records: readonly KeyedRecord[], isSnapshot: boolean): KeyedRecord[];
    /** Returns the records to put in force because the time after the rise has passed; to be called about once a second. */
    settle(): KeyedRecord[];
    /** Returns the records that the log holds, for copies: a copy has to match its offset, which records that are held do not. */
    logged(): KeyedRecord[];
}

/** State of a key that is in force; `value` is undefined when it was deleted. */
interface KeyState {
    value: Buffer | undefined;
    /** Monotonic time of the change in milliseconds. */
    changedAt: number;
}

function isSame(a: Buffer | undefined, b: Buffer | undefined): boolean {
    return a === undefined || b === undefined ? a === b : a.equals(b);
}

/** Creates a settlement without records. */
export function createEraSettlement(parts: {
    now(): number;
    era: Pick<StoreEra, "current" | "roseAt">;
}): EraSettlement {
    const { now, era } = parts;
    const inForce = new Map<string, KeyState>();
    let logged = new Map<string, Buffer>();
    let loggedEra: number | undefined;
    /** Keys whose state in force differs from the first snapshot of the era. */
    const held = new Set<string>();

    function isSettled(): boolean {
        return now() >= era.roseAt + eraSettleMs;
    }

    function forgetOldDeletions(): void {
        for (const [key, { value, changedAt }] of inForce) {
            if (value === undefined && changedAt + deletionMemoryMs <= now()) {
                inForce.delete(key);
            }
        }
    }

    /** Puts the state of a key in the log in force; returns it when it differs from the state before. */
    function enforce(key: string): KeyedRecord[] {
        held.delete(key);
        const value = logged.get(key);
        if (isSame(inForce.get(key)?.value, value)) {
            return [];
        }
        inForce.set(key, { value, changedAt: now() });
        return [{ key, value }];
    }

    function acceptRecord({ key, value }: KeyedRecord): KeyedRecord[] {
        if (value === undefined) {
            logged.delete(key);
        }
        else {
            logged.set(key, value);
        }
        return enforce(key);
    }

    function acceptSnapshot(records: readonly KeyedRecord[]): KeyedRecord[] {
        const before = logged;
        const isFirstOfEra = loggedEra !== era.current;
        logged = new Map(records.flatMap(({ key, value }) => value === undefined ? [] : [[key, value]]));
        loggedEra = era.current;
        forgetOldDeletions();
        const keys = [...new Set([...before.keys(), ...logged.keys(), ...inForce.keys()])];
        if (isSettled()) {
            return keys.flatMap(enforce);
        }
        if (isFirstOfEra) {
            held.clear();
            const known = keys.filter(key => inForce.has(key));
            known.filter(key => !isSame(inForce.get(key)!.value, logged.get(key))).forEach(key => held.add(key));
            return keys.filter(key => !inForce.has(key)).flatMap(enforce);
        }
        // A key that changed between two snapshots of the era has a record that was written after the first one.
        return keys.filter(key => !held.has(key) || !isSame(before.get(key), logged.get(key))).flatMap(enforce);
    }

    return {
        accept: (records, isSnapshot) => isSnapshot ? acceptSnapshot(records) : records.flatMap(acceptRecord),
        settle() {
            // Before the first snapshot of the era, the log is that of an older one.
            return held.size > 0 && loggedEra === era.current && isSettled() ? [...held].flatMap(enforce) : [];
        },
        logged: () => [...logged].map(([key, value]) => ({ key, value })),
    };
}
