import type { Failure } from "@trefoilladder/failures";
import { applyEach } from "@trefoilladder/replication";
import type { KeyedRecord, TargetDirectory } from "@trefoilladder/replication";
import type { TargetRecord } from "@trefoilladder/serving";
import type { DecisionLog } from "@trefoilladder/telemetry";
import type { Result } from "neverthrow";

/** The newest encoded records of the targets, as the store holds them. */
export interface TargetRecords {
    /** Applies records to the directory; with `isSnapshot`, targets without a record are dropped. */
    apply(records: readonly KeyedRecord[], isSnapshot: boolean): void;
    /** Returns the records of the listed targets. */
    all(): KeyedRecord[];
}

/** Creates an empty set; a record that cannot be decoded is logged and ignored. */
export function createTargetRecords(parts: {
    decode(id: string, bytes: Buffer): Result<TargetRecord, Failure>;
    log: DecisionLog;
    directory: TargetDirectory;
}): TargetRecords {
    const { directory, log } = parts;
    const encodedRecords = new Map<string, Buffer>();

    function applyRecord({ key, value }: KeyedRecord): void {
        if (value === undefined) {
            encodedRecords.delete(key);
            directory.drop(key);
            return;
        }
        const decoded = parts.decode(key, value);
        if (decoded.isErr()) {
            log.stateChange("target_record_malformed", { target: key, message: decoded.error.message });
            return;
        }
        if (directory.put(decoded.value)) {
            encodedRecords.set(key, value);
        }
    }

    function retain(keys: ReadonlySet<string>): void {
        directory.retain(keys);
        [...encodedRecords.keys()].filter(key => !keys.has(key)).forEach(key => encodedRecords.delete(key));
    }

    return {
        apply(records, isSnapshot) {
            applyEach(records, log, applyRecord);
            if (isSnapshot) {
                retain(new Set(records.filter(({ value }) => value !== undefined).map(({ key }) => key)));
            }
        },
        all: () => [...encodedRecords].map(([key, value]) => ({ key, value })),
    };
}
