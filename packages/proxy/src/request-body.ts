import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";
import type { IncomingMessage } from "node:http";
import type { CallerRequest } from "./caller-request";
import { notRun, unknownOutcome } from "./problem";
import type { Problem } from "./problem";
import type { ResolvedProxyOptions } from "./proxy-options";

/** The body of a request on its way to a target. */
export interface RequestBody {
    /** The bytes, when the whole body is buffered and can be sent again. */
    bytes?: Buffer;
    /** The bytes to send once, when the body is larger than the buffer. */
    stream?: AsyncIterable<Buffer>;
    /** Whether the stream has been read from, after which it cannot be sent again. */
    started?: boolean;
    /** Why the stream ended early, once it did. */
    fault?: Problem;
    /** Called when the fault is found. */
    onFault?: () => void;
}

const tooLarge = "the body is larger than the limit";
const tooSlow = "the body arrives too slowly";

async function* readRest(
    body: RequestBody,
    prefix: Buffer[],
    incoming: IncomingMessage,
    options: ResolvedProxyOptions,
): AsyncGenerator<Buffer> {
    let size = 0;
    body.started = true;
    for (const chunk of prefix) {
        size += chunk.length;
        yield chunk;
    }
    // Leaving the loop must not destroy the caller's connection, which still has to carry the response.
    const rest = incoming.iterator({ destroyOnReturn: false }) as AsyncIterableIterator<Buffer>;
    for (;;) {
        // The time in which the target does not take bytes is not the caller's, so each read has its own timer.
        const timer = setTimeout(() => {
            body.fault = unknownOutcome("request_too_slow", tooSlow);
            body.onFault?.();
        }, options.requestBodyStallMs);
        const next = await rest.next().finally(() => clearTimeout(timer));
        if (next.done === true) {
            return;
        }
        size += next.value.length;
        if (size > options.maxRequestBytes) {
            body.fault = unknownOutcome("body_too_large", tooLarge);
            body.onFault?.();
            return;
        }
        yield next.value;
    }
}

/**
 * Reads the body up to the buffer limit. A body that ends within it is returned as bytes, so that a slow or malformed
 * one reaches no target; a larger one is returned as a stream.
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
            () => finish(err(notRun("request_too_slow", tooSlow))),
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
                finish(err(notRun("body_too_large", tooLarge)));
            }
            else if (size > options.bufferedRequestBytes) {
                const body: RequestBody = {};
                body.stream = readRest(body, chunks, incoming, options);
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
