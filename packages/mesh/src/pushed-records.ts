/**
 * Datagrams in which an instance hands records of a stream on, as it has read them from the store.
 */

import { decode, encode } from "@msgpack/msgpack";
import { deflateRawSync, inflateRawSync } from "node:zlib";
import { decodePacked } from "./packed-datagram";

/** Records of a stream that an instance has read from the store. */
export interface PushedRecords {
    stream: string;
    /** Offsets at which the records begin and end. */
    from: number;
    nextOffset: number;
    records: RecordRow[];
}

/** A record as it is sent; without a value the key was dropped. */
export type RecordRow = [key: string, value: Uint8Array | null];

/** First element of each datagram. Digests begin with another byte, since they are text. */
const recordsFormat = 102;
/** Longest datagram in bytes; a longer one would be sent in more fragments, which are lost more often. */
const maxDatagramBytes = 8_000;
/** Largest size of decoded records in bytes, so that a malformed datagram cannot fill the memory. */
const maxRecordsBytes = 2_000_000;

/** Encodes records; undefined when they are too many for a datagram. */
export function encodePushedRecords({ stream, from, nextOffset, records }: PushedRecords): Buffer | undefined {
    const bytes = encode([recordsFormat, stream, from, nextOffset, deflateRawSync(encode(records))]);
    return bytes.length > maxDatagramBytes ? undefined : Buffer.from(bytes);
}

/** Decodes a datagram of records; undefined when it is none. */
export function decodePushedRecords(bytes: Uint8Array): PushedRecords | undefined {
    return decodePacked(bytes, recordsFormat, readPushedRecords);
}

function readPushedRecords([, stream, from, nextOffset, deflated]: readonly unknown[]): PushedRecords | undefined {
    const isValid = typeof stream === "string" && Number.isInteger(from) && Number.isInteger(nextOffset)
        && deflated instanceof Uint8Array;
    if (!isValid) {
        return undefined;
    }
    const records = decode(inflateRawSync(deflated, { maxOutputLength: maxRecordsBytes }));
    return Array.isArray(records) && records.every(isRecordRow)
        ? { stream, from: from as number, nextOffset: nextOffset as number, records }
        : undefined;
}

/** Tells whether a decoded value is a record as it is sent. */
export function isRecordRow(row: unknown): row is RecordRow {
    return Array.isArray(row) && typeof row[0] === "string" && (row[1] === null || row[1] instanceof Uint8Array);
}
