/**
 * Reading of a request's body into a block of its own. Parsed chunks are not queued as they are, since each takes hundreds of bytes
 * beside its content, and a body may consist of chunks of one byte.
 */

import type { IncomingMessage } from "node:http";
import { createBodyBuffer } from "./body-buffer";
import type { ChunkPacer } from "./chunk-pacing";
import { memoryUse } from "./memory-budget";
import type { MemoryHolder } from "./memory-budget";

/** Receives what happens to a body. */
export interface BodyListener {
    /** Called when bytes have arrived. */
    data(): void;
    /** Called once when the body is complete, or when its connection has closed before. */
    ended(complete: boolean): void;
}

/** The body of a request that is being received. */
export interface BodySource {
    /** Sets the listener; it is called at once for what has happened before. */
    listen(listener: BodyListener | undefined): void;
    /** Bytes received and not taken yet. */
    readonly size: number;
    /** Bytes received in all. */
    readonly receivedBytes: number;
    /** Returns the bytes that have not been taken yet. */
    take(): Buffer;
    /** Reads no further bytes from the connection until `release`. */
    hold(): void;
    release(): void;
    /** Discards what has been received and what follows. */
    discard(): void;
}

/** Returns whether a request has a body, which may still be received. */
export function hasBody({ rawHeaders }: Pick<IncomingMessage, "rawHeaders">): boolean {
    for (let index = 0; index < rawHeaders.length; index += 2) {
        const name = rawHeaders[index]!.toLowerCase();
        if (name === "transfer-encoding" || name === "content-length" && Number(rawHeaders[index + 1]) > 0) {
            return true;
        }
    }
    return false;
}

/** Starts to read a body. */
export function createBodySource(
    incoming: IncomingMessage,
    { memory, pacer, paced }: {
        memory: Pick<MemoryHolder, "add" | "progress">;
        pacer: ChunkPacer;
        /** Called when the rest of the body has to wait for the first time. */
        paced(): void;
    },
): BodySource {
    let received = createBodyBuffer();
    let receivedBytes = 0;
    let listener: BodyListener | undefined;
    let ending: { complete: boolean; } | undefined;
    let isHeld = false;
    let isDiscarded = false;
    let paceTimer: NodeJS.Timeout | undefined;
    let wasPaced = false;

    // The stream resumes its connection whenever it has passed a chunk on, also while the connection is paused.
    const readOn = incoming._read.bind(incoming);
    const isStopped = () => isHeld || paceTimer !== undefined;
    incoming._read = size => {
        if (!isStopped()) {
            readOn(size);
        }
    };

    function resumeUnlessStopped(): void {
        if (isStopped()) {
            return;
        }
        if (ending === undefined) {
            readOn(0);
        }
        else {
            // The connection may have been paused in the read that held the end of the body; the next request follows on it.
            incoming.socket.resume();
        }
    }

    function paceNext(chunkBytes: number): void {
        pacer.count(chunkBytes);
        const delayMs = paceTimer === undefined ? pacer.delayMs() : 0;
        if (delayMs > 0) {
            if (!wasPaced) {
                wasPaced = true;
                paced();
            }
            paceTimer = setTimeout(() => {
                paceTimer = undefined;
                resumeUnlessStopped();
            }, delayMs);
        }
        if (paceTimer !== undefined) {
            incoming.socket.pause();
        }
    }

    /** Begins a new block of memory, so that the bytes received before are no longer held here. */
    function startBlock(): void {
        memory.add(memoryUse.body, -received.capacity);
        received = createBodyBuffer();
    }

    function end(complete: boolean): void {
        if (ending === undefined) {
            ending = { complete };
            listener?.ended(complete);
        }
    }

    incoming.on("data", (chunk: Buffer) => {
        receivedBytes += chunk.length;
        memory.progress(chunk.length);
        if (!isDiscarded) {
            const before = received.capacity;
            received.add(chunk);
            memory.add(memoryUse.body, received.capacity - before);
            listener?.data();
        }
        paceNext(chunk.length);
        if (isHeld) {
            incoming.socket.pause();
        }
    });
    incoming.on("end", () => end(true));
    incoming.on("close", () => end(incoming.complete));
    incoming.on("error", () => end(false));

    return {
        listen(next) {
            listener = next;
            if (received.size > 0) {
                listener?.data();
            }
            if (ending !== undefined) {
                listener?.ended(ending.complete);
            }
        },
        get size() {
            return received.size;
        },
        get receivedBytes() {
            return receivedBytes;
        },
        take() {
            const bytes = received.bytes();
            startBlock();
            return bytes;
        },
        hold() {
            isHeld = true;
            incoming.socket.pause();
        },
        release() {
            if (isHeld) {
                isHeld = false;
                resumeUnlessStopped();
            }
        },
        discard() {
            isDiscarded = true;
            listener = undefined;
            startBlock();
            this.release();
        },
    };
}
