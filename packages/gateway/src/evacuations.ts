/**
 * Failure domains that the operator has evacuated, from the records of the configuration stream that are in force.
 */

import type { KeyedRecord } from "@trefoilladder/replication";
import type { DecisionLog } from "@trefoilladder/telemetry";

/** The evacuated failure domains. */
export interface Evacuations {
    /**
     * Applies records in the order of their offsets; one without a value ends an evacuation. `source` is logged as their origin.
     * Records with other keys are ignored.
     */
    apply(records: readonly KeyedRecord[], source: string): void;
    /** Returns the domains that are evacuated now. */
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
}

/** Creates evacuations without any record. */
export function createEvacuations(parts: EvacuationParts): Evacuations {
    const { keyPrefix, log } = parts;
    const inForce = new Set<string>();

    function begin(domain: string, source: string): void {
        if (!inForce.has(domain)) {
            inForce.add(domain);
            log.stateChange("evacuation_began", { domain, source });
            parts.began(domain);
        }
    }

    function end(domain: string, source: string): void {
        if (inForce.delete(domain)) {
            log.stateChange("evacuation_ended", { domain, source });
            parts.ended(domain);
        }
    }

    return {
        apply(records, source) {
            // The last record of a key decides, so that an evacuation that is revoked and ordered again in one batch goes on.
            for (const [key, value] of new Map(records.map(record => [record.key, record.value]))) {
                const domain = key.startsWith(keyPrefix) ? key.slice(keyPrefix.length) : "";
                if (domain !== "") {
                    (value === undefined ? end : begin)(domain, source);
                }
            }
        },
        inForce: () => inForce,
    };
}
