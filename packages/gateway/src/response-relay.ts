/**
 * Relays responses of targets to callers.
 */

import type { ResponseHead } from "@trefoilladder/upstream";
import type { ServerResponse } from "node:http";
import type { Attempt, AttemptResult } from "./attempt";
import { endToEndHeaders } from "./response-check";

/** A response that has been received completely. */
export interface CompleteResponse {
    head: ResponseHead;
    body: Buffer;
}

/** Receives how the body of a streamed response ended. */
export interface StreamListener {
    ended(): void;
    aborted(): void;
    /** Called with the bytes that the caller has not taken yet, when their number changes. */
    unsent(bytes: number): void;
}

/** Statuses of responses that never have a body; a length beside them would mislead the caller. */
const bodilessStatuses = new Set([204, 304]);

/**
 * Sends the head of a response; `length` is the length of its body, if it is known. Without one the body is sent in chunks: if it
 * ended with the connection, a part of it would look complete when the process is killed, since the system closes the connection.
 */
function beginResponse(
    outgoing: ServerResponse,
    head: ResponseHead,
    { length, close }: { length: number | undefined; close: boolean; },
): void {
    const headers = endToEndHeaders(head);
    if (length !== undefined) {
        headers.push("Content-Length", String(length));
    }
    if (close) {
        headers.push("Connection", "close");
    }
    outgoing.writeHead(head.status, head.reason, headers);
}

/**
 * Returns whether the body of a response can only end with the connection: its length is unknown, and the caller knows no chunks, since
 * its request is of HTTP/1.0.
 */
export function endsWithConnection(outgoing: ServerResponse, length: number | undefined): boolean {
    return length === undefined && !outgoing.useChunkedEncodingByDefault;
}

/**
 * Ends a response before its body is complete. The close of the connection would complete a body that has neither a length nor
 * chunks, as callers of HTTP/1.0 receive it, so the connection is reset.
 */
export function breakOffResponse(outgoing: ServerResponse): void {
    if (outgoing.headersSent && !outgoing.useChunkedEncodingByDefault) {
        outgoing.socket?.resetAndDestroy();
    }
    outgoing.destroy();
}

/** Returns the length to state for a complete response; the response to a HEAD request states that of a body that is not sent. */
function statedLength(outgoing: ServerResponse, { head, body }: CompleteResponse): number | undefined {
    if (bodilessStatuses.has(head.status)) {
        return undefined;
    }
    return outgoing.req.method === "HEAD" ? head.bodyLength : body.length;
}

/** Sends a response that has been received completely; `close` closes the caller's connection after it. */
export function sendResponse(
    outgoing: ServerResponse,
    response: CompleteResponse,
    close: boolean,
): void {
    if (outgoing.destroyed) {
        return;
    }
    beginResponse(outgoing, response.head, { length: statedLength(outgoing, response), close });
    outgoing.end(response.body);
}

/** Sends a response whose body is still being received. */
export function streamResponse(
    outgoing: ServerResponse,
    { attempt, result, close }: {
        attempt: Attempt;
        result: Extract<AttemptResult, { kind: "streaming"; }>;
        close: boolean;
    },
    listener: StreamListener,
): void {
    if (outgoing.destroyed) {
        attempt.cancel();
        return;
    }
    beginResponse(outgoing, result.head, { length: result.head.bodyLength, close });
    outgoing.on("drain", () => {
        listener.unsent(outgoing.writableLength);
        attempt.resume();
    });
    outgoing.on("close", () => attempt.cancel());
    result.attach({
        data(chunk) {
            if (!outgoing.write(chunk)) {
                attempt.pause();
            }
            listener.unsent(outgoing.writableLength);
        },
        end() {
            outgoing.end();
            listener.ended();
        },
        fail() {
            listener.aborted();
            breakOffResponse(outgoing);
        },
    });
}
