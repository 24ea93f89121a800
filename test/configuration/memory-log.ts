import { PlatformFailure } from "@trefoilladder/platform";
import type { LogClient, LogRecord } from "@trefoilladder/platform";
import { err, ok } from "neverthrow";

/** Log in memory with the faults of the platform's log. */
export interface MemoryLog extends LogClient {
    readonly streams: Map<string, LogRecord[]>;
    /** Drops the records below an offset. */
    expire(stream: string, firstOffset: number): void;
    /** While true, every call fails. */
    away: boolean;
    /** Number of appends whose response is lost after they took effect. */
    loseResponses: number;
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
    const unreachable = () => err(new PlatformFailure("platform_unreachable", "the log is away"));
    const log: MemoryLog = {
        streams,
        away: false,
        loseResponses: 0,
        expire: (stream, firstOffset) => void firstOffsets.set(stream, firstOffset),
        async append(stream, value) {
            if (log.away) {
                return unreachable();
            }
            const records = recordsOf(stream);
            records.push({ offset: records.length, value: JSON.parse(JSON.stringify(value)) });
            if (log.loseResponses > 0) {
                log.loseResponses--;
                return unreachable();
            }
            return ok(records.length - 1);
        },
        async read(stream, from, options = {}) {
            const records = recordsOf(stream);
            const firstOffset = firstOffsets.get(stream) ?? 0;
            if (from >= records.length && (options.waitMs ?? 0) > 0) {
                await new Promise(resolve => setTimeout(resolve, 10));
            }
            if (log.away) {
                return unreachable();
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
            return log.away
                ? unreachable()
                : ok({ firstOffset: firstOffsets.get(stream) ?? 0, endOffset: recordsOf(stream).length });
        },
        close: async () => undefined,
    };
    return log;
}
