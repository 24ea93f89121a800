import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";
import type { IncomingMessage } from "node:http";
import type { CallerRequest } from "./caller-request";
import { notRun, unknownOutcome } from "./problem";
import type { Problem } from "./problem";
import type { ResolvedProxyOptions } from "./proxy-options";

/** The body of a request that is sent to a target. */
export interface RequestBody {
    /** The complete body if it is buffered; it can be sent again. */
    bytes?: Buffer;
    /** The body if it exceeds the buffer limit; it can be sent only once. */
    stream?: AsyncIterable<Buffer>;
    /** Whether the stream has been read from, so that it cannot be sent again. */
    streamStarted?: boolean;
    /** The problem that ended the stream early, if any. */
    failure?: Problem;
    /** Called when `failure` is set. */
    onFailure?: () => void;
}

const tooLargeDetail = "the body is larger than the limit";
const tooSlowDetail = "the body arrives too slowly";

async function* streamBody(
    body: RequestBody,
    prefix: Buffer[],
    incoming: IncomingMessage,
    options: ResolvedProxyOptions,
): AsyncGenerator<Buffer> {
    let size = 0;
    body.streamStarted = true;
    for (const chunk of prefix) {
        size += chunk.length;
        yield chunk;
    }
    // Leaving the loop must not destroy the caller's connection, because the response is still to be sent on it.
    const rest = incoming.iterator({ destroyOnReturn: false }) as AsyncIterableIterator<Buffer>;
    for (;;) {
        // Each read has its own timer, so that time during which the target applies backpressure does not count.
        const timer = setTimeout(() => {
            body.failure = unknownOutcome("request_too_slow", tooSlowDetail);
            body.onFailure?.();
        }, options.requestBodyStallMs);
        const next = await rest.next().finally(() => clearTimeout(timer));
        if (next.done === true) {
            return;
        }
        size += next.value.length;
        if (size > options.maxRequestBytes) {
            body.failure = unknownOutcome("body_too_large", tooLargeDetail);
            body.onFailure?.();
            return;
        }
        yield next.value;
    }
}

/**
 * Reads the body up to the buffer limit. A body within the limit is returned as bytes, so that a slow or malformed body
 * never reaches a target; a larger one is returned as a stream.
 */
export function readRequestBody(
    incoming: IncomingMessage,
    request: CallerRequest,
    options: ResolvedProxyOptions,
): Promise<Result<RequestBody, Problem>> {
    return new Promise(resolve => {
        const chunks: Buffer[] = [];
        let size = 0;
        const timer = setTimeout(
            () => finish(err(notRun("request_too_slow", tooSlowDetail))),
            Math.min(options.requestBodyStallMs, request.deadlineMs),
        );

        function finish(result: Result<RequestBody, Problem>): void {
            clearTimeout(timer);
            incoming.off("data", onData).off("end", onEnd).off("close", onClose).off("error", onClose);
            incoming.pause();
            resolve(result);
        }
        function onData(chunk: Buffer): void {
            chunks.push(chunk);
            size += chunk.length;
            timer.refresh();
            if (size > options.maxRequestBytes) {
                finish(err(notRun("body_too_large", tooLargeDetail)));
            }
            else if (size > options.bufferedRequestBytes) {
                const body: RequestBody = {};
                body.stream = streamBody(body, chunks, incoming, options);
                finish(ok(body));
            }
        }
        function onEnd(): void {
            finish(ok({ bytes: chunks.length === 1 ? chunks[0]! : Buffer.concat(chunks, size) }));
        }
        function onClose(): void {
            finish(err(notRun("cancelled", "the caller went away")));
        }
        incoming.on("data", onData).once("end", onEnd).once("close", onClose).once("error", onClose);
    });
}
