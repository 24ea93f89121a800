import type { Failure } from "@trefoilladder/failures";
import type { KeyedRecord } from "@trefoilladder/replication";
import { createConfigurationIndex } from "@trefoilladder/serving";
import type { ConfigurationIndex, ServingConfiguration } from "@trefoilladder/serving";
import type { DecisionLog } from "@trefoilladder/telemetry";
import type { Result } from "neverthrow";

/** Decodes the value of a configuration record. */
export type DecodeConfiguration = (bytes: Buffer) => Result<ServingConfiguration, Failure>;

/** The configuration in force. An older version never replaces it. */
export interface ConfigurationState {
    /** Applies a record when it holds a newer version; `source` is logged as its origin. */
    apply(record: KeyedRecord, source: string): void;
    current(): ConfigurationIndex | undefined;
    version(): number;
    /** Returns the record of the version in force. */
    record(): KeyedRecord | undefined;
}

/** Creates the state without a configuration; `changed` is called for each new version. */
export function createConfigurationState(parts: {
    decode: DecodeConfiguration;
    log: DecisionLog;
    changed(index: ConfigurationIndex): void;
}): ConfigurationState {
    let current: ConfigurationIndex | undefined;
    let inForce: KeyedRecord | undefined;

    return {
        apply(record, source) {
            if (record.value === undefined) {
                parts.log.stateChange("configuration_record_dropped", { source });
                return;
            }
            const startedAt = performance.now();
            const decoded = parts.decode(record.value);
            if (decoded.isErr()) {
                parts.log.fault("configuration_malformed", { source, message: decoded.error.message });
                return;
            }
            const before = current?.configuration.version ?? 0;
            const { version, routes, organisations } = decoded.value;
            if (version <= before) {
                return;
            }
            current = createConfigurationIndex(decoded.value);
            inForce = record;
            parts.log.stateChange("configuration_in_force", {
                version,
                before,
                source,
                routes: routes.length,
                organisations: organisations.length,
                bytes: record.value.length,
                decodeMs: Math.round(performance.now() - startedAt),
            });
            parts.changed(current);
        },
        current: () => current,
        version: () => current?.configuration.version ?? 0,
        record: () => inForce,
    };
}
