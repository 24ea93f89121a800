/**
 * Datagrams that are no text: msgpack arrays whose first element tells their format.
 */

import { decode } from "@msgpack/msgpack";

/** Reads a datagram of one format; undefined for any other, and for one that `read` cannot read or throws on. */
export function decodePacked<T>(
    bytes: Uint8Array,
    format: number,
    read: (fields: readonly unknown[]) => T | undefined,
): T | undefined {
    try {
        const fields: unknown = decode(bytes);
        return Array.isArray(fields) && fields[0] === format ? read(fields) : undefined;
    }
    catch {
        // The receiver counts datagrams of no known kind.
        return undefined;
    }
}
