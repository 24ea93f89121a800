import { write } from "node:fs";

/** Writes lines to a file descriptor without blocking the event loop. */
export interface LineWriter {
    /** Queues a line; returns false when the queue is full and the line is dropped. */
    write(line: string): boolean;
}

/** Maximum number of bytes that wait for a slow reader. */
const maxQueuedBytes = 256 * 1024;
/** Delay in milliseconds during which lines are collected for one write. */
const flushDelayMs = 20;

/**
 * Creates a writer. Node.js writes to pipes on the event loop, so lines go through the thread pool, one write at a
 * time. A reader that stops reading blocks one thread, and further lines are dropped once the queue is full.
 */
export function createLineWriter(descriptor: number): LineWriter {
    let queuedLines: string[] = [];
    let queuedBytes = 0;
    let writing = false;

    function flush(): void {
        const bytes = Buffer.from(queuedLines.join(""));
        queuedLines = [];
        queuedBytes = 0;
        writeAll(bytes);
    }

    function writeAll(bytes: Buffer): void {
        write(descriptor, bytes, (error, written) => {
            // Errors other than EAGAIN are ignored: there is no other place to report that the log cannot be written.
            if (error === null && written < bytes.length) {
                writeAll(bytes.subarray(written));
                return;
            }
            if (error?.code === "EAGAIN") {
                setTimeout(() => writeAll(bytes), flushDelayMs).unref();
                return;
            }
            writing = false;
            if (queuedBytes > 0) {
                schedule();
            }
        });
    }

    function schedule(): void {
        writing = true;
        setTimeout(flush, flushDelayMs);
    }

    return {
        write(line) {
            if (queuedBytes + line.length > maxQueuedBytes) {
                return false;
            }
            queuedLines.push(`${line}\n`);
            queuedBytes += line.length + 1;
            if (!writing) {
                schedule();
            }
            return true;
        },
    };
}
