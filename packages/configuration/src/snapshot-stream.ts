import type { Clock } from "@trefoilladder/clock";
import type { LogClient, PlatformFailure } from "@trefoilladder/platform";
import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";
import type { Configuration, ConfigurationContent } from "./configuration";
import {
    joinSnapshot,
    parseSnapshot,
    renderSnapshotAsync,
    SnapshotFailure,
    snapshotRecordSchema,
    splitSnapshot,
} from "./snapshot";
import type { SnapshotChunk, SnapshotEnd } from "./snapshot";

/** Name of the stream that holds the snapshots. */
export const snapshotStream = "snapshots";

// One read returns up to 4 MiB of chunks.
const recordsPerRead = 16;
const maxAppendAttempts = 3;
const appendRetryMs = 200;

/** Newest complete snapshot, if any, and the end offset of the stream at the time of the search. */
export interface NewestSnapshot {
    end: SnapshotEnd | undefined;
    streamEndOffset: number;
}

/** Finds the newest complete snapshot whose chunks are all retained; reads the stream backwards from its end. */
export async function findNewestSnapshot(
    log: LogClient,
    signal?: AbortSignal,
): Promise<Result<NewestSnapshot, PlatformFailure>> {
    const bounds = await log.offsetRange(snapshotStream, signal);
    if (bounds.isErr()) {
        return err(bounds.error);
    }
    const { firstOffset, endOffset } = bounds.value;
    // The end marker is usually the last record, so the first read requests one record only.
    for (let to = endOffset, batch = 1; to > firstOffset; batch = recordsPerRead) {
        const from = Math.max(firstOffset, to - batch);
        const page = await log.read(snapshotStream, from, { limit: to - from, signal });
        if (page.isErr()) {
            return err(page.error);
        }
        for (const record of page.value.records.toReversed()) {
            const parsed = snapshotRecordSchema.safeParse(record.value);
            if (parsed.success && parsed.data.kind === "end" && parsed.data.firstChunkOffset >= firstOffset) {
                return ok({ end: parsed.data, streamEndOffset: endOffset });
            }
        }
        to = from;
    }
    return ok({ end: undefined, streamEndOffset: endOffset });
}

/** Reads the chunks of a snapshot; fails with `snapshot_unavailable`, `snapshot_missing` or `snapshot_corrupt`. */
export async function readSnapshot(
    log: LogClient,
    end: SnapshotEnd,
    signal?: AbortSignal,
): Promise<Result<ConfigurationContent, SnapshotFailure>> {
    const chunks: SnapshotChunk[] = [];
    for (let from = end.firstChunkOffset;;) {
        const page = await log.read(snapshotStream, from, { limit: recordsPerRead, signal });
        if (page.isErr()) {
            return err(
                new SnapshotFailure("snapshot_unavailable", "cannot read a chunk of the snapshot", {
                    cause: page.error,
                }),
            );
        }
        for (const { value } of page.value.records) {
            const parsed = snapshotRecordSchema.safeParse(value);
            if (parsed.success && parsed.data.kind === "chunk" && parsed.data.checksum === end.checksum) {
                chunks.push(parsed.data);
            }
        }
        const text = joinSnapshot(end, chunks);
        if (text.isOk() || page.value.records.length === 0) {
            return text.andThen(parseSnapshot);
        }
        from = page.value.records.at(-1)!.offset + 1;
    }
}

/**
 * Appends a snapshot of the configuration as of the call. Retries an append whose response was lost: a duplicate chunk
 * is harmless.
 */
export async function writeSnapshot(
    parts: { log: LogClient; clock: Clock; },
    configuration: Configuration,
    signal?: AbortSignal,
): Promise<Result<SnapshotEnd, PlatformFailure>> {
    const { log, clock } = parts;
    const { appliedOffset } = configuration;
    const chunks = await splitSnapshot(appliedOffset, await renderSnapshotAsync(configuration));

    async function append(value: unknown): Promise<Result<number, PlatformFailure>> {
        for (let attempt = 1;; attempt++) {
            const appended = await log.append(snapshotStream, value);
            if (appended.isOk() || attempt === maxAppendAttempts || signal?.aborted === true) {
                return appended;
            }
            await clock.sleep(appendRetryMs, signal);
        }
    }

    const offsets: number[] = [];
    for (const chunk of chunks) {
        const appended = await append(chunk);
        if (appended.isErr()) {
            return err(appended.error);
        }
        offsets.push(appended.value);
    }
    const end: SnapshotEnd = {
        kind: "end",
        appliedOffset,
        chunkCount: chunks.length,
        checksum: chunks[0]!.checksum,
        firstChunkOffset: offsets[0]!,
    };
    return (await append(end)).map(() => end);
}
