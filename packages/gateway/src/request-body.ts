import type { BodyWriter } from "@trefoilladder/upstream";
import type { IncomingMessage } from "node:http";

/** Body of a caller's request. */
export interface RequestBody {
    /** The complete body, if it is small enough to be buffered and sent again. */
    buffered: Buffer | undefined;
    /** First chunks of a body that is streamed. */
    firstChunks: Buffer[];
    source: IncomingMessage;
}

/** Why a body could not be read. */
export type BodyProblem = "too_large" | "aborted" | "timed_out";

/** Largest body that is buffered, so that it can be sent again. */
export const maxBufferedRequestBytes = 64 * 1024;

/**
 * Reads a body until it is complete or too large to be buffered. A larger one is left paused, to be streamed.
 */
export function readBody(
    incoming: IncomingMessage,
    limits: { maxBytes: number; timeoutMs: number; },
): Promise<RequestBody | BodyProblem> {
    return new Promise(resolve => {
        const chunks: Buffer[] = [];
        let size = 0;

        function finish(result: RequestBody | BodyProblem): void {
            clearTimeout(timer);
            incoming.off("data", onData);
            incoming.off("end", onEnd);
            incoming.off("close", onClose);
            resolve(result);
        }

        function onData(chunk: Buffer): void {
            chunks.push(chunk);
            size += chunk.length;
            if (size > limits.maxBytes) {
                finish("too_large");
            }
            else if (size > maxBufferedRequestBytes) {
                incoming.pause();
                finish({ buffered: undefined, firstChunks: chunks, source: incoming });
            }
        }

        function onEnd(): void {
            const buffered = chunks.length === 1 ? chunks[0]! : Buffer.concat(chunks);
            finish({ buffered, firstChunks: [], source: incoming });
        }

        function onClose(): void {
            finish("aborted");
        }

        const timer = setTimeout(() => finish("timed_out"), limits.timeoutMs);
        incoming.on("data", onData);
        incoming.on("end", onEnd);
        incoming.on("close", onClose);
    });
}

/** Sends a streamed body; `finished` is called with whether it was complete and within its limit. */
export function streamBody(
    body: RequestBody,
    options: { chunked: boolean; maxBytes: number; writer: BodyWriter; finished(complete: boolean): void; },
): void {
    const { source } = body;
    const { writer } = options;
    let size = 0;
    let ended = false;

    function finish(complete: boolean): void {
        if (!ended) {
            ended = true;
            source.off("data", send);
            options.finished(complete);
        }
    }

    function send(chunk: Buffer): void {
        size += chunk.length;
        if (size > options.maxBytes) {
            finish(false);
            return;
        }
        const framed = options.chunked
            ? Buffer.concat([
                Buffer.from(`${chunk.length.toString(16)}\r\n`, "latin1"),
                chunk,
                Buffer.from("\r\n", "latin1"),
            ])
            : chunk;
        if (!writer.write(framed)) {
            source.pause();
        }
    }

    writer.onDrain(() => void source.resume());
    body.firstChunks.forEach(send);
    source.on("data", send);
    source.on("end", () => {
        if (!ended && options.chunked) {
            writer.write(Buffer.from("0\r\n\r\n", "latin1"));
        }
        writer.end();
        finish(true);
    });
    source.on("close", () => finish(source.complete));
    source.resume();
}
