import type { KeyedRecord } from "@trefoilladder/replication";

/** Returns a record with a key and some value. */
export function keyedRecord(key: string): KeyedRecord {
    return { key, value: Buffer.from("v") };
}
