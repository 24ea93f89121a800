/**
 * Reading of the small chunks of a body that lie completely within one read.
 *
 * Load pattern: bodies in chunks of a byte. The parser library makes two strings and a buffer for each chunk, which takes seconds of
 * processor time for a body of some hundred kilobytes.
 */

/** Small chunks that were read. */
export interface SmallChunks {
    /** Their contents together. */
    body: Buffer;
    /** Offset behind the last of them. */
    offset: number;
}

/** Largest content in bytes of a chunk that is copied; its size has one or two digits. */
const maxSmallChunkBytes = 0xff;
const carriageReturn = 0x0d;
const lineFeed = 0x0a;

/** Returns the value of a hexadecimal digit; -1 for another byte. */
function digitValue(byte: number): number {
    if (byte >= 0x30 && byte <= 0x39) {
        return byte - 0x30;
    }
    const lower = byte | 0x20;
    return lower >= 0x61 && lower <= 0x66 ? lower - 0x57 : -1;
}

function isLineEnd(bytes: Buffer, offset: number): boolean {
    return bytes[offset] === carriageReturn && bytes[offset + 1] === lineFeed;
}

/**
 * Reads small chunks from the begin of a chunk's size on, up to the first that is large, incomplete, the last one or written in
 * another way; returns undefined if that is the first.
 */
export function readSmallChunks(bytes: Buffer, start: number, end: number): SmallChunks | undefined {
    let body: Buffer | undefined;
    let size = 0;
    let offset = start;
    for (;;) {
        const first = digitValue(bytes[offset]!);
        const second = digitValue(bytes[offset + 1]!);
        const length = second < 0 ? first : 16 * first + second;
        const dataAt = offset + (second < 0 ? 1 : 2) + 2;
        const next = dataAt + length + 2;
        const isSmall = first >= 0 && length > 0 && length <= maxSmallChunkBytes && next <= end;
        if (!isSmall || !isLineEnd(bytes, dataAt - 2) || !isLineEnd(bytes, next - 2)) {
            return body === undefined ? undefined : { body: body.subarray(0, size), offset };
        }
        body ??= Buffer.allocUnsafeSlow(end - start);
        size += bytes.copy(body, size, dataAt, dataAt + length);
        offset = next;
    }
}
