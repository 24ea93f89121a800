import { PlatformFailure } from "@trefoilladder/platform";
import type { LogClient, LogRecord } from "@trefoilladder/platform";
import { err, ok } from "neverthrow";

/** In-memory log that simulates the faults of the platform's log. */
export interface MemoryLog extends LogClient {
    readonly streams: Map<string, LogRecord[]>;
    /** Expires the records below an offset. */
    expire(stream: string, firstOffset: number): void;
    /** While true, every call fails. */
    unavailable: boolean;
    /** Number of following appends that take effect but whose response is lost. */
    lostResponseCount: number;
}

/** Creates an empty log. */
export function createMemoryLog(): MemoryLog {
    const streams = new Map<string, LogRecord[]>();
    const firstOffsets = new Map<string, number>();
    const recordsOf = (stream: string) => {
        const records = streams.get(stream) ?? [];
        streams.set(stream, records);
        return records;
    };
    const createUnreachableError = () => err(new PlatformFailure("platform_unreachable", "the log is unreachable"));
    const log: MemoryLog = {
        streams,
        unavailable: false,
        lostResponseCount: 0,
        expire: (stream, firstOffset) => void firstOffsets.set(stream, firstOffset),
        async append(stream, value) {
            if (log.unavailable) {
                return createUnreachableError();
            }
            const records = recordsOf(stream);
            records.push({ offset: records.length, value: JSON.parse(JSON.stringify(value)) });
            if (log.lostResponseCount > 0) {
                log.lostResponseCount--;
                return createUnreachableError();
            }
            return ok(records.length - 1);
        },
        async read(stream, from, options = {}) {
            const records = recordsOf(stream);
            const firstOffset = firstOffsets.get(stream) ?? 0;
            if (from >= records.length && (options.waitMs ?? 0) > 0) {
                await new Promise(resolve => setTimeout(resolve, 10));
            }
            if (log.unavailable) {
                return createUnreachableError();
            }
            if (from < firstOffset) {
                return err(new PlatformFailure("platform_records_expired", "the offset is past retention"));
            }
            return ok({
                firstOffset,
                endOffset: records.length,
                records: records.slice(from, from + (options.limit ?? 500)),
            });
        },
        async offsetRange(stream) {
            return log.unavailable
                ? createUnreachableError()
                : ok({ firstOffset: firstOffsets.get(stream) ?? 0, endOffset: recordsOf(stream).length });
        },
        close: async () => undefined,
    };
    return log;
}
