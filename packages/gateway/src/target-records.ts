import type { Failure } from "@trefoilladder/failures";
import type { KeyedRecord, TargetDirectory } from "@trefoilladder/replication";
import type { TargetRecord } from "@trefoilladder/serving";
import type { DecisionLog } from "@trefoilladder/telemetry";
import type { Result } from "neverthrow";

/** The newest records of targets as the store holds them. */
export interface TargetRecords {
    /** Applies records to the directory; `isWhole` tells that targets without a record are gone. */
    apply(records: readonly KeyedRecord[], isWhole: boolean): void;
    /** Returns the records of the targets that are listed. */
    all(): KeyedRecord[];
}

/** Creates an empty set; a record that cannot be read is logged and changes nothing. */
export function createTargetRecords(parts: {
    decode(id: string, bytes: Buffer): Result<TargetRecord, Failure>;
    log: DecisionLog;
    directory: TargetDirectory;
}): TargetRecords {
    const { directory, log } = parts;
    const values = new Map<string, Buffer>();

    function applyOne({ key, value }: KeyedRecord): void {
        if (value === undefined) {
            values.delete(key);
            directory.drop(key);
            return;
        }
        const decoded = parts.decode(key, value);
        if (decoded.isErr()) {
            log.belief("target_record_malformed", { target: key, message: decoded.error.message });
            return;
        }
        if (directory.put(decoded.value)) {
            values.set(key, value);
        }
    }

    function retain(keys: ReadonlySet<string>): void {
        directory.retain(keys);
        [...values.keys()].filter(key => !keys.has(key)).forEach(key => values.delete(key));
    }

    return {
        apply(records, isWhole) {
            records.forEach(applyOne);
            if (isWhole) {
                retain(new Set(records.filter(({ value }) => value !== undefined).map(({ key }) => key)));
            }
        },
        all: () => [...values].map(([key, value]) => ({ key, value })),
    };
}
