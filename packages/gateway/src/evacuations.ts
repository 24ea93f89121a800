/**
 * Failure domains that the operator has evacuated, from the records of the configuration stream.
 *
 * What the records say is kept apart from what is in force: a policy derives the domains in force from the records, so that a
 * snapshot of a restored store can be held back without losing its records.
 */

import type { KeyedRecord } from "@trefoilladder/replication";
import type { DecisionLog } from "@trefoilladder/telemetry";

/** A change of the records that a policy decides on. */
export interface EvacuationChange {
    /** Domains whose records say that they are evacuated. */
    recorded: ReadonlySet<string>;
    /** Domains that are evacuated now. */
    inForce: ReadonlySet<string>;
    /** Domains with a record in the applied batch, deletions included. */
    written: ReadonlySet<string>;
    /** Whether the batch holds all records, so that a domain without one has none. */
    isSnapshot: boolean;
}

/** Returns the domains that are to be in force. */
export type EvacuationPolicy = (change: EvacuationChange) => ReadonlySet<string>;

/** The evacuated failure domains. */
export interface Evacuations {
    /** Applies records in the order of their offsets; `source` is logged as their origin. Records with other keys are ignored. */
    apply(records: readonly KeyedRecord[], isSnapshot: boolean, source: string): void;
    /** Applies the policy again without new records, for a policy whose decision depends on the time. */
    enforce(source: string): void;
    /** Returns the records of the evacuated domains, as the stream holds them. */
    records(): KeyedRecord[];
    /** Returns the domains in force. */
    inForce(): ReadonlySet<string>;
}

/** Dependencies of the evacuations. */
export interface EvacuationParts {
    /** Prefix of the keys of the records; the rest of a key is the name of the failure domain. */
    keyPrefix: string;
    log: Pick<DecisionLog, "stateChange">;
    /** Called for each domain whose evacuation begins or ends. */
    began(domain: string): void;
    ended(domain: string): void;
    /** @default the domains that the records say */
    policy?: EvacuationPolicy;
}

/** Creates evacuations without any record. */
export function createEvacuations(parts: EvacuationParts): Evacuations {
    const { keyPrefix, log, policy = ({ recorded }) => recorded } = parts;
    const values = new Map<string, Buffer>();
    const inForce = new Set<string>();

    function domainOf({ key }: KeyedRecord): string | undefined {
        return key.startsWith(keyPrefix) && key.length > keyPrefix.length ? key.slice(keyPrefix.length) : undefined;
    }

    /** Applies records to the known values and returns the domains that they name. */
    function update(records: readonly KeyedRecord[]): Set<string> {
        const written = new Set<string>();
        for (const record of records) {
            const domain = domainOf(record);
            if (domain === undefined) {
                continue;
            }
            written.add(domain);
            if (record.value === undefined) {
                values.delete(domain);
            }
            else {
                values.set(domain, record.value);
            }
        }
        return written;
    }

    function decide(written: ReadonlySet<string>, isSnapshot: boolean, source: string): void {
        const decided = policy({ recorded: new Set(values.keys()), inForce, written, isSnapshot });
        for (const domain of [...inForce].filter(name => !decided.has(name))) {
            inForce.delete(domain);
            log.stateChange("evacuation_ended", { domain, source });
            parts.ended(domain);
        }
        for (const domain of [...decided].filter(name => !inForce.has(name))) {
            inForce.add(domain);
            log.stateChange("evacuation_began", { domain, source });
            parts.began(domain);
        }
    }

    return {
        apply(records, isSnapshot, source) {
            if (isSnapshot) {
                values.clear();
            }
            const written = update(records);
            if (isSnapshot || written.size > 0) {
                decide(written, isSnapshot, source);
            }
        },
        enforce: source => decide(new Set(), false, source),
        records: () => [...values].map(([domain, value]) => ({ key: `${keyPrefix}${domain}`, value })),
        inForce: () => inForce,
    };
}
