import { write } from "node:fs";

/** Writes lines to a file descriptor without blocking the event loop. */
export interface LineWriter {
    /** Queues a line; returns false when the queue is full and the line is dropped. */
    write(line: string): boolean;
    /** Resolves when no queued line is left to write; never while the reader does not read. */
    flush(): Promise<void>;
}

/** Maximum number of bytes that wait for a slow reader. */
const maxQueuedBytes = 256 * 1024;
/** Delay in milliseconds during which lines are collected for one write. */
const flushDelayMs = 20;

/** Makes writes to standard output fail instead of wait while it is a full pipe: the exit of a process waits for them. */
function avoidBlocking(descriptor: number): void {
    if (descriptor === 1) {
        // Node.js makes a pipe non-blocking when it creates the stream.
        void process.stdout;
    }
}

/**
 * Creates a writer. Node.js writes to pipes on the event loop, so lines go through the thread pool, one write at a
 * time. When the reader stops reading, further lines are dropped once the queue is full.
 */
export function createLineWriter(descriptor: number): LineWriter {
    let queuedLines: string[] = [];
    let queuedBytes = 0;
    let writing = false;
    let flushListeners: (() => void)[] = [];
    avoidBlocking(descriptor);

    function writeQueue(): void {
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
                return;
            }
            flushListeners.forEach(resolve => resolve());
            flushListeners = [];
        });
    }

    function schedule(): void {
        writing = true;
        setTimeout(writeQueue, flushDelayMs);
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
        flush() {
            return new Promise(resolve => {
                if (!writing) {
                    resolve();
                    return;
                }
                flushListeners.push(resolve);
            });
        },
    };
}
