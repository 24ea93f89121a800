import type { DecisionLog } from "@trefoilladder/telemetry";
import type { KeyedRecord } from "./record-store";

/**
 * Applies records one by one. One whose handler throws is logged and skipped, so that it neither ends the process nor keeps the
 * others from being applied.
 */
export function applyEach<T extends KeyedRecord>(
    records: readonly T[],
    log: Pick<DecisionLog, "fault">,
    apply: (record: T) => void,
): void {
    for (const record of records) {
        try {
            apply(record);
        }
        catch (error) {
            log.fault("record_not_applied", { key: record.key, message: String(error) });
        }
    }
}
