/**
 * Datagrams in which a relay forwards several digests.
 */

import { encode } from "@msgpack/msgpack";
import { deflateRawSync, inflateRawSync } from "node:zlib";
import { readDigest } from "./digest";
import type { Digest } from "./digest";
import { decodeMsgpackDatagram } from "./msgpack-datagram";

/** Digests that are forwarded in one datagram. */
export interface Bundle {
    /** Whether the receiver forwards the digests to its failure domain. */
    forward: boolean;
    /** Encoded digests as received, separated by commas. */
    text: string;
    digests: Digest[];
    /** Number of entries that are not digests in a supported format. */
    malformedCount: number;
}

/** Format, the first element of each datagram. Single digests are text and begin with a different byte. */
const bundleFormat = 103;
/** Maximum length of the text in a datagram, in bytes before compression; digests compress to a third or less. */
const maxTextBytes = 16_000;
/** Maximum size of a decompressed text in bytes, so that a malformed datagram cannot exhaust the memory. */
const maxInflatedBytes = 1_000_000;

/** Groups texts so that each group fits in a datagram; a text above the limit forms a group of its own. */
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

/** Encodes digests, or texts of several digests, into as few datagrams as possible. */
export function encodeBundles(texts: readonly string[], forward: boolean): Buffer[] {
    return [...groupTexts(texts)].map(text => Buffer.from(encode([bundleFormat, forward, deflateRawSync(text)])));
}

/** Decodes a datagram; undefined when it is not a bundle. */
export function decodeBundle(bytes: Uint8Array): Bundle | undefined {
    return decodeMsgpackDatagram(bytes, bundleFormat, readBundle);
}

function readBundle([, forward, deflated]: readonly unknown[]): Bundle | undefined {
    if (typeof forward !== "boolean" || !(deflated instanceof Uint8Array)) {
        return undefined;
    }
    const text = inflateRawSync(deflated, { maxOutputLength: maxInflatedBytes }).toString();
    const rows = JSON.parse(`[${text}]`) as unknown[];
    const digests = rows.map(readDigest).filter(digest => digest !== undefined);
    return { forward, text, digests, malformedCount: rows.length - digests.length };
}
