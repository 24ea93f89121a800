import type { RecordRow } from "@trefoilladder/mesh";
import type { KeyedRecord } from "@trefoilladder/replication";

/** Converts a record to the form that is sent to other instances. */
export function toRow({ key, value }: KeyedRecord): RecordRow {
    return [key, value ?? null];
}

/** Converts a received row to a record. The value is copied, since a view would keep the whole decoded buffer in memory. */
export function toRecord([key, value]: RecordRow): KeyedRecord {
    return { key, value: value === null ? undefined : Buffer.from(value) };
}
