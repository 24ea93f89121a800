import type { LogRecord } from "@trefoilladder/platform";

/** Buffer of the newest records, kept to serve peers. */
export interface RecentRecords {
    /** Appends the record at the next offset. */
    add(record: LogRecord): void;
    /** Discards all records; the next record is at `offset`. */
    reset(offset: number): void;
    /** Returns up to `limit` records starting at an offset, or none when that offset is no longer kept. */
    recordsFrom(offset: number, limit: number): LogRecord[];
    /** Offset of the oldest record kept. */
    readonly firstOffset: number;
}

// A peer that is further behind fetches a snapshot, which is then the smaller transfer.
const maxRecords = 2_000;
// Bounds the memory when single edits contain thousands of changes.
const maxChanges = 20_000;

function countChanges({ value }: LogRecord): number {
    const changes = (value as { changes?: unknown; } | undefined)?.changes;
    return Array.isArray(changes) ? Math.max(1, changes.length) : 1;
}

/** Creates an empty buffer whose first record is at `startOffset`. */
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
        reset(offset) {
            records = [];
            changes = 0;
            firstOffset = offset;
        },
        recordsFrom(offset, limit) {
            return offset < firstOffset ? [] : records.slice(offset - firstOffset, offset - firstOffset + limit);
        },
        get firstOffset() {
            return firstOffset;
        },
    };
}
