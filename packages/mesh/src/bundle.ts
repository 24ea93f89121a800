/**
 * Datagrams in which a relay sends several digests on.
 */

import { encode } from "@msgpack/msgpack";
import { deflateRawSync, inflateRawSync } from "node:zlib";
import { readDigest } from "./digest";
import type { Digest } from "./digest";
import { decodePacked } from "./packed-datagram";

/** Digests that travel together. */
export interface Bundle {
    /** Whether the receiver passes the digests on to its failure domain. */
    passOn: boolean;
    /** Digests as they were sent, separated by commas. */
    text: string;
    digests: Digest[];
    /** Entries that are no digest of this version. */
    malformed: number;
}

/** First element of each datagram. Digests begin with another byte, since they are text. */
const bundleFormat = 103;
/** Longest text in a datagram in bytes; digests compress to a third or less. */
const maxTextBytes = 16_000;
/** Largest size of a decoded text in bytes, so that a malformed datagram cannot fill the memory. */
const maxInflatedBytes = 1_000_000;

/** Groups texts so that each group fits a datagram; a longer text goes alone. */
function* groupTexts(texts: readonly string[]): Generator<string> {
    let group: string[] = [];
    let size = 0;
    for (const text of texts) {
        if (size > 0 && size + text.length > maxTextBytes) {
            yield group.join(",");
            group = [];
            size = 0;
        }
        group.push(text);
        size += text.length;
    }
    if (size > 0) {
        yield group.join(",");
    }
}

/** Encodes digests, or texts of several digests, into as few datagrams as they need. */
export function encodeBundles(texts: readonly string[], passOn: boolean): Buffer[] {
    return [...groupTexts(texts)].map(text => Buffer.from(encode([bundleFormat, passOn, deflateRawSync(text)])));
}

/** Decodes a datagram; undefined when it is no bundle. */
export function decodeBundle(bytes: Uint8Array): Bundle | undefined {
    return decodePacked(bytes, bundleFormat, readBundle);
}

function readBundle([, passOn, deflated]: readonly unknown[]): Bundle | undefined {
    if (typeof passOn !== "boolean" || !(deflated instanceof Uint8Array)) {
        return undefined;
    }
    const text = inflateRawSync(deflated, { maxOutputLength: maxInflatedBytes }).toString();
    const rows = JSON.parse(`[${text}]`) as unknown[];
    const digests = rows.map(readDigest).filter(digest => digest !== undefined);
    return { passOn, text, digests, malformed: rows.length - digests.length };
}
