import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";
import { Agent } from "undici";
import { z } from "zod";
import { callJson } from "./http-json";
import { PlatformFailure } from "./platform-failure";

/** One record of a stream. */
export interface LogRecord {
    offset: number;
    value: unknown;
}

/** Consecutive records of a stream, and the range of offsets that the log retains. */
export interface LogPage {
    /** Offset of the oldest retained record. */
    firstOffset: number;
    /** Offset of the next record to be appended. */
    endOffset: number;
    records: LogRecord[];
}

/** Range of offsets that the log retains of a stream. */
export type OffsetRange = Pick<LogPage, "firstOffset" | "endOffset">;

/** Client of the platform's append-only log service. */
export interface LogClient {
    /**
     * Appends a value and returns its offset. After `platform_unreachable` the append may have taken effect.
     * Fails with `platform_unreachable`, `platform_refused` or `platform_bad_answer`.
     */
    append(stream: string, value: unknown): Promise<Result<number, PlatformFailure>>;
    /**
     * Reads records from an offset and waits up to `waitMs` milliseconds for the first one.
     * Fails with `platform_records_expired` when the record at the offset is no longer retained.
     */
    read(
        stream: string,
        from: number,
        options?: { limit?: number; waitMs?: number; signal?: AbortSignal; },
    ): Promise<Result<LogPage, PlatformFailure>>;
    /** Returns the offset of the oldest retained record and the offset of the next append. */
    offsetRange(stream: string, signal?: AbortSignal): Promise<Result<OffsetRange, PlatformFailure>>;
    close(): Promise<void>;
}

const pageSchema = z.object({
    firstOffset: z.number().int().nonnegative(),
    endOffset: z.number().int().nonnegative(),
    records: z.array(z.object({ offset: z.number().int().nonnegative(), value: z.unknown() })),
});
const appendSchema = z.object({ offset: z.number().int().nonnegative() });

const appendTimeoutMs = 2_000;
const readTimeoutMs = 2_000;

/** Creates a client of the log service at `origin`. */
export function createLogClient(origin: string): LogClient {
    const dispatcher = new Agent({ connections: 8, connect: { timeout: 1_000 } });

    const client: LogClient = {
        async append(stream, value) {
            const path = `/streams/${encodeURIComponent(stream)}/records`;
            const response = await callJson({
                dispatcher,
                origin,
                path,
                method: "POST",
                body: { value },
                timeoutMs: appendTimeoutMs,
            });
            return response.andThen(({ status, body }) => {
                if (status !== 200) {
                    return err(
                        new PlatformFailure("platform_refused", "the log rejected an append", { info: { status } }),
                    );
                }
                const parsed = appendSchema.safeParse(body);
                return parsed.success
                    ? ok(parsed.data.offset)
                    : err(new PlatformFailure("platform_bad_answer", "the log's response to an append has no offset"));
            });
        },
        async read(stream, from, options = {}) {
            const waitMs = options.waitMs ?? 0;
            const path = `/streams/${encodeURIComponent(stream)}/records?from=${from}&limit=${options.limit ?? 500}`
                + `&waitMs=${waitMs}`;
            const response = await callJson({
                dispatcher,
                origin,
                path,
                method: "GET",
                timeoutMs: waitMs + readTimeoutMs,
                signal: options.signal,
            });
            return response.andThen(({ status, body }) => {
                if (status === 410) {
                    return err(new PlatformFailure("platform_records_expired", "the offset is past retention"));
                }
                if (status !== 200) {
                    return err(
                        new PlatformFailure("platform_refused", "the log rejected a read", { info: { status } }),
                    );
                }
                const parsed = pageSchema.safeParse(body);
                return parsed.success
                    ? ok(parsed.data as LogPage)
                    : err(new PlatformFailure("platform_bad_answer", "the log returned a malformed page"));
            });
        },
        async offsetRange(stream, signal) {
            // No record has an offset this high, so the page is empty and the read never fails as expired.
            const page = await client.read(stream, Number.MAX_SAFE_INTEGER, { limit: 1, signal });
            return page.map(({ firstOffset, endOffset }) => ({ firstOffset, endOffset }));
        },
        close: () => dispatcher.destroy(),
    };
    return client;
}
