import { Failure } from "@trefoilladder/failures";
import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";
import { createHash } from "node:crypto";
import { setImmediate } from "node:timers/promises";
import { z } from "zod";
import type { Configuration, ConfigurationContent } from "./configuration";

/** Failure to read or write a snapshot. */
export class SnapshotFailure extends Failure<"snapshot_missing" | "snapshot_corrupt" | "snapshot_unavailable"> {}

/** Largest chunk of a snapshot as it is appended, in bytes of JSON. */
export const maxSnapshotChunkBytes = 256 * 1024;

// Leaves room for the fields around the text of a chunk.
const maxChunkTextBytes = maxSnapshotChunkBytes - 512;
const snapshotVersion = 1;
// A plan has many routes. Other values take about 200 bytes.
const plansPerPiece = 4;

const chunkSchema = z.object({
    kind: z.literal("chunk"),
    appliedOffset: z.number().int().nonnegative(),
    index: z.number().int().nonnegative(),
    /** SHA-256 of the whole text. */
    checksum: z.string(),
    text: z.string(),
});

const endSchema = z.object({
    kind: z.literal("end"),
    appliedOffset: z.number().int().nonnegative(),
    chunkCount: z.number().int().positive(),
    checksum: z.string(),
    /** Offset in the stream of the first chunk. */
    firstChunkOffset: z.number().int().nonnegative(),
});

/** Schema of a record of the `snapshots` stream: a chunk, or the mark that every chunk was appended. */
export const snapshotRecordSchema = z.discriminatedUnion("kind", [chunkSchema, endSchema]);

/** A chunk of a snapshot. */
export type SnapshotChunk = z.infer<typeof chunkSchema>;
/** Mark that every chunk of a snapshot was appended before it. */
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
 * Renders the configuration as it is at the first step, piece by piece, so that a caller can let other work run between
 * the pieces. The text is a function of the applied offset alone: the order of the maps follows from the records, and a
 * configuration read from a snapshot keeps it.
 */
export function* renderSnapshotPieces(configuration: Configuration): Generator<string> {
    // Entities are replaced and never changed, so copies of the lists are enough.
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

/** Renders the configuration at once. */
export function renderSnapshot(configuration: Configuration): string {
    return [...renderSnapshotPieces(configuration)].join("");
}

/** Renders the configuration as it is at the call, and lets other work run between the pieces. */
export async function renderSnapshotInTurns(configuration: Configuration): Promise<string[]> {
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
    // The entries were checked when their edits were folded; checking 340,000 again would delay every start.
    plans: z.array(z.any()),
    organisations: z.array(z.any()),
    keys: z.array(z.any()),
    verdicts: z.array(z.any()),
});

/** Reads a rendered configuration; fails with `snapshot_corrupt`. */
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
        : err(new SnapshotFailure("snapshot_corrupt", "the snapshot lacks a part or has another version"));
}

function checksumOf(text: string): string {
    return createHash("sha256").update(text).digest("hex");
}

function encodedBytes(text: string): number {
    return Buffer.byteLength(JSON.stringify(text));
}

/** Splits a rendered configuration into chunks whose JSON is at most 256 KiB; other work runs between the pieces. */
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

/** Joins the chunks that belong to an end mark; fails with `snapshot_missing` or `snapshot_corrupt`. */
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
