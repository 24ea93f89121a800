/**
 * Registration of this instance in the store, and discovery of other instances there.
 *
 * Instances discover each other through their seeds. The store is the fallback when no seed responds: the readers of each
 * failure domain register, so that partitioned groups of instances find each other's readers there. If every instance called
 * the store, these calls would be most of the cost of starting the whole fleet.
 */

import type { Clock } from "@trefoilladder/clock";
import { stream } from "@trefoilladder/replication";
import type { RecordStore } from "@trefoilladder/replication";
import type { DecisionLog } from "@trefoilladder/telemetry";

/**
 * Time in milliseconds in which a starting instance discovers the others through its seeds. Without seeds it knows no other
 * instance until it has registered, so it registers at once: alone, it could neither share limits nor fetch copies when the
 * store does not respond.
 */
const seedDiscoveryMs = 1_000;
/** Interval in milliseconds at which an instance checks whether it has to register. */
const dueCheckIntervalMs = 1_000;
const firstBackoffMs = 200;
const maxBackoffMs = 3_000;

/** Dependencies of the registration. */
export interface RegistrationParts {
    store: RecordStore;
    clock: Clock;
    log: DecisionLog;
    random(): number;
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
 * Registers this instance once that is due, then reads the other instances once. Of two instances, the one that registers later
 * finds the earlier one and contacts it, so neither has to follow the stream.
 */
export async function registerInstance(parts: RegistrationParts, signal: AbortSignal): Promise<void> {
    await parts.clock.sleep(parts.hasSeeds ? seedDiscoveryMs : 0, signal);
    while (!signal.aborted && !parts.isDue()) {
        await parts.clock.sleep(dueCheckIntervalMs, signal);
    }
    await register(parts, signal);
}

async function register(parts: RegistrationParts, signal: AbortSignal): Promise<void> {
    const { store, clock, log } = parts;
    let registered = false;
    for (let failures = 0; !signal.aborted; failures++) {
        if (!registered) {
            const record = { key: parts.instance, value: Buffer.from(parts.address) };
            registered = (await store.put(stream.instances, record, signal)).isOk();
        }
        const listed = registered ? await store.newest(stream.instances, signal) : undefined;
        if (listed?.isOk() === true) {
            const addresses = listed.value.records.map(({ value }) => value?.toString() ?? "");
            addresses.filter(address => /^[\d.]+$/.test(address)).forEach(parts.addPeer);
            log.lifecycle("registered", { instances: addresses.length, failures });
            return;
        }
        const backoffMs = Math.min(maxBackoffMs, firstBackoffMs * 2 ** failures);
        await clock.sleep(backoffMs * (0.5 + parts.random()), signal);
    }
}
