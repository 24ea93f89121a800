/**
 * Registration of this instance in the store, and discovery of other instances there.
 *
 * Instances discover each other through their seeds. The store is the fallback when no seed responds: the readers of each
 * failure domain register, so that partitioned groups of instances find each other's readers there. If every instance called
 * the store, these calls would be most of the cost of starting the whole fleet. An instance that has registered does so again in
 * each new era of the store, since a store that was restored from a copy may have lost the record.
 */

import type { Clock } from "@trefoilladder/clock";
import { stream, unknownEra } from "@trefoilladder/replication";
import type { RecordStore, StoreEra } from "@trefoilladder/replication";
import type { DecisionLog } from "@trefoilladder/telemetry";
import { isIPv4 } from "node:net";

/**
 * Time in milliseconds in which a starting instance discovers the others through its seeds. Without seeds it knows no other
 * instance until it has registered, so it registers at once: alone, it could neither share limits nor fetch copies when the
 * store does not respond.
 */
const seedDiscoveryMs = 1_000;
/** Interval in milliseconds at which an instance checks whether it has to register. */
const dueCheckIntervalMs = 1_000;
/** Time in milliseconds over which the instances spread their registrations in a new era. */
const reregistrationSpreadMs = 5_000;
const firstBackoffMs = 200;
const maxBackoffMs = 3_000;

/** Dependencies of the registration. */
export interface RegistrationParts {
    store: RecordStore;
    clock: Clock;
    log: DecisionLog;
    random(): number;
    era: Pick<StoreEra, "current" | "observe">;
    instance: string;
    address: string;
    /** Whether the settings name other instances as seeds. */
    hasSeeds: boolean;
    /** Returns whether this instance has to register. */
    isDue(): boolean;
    /** Called with the IP address of each registered instance. */
    addPeer(address: string): void;
}

/**
 * Registers this instance once that is due, then reads the other instances once, and repeats both in each new era. Of two instances, the one that registers later
 * finds the earlier one and contacts it, so neither has to follow the stream.
 */
export async function registerInstance(parts: RegistrationParts, signal: AbortSignal): Promise<void> {
    await parts.clock.sleep(parts.hasSeeds ? seedDiscoveryMs : 0, signal);
    while (!signal.aborted && !parts.isDue()) {
        await parts.clock.sleep(dueCheckIntervalMs, signal);
    }
    let registeredEra = await register(parts, signal);
    while (!signal.aborted) {
        await parts.clock.sleep(dueCheckIntervalMs, signal);
        if (parts.era.current > registeredEra) {
            await parts.clock.sleep(reregistrationSpreadMs * parts.random(), signal);
            registeredEra = await register(parts, signal);
        }
    }
}

/** Writes the registration; returns the era in which it was written, undefined when the store did not accept it. */
async function writeRecord(parts: RegistrationParts, signal: AbortSignal): Promise<number | undefined> {
    const eraBefore = parts.era.current;
    const record = { key: parts.instance, value: Buffer.from(parts.address) };
    const written = await parts.store.put(stream.instances, record, signal);
    const responseEra = written.isOk() ? written.value.era : written.error.era;
    parts.era.observe(responseEra, "store");
    return written.isOk() ? responseEra ?? eraBefore : undefined;
}

/** Reads the registered instances and adds them as peers; returns their number, undefined when the store did not return them. */
async function addRegistered({ store, addPeer }: RegistrationParts, signal: AbortSignal): Promise<number | undefined> {
    const listed = await store.newest(stream.instances, signal);
    if (listed.isErr()) {
        return undefined;
    }
    const addresses = listed.value.records.map(({ value }) => value?.toString() ?? "").filter(isIPv4);
    addresses.forEach(addPeer);
    return addresses.length;
}

/**
 * Registers until the store accepts it; returns the era in which it did. The other instances are read as well while the store rejects
 * the record, so that this instance does not stay alone.
 */
async function register(parts: RegistrationParts, signal: AbortSignal): Promise<number> {
    const { clock, log } = parts;
    let registeredEra: number | undefined;
    let instances: number | undefined;
    for (let failures = 0; !signal.aborted; failures++) {
        registeredEra ??= await writeRecord(parts, signal);
        if (registeredEra !== undefined || instances === undefined) {
            instances = await addRegistered(parts, signal);
        }
        if (registeredEra !== undefined && instances !== undefined) {
            log.lifecycle("registered", { instances, failures, era: registeredEra });
            return registeredEra;
        }
        const backoffMs = Math.min(maxBackoffMs, firstBackoffMs * 2 ** failures);
        await clock.sleep(backoffMs * (0.5 + parts.random()), signal);
    }
    return registeredEra ?? unknownEra;
}
