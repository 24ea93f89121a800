import type { RecordRow } from "@trefoilladder/mesh";
import type { KeyedRecord } from "@trefoilladder/replication";

/** Returns a record as it is sent to other instances. */
export function toRow({ key, value }: KeyedRecord): RecordRow {
    return [key, value ?? null];
}

/** Returns the record that was sent. Its value is copied, since a view would keep all that was decoded with it in memory. */
export function toRecord([key, value]: RecordRow): KeyedRecord {
    return { key, value: value === null ? undefined : Buffer.from(value) };
}
