import type { BodyWriter } from "@trefoilladder/upstream";
import type { BodySource } from "./body-source";

/** Body of a caller's request. */
export interface RequestBody {
    /** The complete body, if it is small enough to be buffered and sent again. */
    buffered: Buffer | undefined;
    /** The rest of a body that is streamed; undefined for one that is buffered. */
    source: BodySource | undefined;
}

/** Why a body could not be read. */
export type BodyProblem = "too_large" | "aborted" | "timed_out";

/** Largest body that is buffered, so that it can be sent again. */
export const maxBufferedRequestBytes = 64 * 1024;
/** Longest time that a timer of Node.js can be set to, in milliseconds. */
const maxTimerMs = 2 ** 31 - 1;

/** Reads a body until it is complete or too large to be buffered. A larger one is left on hold, to be streamed. */
export function readBody(
    source: BodySource | undefined,
    limits: { maxBytes: number; timeoutMs: number; },
): Promise<RequestBody | BodyProblem> {
    if (source === undefined) {
        return Promise.resolve({ buffered: Buffer.alloc(0), source: undefined });
    }
    return new Promise(resolve => {
        function finish(result: RequestBody | BodyProblem): void {
            clearTimeout(timer);
            source!.listen(undefined);
            resolve(result);
        }

        const timer = setTimeout(() => finish("timed_out"), Math.min(limits.timeoutMs, maxTimerMs));
        source.listen({
            data() {
                if (source.receivedBytes > limits.maxBytes) {
                    finish("too_large");
                }
                else if (source.size > maxBufferedRequestBytes) {
                    source.hold();
                    finish({ buffered: undefined, source });
                }
            },
            ended(complete) {
                finish(
                    complete
                        ? { buffered: source.size > 0 ? source.take() : Buffer.alloc(0), source: undefined }
                        : "aborted",
                );
            },
        });
    });
}

const chunkEnd = Buffer.from("\r\n", "latin1");
/** Bytes from which a streamed body is passed on at once; fewer wait for the rest of the same read. */
const minPassedBytes = 16 * 1024;

/** Sends a streamed body; `finished` is called with whether it was complete and within its limit. */
export function streamBody(
    source: BodySource,
    options: { chunked: boolean; maxBytes: number; writer: BodyWriter; finished(complete: boolean): void; },
): void {
    const { writer } = options;
    let isWritable = true;
    let isScheduled = false;
    let ending: { complete: boolean; } | undefined;
    let isFinished = false;

    function finish(complete: boolean): void {
        if (!isFinished) {
            isFinished = true;
            source.discard();
            options.finished(complete);
        }
    }

    function passOn(): void {
        isScheduled = false;
        if (isFinished) {
            return;
        }
        if (isWritable && source.size > 0) {
            const bytes = source.take();
            if (options.chunked) {
                writer.write(Buffer.from(`${bytes.length.toString(16)}\r\n`, "latin1"));
            }
            isWritable = writer.write(bytes);
            if (options.chunked) {
                isWritable = writer.write(chunkEnd);
            }
        }
        if (source.size > 0) {
            return;
        }
        source.release();
        if (ending?.complete === true) {
            if (options.chunked) {
                writer.write(Buffer.from("0\r\n\r\n", "latin1"));
            }
            writer.end();
        }
        if (ending !== undefined) {
            finish(ending.complete);
        }
    }

    writer.onDrain(() => {
        isWritable = true;
        passOn();
    });
    source.listen({
        data() {
            if (source.receivedBytes > options.maxBytes) {
                finish(false);
                return;
            }
            if (source.size >= maxBufferedRequestBytes) {
                source.hold();
            }
            if (source.size >= minPassedBytes && isWritable) {
                passOn();
            }
            else if (!isScheduled) {
                isScheduled = true;
                setImmediate(passOn);
            }
        },
        ended(complete) {
            ending = { complete };
            if (!complete) {
                finish(false);
                return;
            }
            passOn();
        },
    });
}
