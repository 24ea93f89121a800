/**
 * Datagrams in which an instance forwards records of a stream that it has read from the store.
 */

import { decode, encode } from "@msgpack/msgpack";
import { deflateRawSync, inflateRawSync } from "node:zlib";
import { decodeMsgpackDatagram } from "./msgpack-datagram";

/** Records of a stream that an instance has read from the store. */
export interface PushedRecords {
    stream: string;
    /** Offset of the first record, and the offset after the last one. */
    from: number;
    nextOffset: number;
    records: RecordRow[];
    /** Era of the store to which the offsets belong; -1 when it is unknown to the sender. */
    era: number;
}

/** A record as encoded; a null value means that the key was deleted. */
export type RecordRow = [key: string, value: Uint8Array | null];

/** Format, the first element of each datagram. Digests are text and begin with a different byte. */
const recordsFormat = 102;
/** Maximum length of a datagram in bytes; a longer one would need more IP fragments and be lost more often. */
const maxDatagramBytes = 8_000;
/** Maximum size of decompressed records in bytes, so that a malformed datagram cannot exhaust the memory. */
const maxRecordsBytes = 2_000_000;

/** Encodes records; undefined when they do not fit in a datagram. */
export function encodePushedRecords({ stream, from, nextOffset, records, era }: PushedRecords): Buffer | undefined {
    const bytes = encode([recordsFormat, stream, from, nextOffset, deflateRawSync(encode(records)), era]);
    return bytes.length > maxDatagramBytes ? undefined : Buffer.from(bytes);
}

/** Decodes a datagram; undefined when it does not hold records. */
export function decodePushedRecords(bytes: Uint8Array): PushedRecords | undefined {
    return decodeMsgpackDatagram(bytes, recordsFormat, readPushedRecords);
}

function readPushedRecords(fields: readonly unknown[]): PushedRecords | undefined {
    // The era is absent in datagrams from instances of earlier versions.
    const [, stream, from, nextOffset, deflated, era = -1] = fields;
    const isValid = typeof stream === "string" && Number.isInteger(from) && Number.isInteger(nextOffset)
        && Number.isSafeInteger(era) && deflated instanceof Uint8Array;
    if (!isValid) {
        return undefined;
    }
    const records = decode(inflateRawSync(deflated, { maxOutputLength: maxRecordsBytes }));
    return Array.isArray(records) && records.every(isRecordRow)
        ? { stream, from: from as number, nextOffset: nextOffset as number, records, era: era as number }
        : undefined;
}

/** Returns whether a decoded value is a record. */
export function isRecordRow(row: unknown): row is RecordRow {
    return Array.isArray(row) && typeof row[0] === "string" && (row[1] === null || row[1] instanceof Uint8Array);
}
