/**
 * Encoding of the compressed stream copies that instances exchange.
 */

import { decode, encode } from "@msgpack/msgpack";
import { isRecordRow } from "@trefoilladder/mesh";
import { unknownEra } from "@trefoilladder/replication";
import type { KeyedRecord } from "@trefoilladder/replication";
import { deflateRawSync, inflateRawSync } from "node:zlib";
import { toRecord, toRow } from "./record-rows";

/** The newest records of a stream as one instance holds them. */
export interface StreamCopy {
    nextOffset: number;
    records: KeyedRecord[];
    /** Era of the store to which the offset belongs; -1 while unknown, and from instances of earlier versions. */
    era: number;
}

/** Maximum size of a decoded copy in bytes, so that a malformed one cannot exhaust the memory. */
const maxDecodedBytes = 32 * 1024 * 1024;

/** Encodes a copy as deflated MessagePack. */
export function encodeCopy({ nextOffset, records, era }: StreamCopy): Buffer {
    return deflateRawSync(encode([nextOffset, records.map(toRow), era]));
}

/** Decodes a copy; undefined when the bytes are malformed. */
export function decodeCopy(bytes: Buffer): StreamCopy | undefined {
    try {
        const fields = decode(inflateRawSync(bytes, { maxOutputLength: maxDecodedBytes })) as unknown[];
        const [nextOffset, rows, era = unknownEra] = fields;
        const isValid = Number.isInteger(nextOffset) && Number.isSafeInteger(era);
        return isValid && Array.isArray(rows) && rows.every(isRecordRow)
            ? { nextOffset: nextOffset as number, records: rows.map(toRecord), era: era as number }
            : undefined;
    }
    catch {
        // The calling function logs a copy that cannot be decoded.
        return undefined;
    }
}
