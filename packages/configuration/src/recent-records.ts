import type { LogRecord } from "@trefoilladder/platform";

/** Records kept to serve peers, and the offsets they cover. */
export interface RecentRecords {
    /** Adds the record that follows the last one. */
    add(record: LogRecord): void;
    /** Forgets everything; the next record is at `offset`. */
    restart(offset: number): void;
    /** Returns up to `limit` records from an offset on, or none when the offset is not covered. */
    from(offset: number, limit: number): LogRecord[];
    /** Offset of the oldest record kept. */
    readonly firstOffset: number;
}

// A peer that is further behind takes a snapshot, which is then the shorter transfer.
const maxRecords = 2_000;
// Bounds the memory when single edits carry thousands of changes.
const maxChanges = 20_000;

function countChanges({ value }: LogRecord): number {
    const changes = (value as { changes?: unknown; } | undefined)?.changes;
    return Array.isArray(changes) ? Math.max(1, changes.length) : 1;
}

/** Creates an empty list of records that starts at an offset. */
export function createRecentRecords(startOffset: number): RecentRecords {
    let records: LogRecord[] = [];
    let firstOffset = startOffset;
    let changes = 0;
    return {
        add(record) {
            records.push(record);
            changes += countChanges(record);
            while (records.length > 1 && (records.length > maxRecords || changes > maxChanges)) {
                const oldest = records.shift()!;
                changes -= countChanges(oldest);
                firstOffset = oldest.offset + 1;
            }
        },
        restart(offset) {
            records = [];
            changes = 0;
            firstOffset = offset;
        },
        from(offset, limit) {
            return offset < firstOffset ? [] : records.slice(offset - firstOffset, offset - firstOffset + limit);
        },
        get firstOffset() {
            return firstOffset;
        },
    };
}
