/**
 * Pacing of bodies in very small chunks.
 *
 * Load pattern: bodies in chunks of a byte or so, whose parsing takes thousands of times the processor time of their bytes, so
 * that a few clients keep the process from everything else. Such bodies are read at a bounded rate of chunks in the whole process.
 */

import { createRatePacer } from "./rate-pacing";

/** Pace of small chunks in the whole process. */
export interface ChunkPacer {
    /** Counts a chunk. */
    count(bytes: number): void;
    /** Returns the time in milliseconds until the next chunks may be read. */
    delayMs(): number;
}

/** Chunks from this size on are not counted; the rate of a link bounds their number. */
const smallChunkBytes = 64;
/** Rate of small chunks in the long run, about a seventh of a processor. */
const chunksPerMs = 50;
/** Small chunks that are read without a delay: those of one large body in pieces of a few bytes. */
const burstChunks = 20_000;

/** Creates a pacer that has counted nothing. */
export function createChunkPacer(now: () => number): ChunkPacer {
    const pacer = createRatePacer(now, { perMs: chunksPerMs, burst: burstChunks });
    return {
        count(bytes) {
            if (bytes < smallChunkBytes) {
                pacer.count(1);
            }
        },
        delayMs: pacer.delayMs,
    };
}
