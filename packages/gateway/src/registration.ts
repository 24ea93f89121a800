/**
 * Entry of this instance in the store, and the other instances from there.
 *
 * Instances find each other through their seeds. The store serves those that no seed answers: the readers of each failure
 * domain register, so that groups of instances which know nothing of each other find their readers there. A call of every
 * instance would be the greater part of what a start of the whole fleet costs.
 */

import type { Clock } from "@trefoilladder/clock";
import { stream } from "@trefoilladder/replication";
import type { RecordStore } from "@trefoilladder/replication";
import type { DecisionLog } from "@trefoilladder/telemetry";

/**
 * Time in milliseconds in which a starting instance hears of the others through its seeds. Without seeds it knows of nobody until
 * it has registered, and does so at once: alone, it would neither share limits nor get copies of what the store does not tell.
 */
const seedsTimeMs = 1_000;
/** Interval in milliseconds in which an instance looks whether it has become one that registers. */
const dueIntervalMs = 1_000;
const firstBackoffMs = 200;
const maxBackoffMs = 3_000;

/** What the registration needs. */
export interface RegistrationParts {
    store: RecordStore;
    clock: Clock;
    log: DecisionLog;
    random(): number;
    instance: string;
    address: string;
    /** Whether there are other instances that this one was told of at its start. */
    hasSeeds: boolean;
    /** Returns whether this instance has to register. */
    isDue(): boolean;
    learn(address: string): void;
}

/**
 * Registers this instance when that is due, then reads the others once. Of two instances the one that registers later finds
 * the earlier one and greets it, so neither has to watch the stream.
 */
export async function registerInstance(parts: RegistrationParts, signal: AbortSignal): Promise<void> {
    await parts.clock.sleep(parts.hasSeeds ? seedsTimeMs : 0, signal);
    while (!signal.aborted && !parts.isDue()) {
        await parts.clock.sleep(dueIntervalMs, signal);
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
            addresses.filter(address => /^[\d.]+$/.test(address)).forEach(parts.learn);
            log.lifecycle("registered", { instances: addresses.length, failures });
            return;
        }
        const backoffMs = Math.min(maxBackoffMs, firstBackoffMs * 2 ** failures);
        await clock.sleep(backoffMs * (0.5 + parts.random()), signal);
    }
}
