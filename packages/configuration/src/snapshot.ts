import { Failure } from "@trefoilladder/failures";
import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";
import { createHash } from "node:crypto";
import { setImmediate } from "node:timers/promises";
import { z } from "zod";
import type { Configuration, ConfigurationContent } from "./configuration";

/** Failure to read or write a snapshot. */
export class SnapshotFailure extends Failure<"snapshot_missing" | "snapshot_corrupt" | "snapshot_unavailable"> {}

/** Maximum size of an appended snapshot chunk in bytes of JSON. */
export const maxSnapshotChunkBytes = 256 * 1024;

// Leaves room for the other fields of a chunk.
const maxChunkTextBytes = maxSnapshotChunkBytes - 512;
const snapshotVersion = 1;
// A plan contains many routes; the other entities take about 200 bytes each.
const plansPerPiece = 4;

const chunkSchema = z.object({
    kind: z.literal("chunk"),
    appliedOffset: z.number().int().nonnegative(),
    index: z.number().int().nonnegative(),
    /** SHA-256 of the text of the whole snapshot, in hexadecimal. */
    checksum: z.string(),
    text: z.string(),
});

const endSchema = z.object({
    kind: z.literal("end"),
    appliedOffset: z.number().int().nonnegative(),
    chunkCount: z.number().int().positive(),
    checksum: z.string(),
    /** Offset of the first chunk in the stream. */
    firstChunkOffset: z.number().int().nonnegative(),
});

/** Schema of a record of the `snapshots` stream: a chunk, or the end marker after the last chunk. */
export const snapshotRecordSchema = z.discriminatedUnion("kind", [chunkSchema, endSchema]);

/** A chunk of a snapshot. */
export type SnapshotChunk = z.infer<typeof chunkSchema>;
/** End marker: every chunk of the snapshot was appended before it. */
export type SnapshotEnd = z.infer<typeof endSchema>;

function* renderArray(name: string, values: readonly unknown[], valuesPerPiece = 250): Generator<string> {
    yield `,"${name}":[`;
    for (let index = 0; index < values.length; index += valuesPerPiece) {
        const part = JSON.stringify(values.slice(index, index + valuesPerPiece)).slice(1, -1);
        yield index === 0 ? part : `,${part}`;
    }
    yield "]";
}

/**
 * Renders the configuration, as of the first call of `next`, in pieces, so that a caller can yield to the event loop
 * between them. The text depends on the applied offset alone: the records determine the order of the maps, and a
 * configuration restored from a snapshot keeps that order.
 */
export function* renderSnapshotPieces(configuration: Configuration): Generator<string> {
    // Entities are never mutated, only replaced, so shallow copies are a consistent state.
    const plans = [...configuration.plans.values()];
    const organisations = [...configuration.organisations.values()];
    const keys = [...configuration.keys.values()];
    const verdicts = [...configuration.verdicts];
    yield `{"version":${snapshotVersion},"appliedOffset":${configuration.appliedOffset}`;
    yield* renderArray("plans", plans, plansPerPiece);
    yield* renderArray("organisations", organisations);
    yield* renderArray("keys", keys);
    yield* renderArray("verdicts", verdicts);
    yield "}";
}

/** Renders the configuration synchronously. */
export function renderSnapshot(configuration: Configuration): string {
    return [...renderSnapshotPieces(configuration)].join("");
}

/** Renders the configuration as of the call; yields to the event loop between the pieces. */
export async function renderSnapshotAsync(configuration: Configuration): Promise<string[]> {
    const pieces: string[] = [];
    for (const piece of renderSnapshotPieces(configuration)) {
        pieces.push(piece);
        await setImmediate();
    }
    return pieces;
}

const contentSchema = z.looseObject({
    version: z.literal(snapshotVersion),
    appliedOffset: z.number().int().nonnegative(),
    // The entries were validated when their edits were applied; validating 340,000 again would delay every start.
    plans: z.array(z.any()),
    organisations: z.array(z.any()),
    keys: z.array(z.any()),
    verdicts: z.array(z.any()),
});

/** Parses a rendered configuration; fails with `snapshot_corrupt`. */
export function parseSnapshot(text: string): Result<ConfigurationContent, SnapshotFailure> {
    let value: unknown;
    try {
        value = JSON.parse(text);
    }
    catch {
        return err(new SnapshotFailure("snapshot_corrupt", "the snapshot is not JSON"));
    }
    const parsed = contentSchema.safeParse(value);
    return parsed.success
        ? ok(parsed.data as unknown as ConfigurationContent)
        : err(new SnapshotFailure("snapshot_corrupt", "the snapshot lacks a field, or its version is not supported"));
}

function checksumOf(text: string): string {
    return createHash("sha256").update(text).digest("hex");
}

function encodedBytes(text: string): number {
    return Buffer.byteLength(JSON.stringify(text));
}

/** Splits a rendered configuration into chunks of at most 256 KiB of JSON; yields to the event loop between pieces. */
export async function splitSnapshot(appliedOffset: number, pieces: Iterable<string>): Promise<SnapshotChunk[]> {
    const hash = createHash("sha256");
    const texts: string[] = [];
    let pending = "";
    for (const piece of pieces) {
        hash.update(piece);
        pending += piece;
        while (encodedBytes(pending) > maxChunkTextBytes) {
            let length = Math.min(pending.length, maxChunkTextBytes);
            while (encodedBytes(pending.slice(0, length)) > maxChunkTextBytes) {
                length = Math.floor(length * 0.9);
            }
            texts.push(pending.slice(0, length));
            pending = pending.slice(length);
        }
        await setImmediate();
    }
    texts.push(pending);
    const checksum = hash.digest("hex");
    return texts.map((text, index) => ({ kind: "chunk", appliedOffset, index, checksum, text }));
}

/** Joins the chunks of the snapshot with this end marker; fails with `snapshot_missing` or `snapshot_corrupt`. */
export function joinSnapshot(end: SnapshotEnd, chunks: Iterable<SnapshotChunk>): Result<string, SnapshotFailure> {
    const texts = new Map<number, string>();
    for (const chunk of chunks) {
        if (chunk.appliedOffset === end.appliedOffset && chunk.checksum === end.checksum) {
            texts.set(chunk.index, chunk.text);
        }
    }
    const ordered = Array.from({ length: end.chunkCount }, (_, index) => texts.get(index));
    if (ordered.includes(undefined)) {
        return err(new SnapshotFailure("snapshot_missing", "a chunk of the snapshot is missing"));
    }
    const text = ordered.join("");
    return checksumOf(text) === end.checksum
        ? ok(text)
        : err(new SnapshotFailure("snapshot_corrupt", "the checksum of the snapshot does not match"));
}
