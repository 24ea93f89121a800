/** Body in one block of memory; parts that are added may be views of much larger buffers and are not kept. */
export interface BodyBuffer {
    add(chunk: Buffer): void;
    readonly size: number;
    /** Bytes of the block. */
    readonly capacity: number;
    /** Returns the bytes added so far; later additions do not change them. */
    bytes(): Buffer;
}

/** Capacity in bytes after the first part; a larger first part determines it. */
const minCapacity = 1_024;

/** Creates an empty buffer. */
export function createBodyBuffer(): BodyBuffer {
    let block = Buffer.alloc(0);
    let size = 0;

    function reserve(capacity: number): void {
        if (capacity > block.length) {
            const larger = Buffer.allocUnsafeSlow(Math.max(capacity, 2 * block.length, minCapacity));
            block.copy(larger, 0, 0, size);
            block = larger;
        }
    }

    return {
        add(chunk) {
            reserve(size + chunk.length);
            chunk.copy(block, size);
            size += chunk.length;
        },
        get size() {
            return size;
        },
        get capacity() {
            return block.length;
        },
        bytes: () => block.subarray(0, size),
    };
}
