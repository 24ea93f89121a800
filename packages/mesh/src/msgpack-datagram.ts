/**
 * Binary datagrams: msgpack arrays whose first element is their format.
 */

import { decode } from "@msgpack/msgpack";

/** Decodes a datagram of one format; undefined for any other, and when `read` returns undefined or throws. */
export function decodeMsgpackDatagram<T>(
    bytes: Uint8Array,
    format: number,
    read: (fields: readonly unknown[]) => T | undefined,
): T | undefined {
    try {
        const fields: unknown = decode(bytes);
        return Array.isArray(fields) && fields[0] === format ? read(fields) : undefined;
    }
    catch {
        // The receiver counts datagrams that match no format.
        return undefined;
    }
}
