import type { Clock } from "@trefoilladder/clock";
import type { LogClient, PlatformFailure } from "@trefoilladder/platform";
import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";
import type { Configuration, ConfigurationContent } from "./configuration";
import {
    joinSnapshot,
    parseSnapshot,
    renderSnapshotInTurns,
    SnapshotFailure,
    snapshotRecordSchema,
    splitSnapshot,
} from "./snapshot";
import type { SnapshotChunk, SnapshotEnd } from "./snapshot";

/** Stream that holds the snapshots. */
export const snapshotStream = "snapshots";

// Up to 4 MiB of chunks in one read.
const readBatch = 16;
const appendAttempts = 3;
const appendRetryMs = 200;

/** The newest complete snapshot, and the end of the stream in which it was found. */
export interface SnapshotTail {
    end: SnapshotEnd | undefined;
    streamEndOffset: number;
}

/** Finds the newest complete snapshot whose chunks are still kept, reading backwards from the end of the stream. */
export async function findNewestSnapshot(
    log: LogClient,
    signal?: AbortSignal,
): Promise<Result<SnapshotTail, PlatformFailure>> {
    const bounds = await log.offsetRange(snapshotStream, signal);
    if (bounds.isErr()) {
        return err(bounds.error);
    }
    const { firstOffset, endOffset } = bounds.value;
    // The end mark is usually the last record, so the first read asks for it alone.
    for (let to = endOffset, batch = 1; to > firstOffset; batch = readBatch) {
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
        const page = await log.read(snapshotStream, from, { limit: readBatch, signal });
        if (page.isErr()) {
            return err(new SnapshotFailure("snapshot_unavailable", "cannot read a chunk", { cause: page.error }));
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
 * Appends a snapshot of the configuration as it is at the call. An append whose response was lost is repeated: a
 * duplicate chunk is harmless.
 */
export async function writeSnapshot(
    parts: { log: LogClient; clock: Clock; },
    configuration: Configuration,
    signal?: AbortSignal,
): Promise<Result<SnapshotEnd, PlatformFailure>> {
    const { log, clock } = parts;
    const { appliedOffset } = configuration;
    const chunks = await splitSnapshot(appliedOffset, await renderSnapshotInTurns(configuration));

    async function append(value: unknown): Promise<Result<number, PlatformFailure>> {
        for (let attempt = 1;; attempt++) {
            const appended = await log.append(snapshotStream, value);
            if (appended.isOk() || attempt === appendAttempts || signal?.aborted === true) {
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
