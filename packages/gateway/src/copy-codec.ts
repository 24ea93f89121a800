/**
 * Encoding of the compressed stream copies that instances exchange.
 */

import { decode, encode } from "@msgpack/msgpack";
import { isRecordRow } from "@trefoilladder/mesh";
import type { KeyedRecord } from "@trefoilladder/replication";
import { deflateRawSync, inflateRawSync } from "node:zlib";
import { toRecord, toRow } from "./record-rows";

/** The newest records of a stream as one instance holds them. */
export interface StreamCopy {
    nextOffset: number;
    records: KeyedRecord[];
}

/** Maximum size of a decoded copy in bytes, so that a malformed one cannot exhaust the memory. */
const maxDecodedBytes = 32 * 1024 * 1024;

/** Encodes a copy as deflated MessagePack. */
export function encodeCopy({ nextOffset, records }: StreamCopy): Buffer {
    return deflateRawSync(encode([nextOffset, records.map(toRow)]));
}

/** Decodes a copy; undefined when the bytes are malformed. */
export function decodeCopy(bytes: Buffer): StreamCopy | undefined {
    try {
        const [nextOffset, rows] = decode(inflateRawSync(bytes, { maxOutputLength: maxDecodedBytes })) as unknown[];
        return Number.isInteger(nextOffset) && Array.isArray(rows) && rows.every(isRecordRow)
            ? { nextOffset: nextOffset as number, records: rows.map(toRecord) }
            : undefined;
    }
    catch {
        // The calling function logs a copy that cannot be decoded.
        return undefined;
    }
}
