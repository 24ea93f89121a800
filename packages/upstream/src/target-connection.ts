/**
 * One connection to a target, for one request at a time.
 */

import { Failure } from "@trefoilladder/failures";
import { Socket } from "node:net";
import { createResponseParser } from "./response-parser";
import type { ResponseHead } from "./response-parser";

/** How an exchange with a target ended without a complete response. */
export const exchangeProblem = {
    /** No connection could be made; nothing was sent. */
    unreachable: "unreachable",
    /** The request was no longer wanted at the target when the connection was open; nothing was sent. */
    withdrawn: "withdrawn",
    /** The connection broke after something had been sent. */
    broken: "broken",
    /** The target sent bytes that are no response. */
    garbled: "garbled",
} as const;

/** An exchange that ended without a complete response. */
export class ExchangeFailure extends Failure<typeof exchangeProblem[keyof typeof exchangeProblem]> {}

/** Takes the body of a request. */
export interface BodyWriter {
    /** Returns whether more can be written now; otherwise the next call waits for `drained`. */
    write(bytes: Buffer): boolean;
    /** Calls a listener each time that more can be written. */
    drained(listener: () => void): void;
    /** Tells that the body is complete. */
    end(): void;
}

/** A request as it goes over the connection. */
export interface OutgoingRequest {
    /** Id that the target repeats in its response. */
    id: string;
    method: string;
    /** Tells, when the connection is open, whether the request may still be sent. */
    isWanted(): boolean;
    /** Builds request line and headers at the moment of sending, since they carry the remaining time. */
    head(): string;
    /** Sends the body; called once the head is written. */
    writeBody(writer: BodyWriter): void;
}

/** Receives the response to a request. */
export interface ExchangeListener {
    /** Called when the head of the request has been written. */
    sent(): void;
    head(head: ResponseHead): void;
    data(chunk: Buffer): void;
    end(): void;
    fail(failure: ExchangeFailure): void;
    /** Called for a response that belongs to an earlier request and was skipped. */
    skipped(id: string, head: ResponseHead): void;
}

/** A connection that is open or being opened. */
export interface TargetConnection {
    /** Sends a request, as soon as the connection is open. */
    exchange(request: OutgoingRequest, listener: ExchangeListener): void;
    pause(): void;
    resume(): void;
    /** Closes the connection, whatever it is doing. */
    destroy(): void;
    /** Monotonic time in milliseconds at which the last exchange ended; undefined before the first. */
    readonly idleSince: number | undefined;
    /** Longest idle time that the target announced, in milliseconds. */
    readonly idleLimitMs: number;
    readonly isOpen: boolean;
}

/** Options of a connection. */
export interface ConnectionOptions {
    address: string;
    port: number;
    connectTimeoutMs: number;
    /** Header in which targets repeat the id of the request. */
    requestIdHeader: string;
    now(): number;
    /** Called when the connection is free for a further request, and when it is closed. */
    idle(): void;
    closed(): void;
}

/** Idle time after which a connection is not used again when the target announces none, in milliseconds. */
const defaultIdleLimitMs = 4_000;
/** Part of an announced idle time that is not used, in milliseconds. */
const idleMarginMs = 600;

/** Bytes and heads that may come before the response to a request: a late response to an earlier one, and interim ones. */
const maxBytesBeforeResponse = 2 * 1024 * 1024;
const maxHeadsBeforeResponse = 16;

/** Returns a header of a response. */
export function headerOf(head: ResponseHead, name: string): string | undefined {
    for (let index = 0; index < head.headers.length; index += 2) {
        if (head.headers[index]!.toLowerCase() === name) {
            return head.headers[index + 1];
        }
    }
    return undefined;
}

function idleLimitOf(head: ResponseHead): number {
    if (headerOf(head, "connection")?.toLowerCase().includes("close") === true || head.untilClose) {
        return 0;
    }
    const seconds = /timeout=(\d+)/.exec(headerOf(head, "keep-alive") ?? "")?.[1];
    return seconds === undefined ? defaultIdleLimitMs : Number(seconds) * 1_000 - idleMarginMs;
}

/** Opens a connection. */
export function createTargetConnection(options: ConnectionOptions): TargetConnection {
    const socket = new Socket();
    let current: { request: OutgoingRequest; listener: ExchangeListener; } | undefined;
    let connected = false;
    let closed = false;
    let idleSince: number | undefined;
    let idleLimitMs = 0;
    let bodySent = false;
    let skipping = false;
    let hasResponse = false;
    let bytesBeforeResponse = 0;
    let headsBeforeResponse = 0;

    const connectTimer = setTimeout(() => fail("unreachable", "the connection timed out"), options.connectTimeoutMs);

    function destroy(): void {
        if (!closed) {
            closed = true;
            clearTimeout(connectTimer);
            socket.destroy();
            options.closed();
        }
    }

    function fail(code: ExchangeFailure["code"], message: string, cause?: Error): void {
        const listener = current?.listener;
        current = undefined;
        destroy();
        listener?.fail(new ExchangeFailure(code, message, { cause }));
    }

    function finishExchange(followed: boolean): void {
        const { listener } = current!;
        current = undefined;
        idleSince = options.now();
        if (followed || idleLimitMs <= 0 || !bodySent) {
            // The target still expects the rest of a body after an early response; a next request would be taken for it.
            destroy();
        }
        listener.end();
        if (!closed) {
            options.idle();
        }
    }

    const parser = createResponseParser({
        head(head) {
            if (current === undefined) {
                // Bytes that no request waits for; the connection cannot be trusted any more.
                destroy();
                return false;
            }
            const answeredId = headerOf(head, options.requestIdHeader);
            skipping = head.status < 200 || answeredId !== undefined && answeredId !== current.request.id;
            if (skipping) {
                headsBeforeResponse += 1;
                if (head.status >= 200) {
                    current.listener.skipped(answeredId ?? "", head);
                }
                return false;
            }
            hasResponse = true;
            idleLimitMs = idleLimitOf(head);
            current.listener.head(head);
            return current?.request.method === "HEAD";
        },
        body(chunk) {
            if (!skipping) {
                current?.listener.data(chunk);
            }
        },
        end(followed) {
            if (skipping) {
                skipping = false;
                return;
            }
            if (current !== undefined) {
                finishExchange(followed);
            }
        },
    });

    function send(): void {
        const { request, listener } = current!;
        if (!request.isWanted()) {
            fail("withdrawn", "the target takes no requests any more");
            return;
        }
        bodySent = false;
        socket.removeAllListeners("drain");
        socket.write(request.head(), "latin1");
        listener.sent();
        request.writeBody({
            write: bytes => closed || socket.write(bytes),
            drained: resume => void socket.on("drain", resume),
            end: () => bodySent = true,
        });
    }

    /** Returns an error when more has come before the response than a late one to an earlier request can be. */
    function checkBeforeResponse(chunk: Buffer): Error | undefined {
        if (hasResponse) {
            return undefined;
        }
        bytesBeforeResponse += chunk.length;
        const isEndless = bytesBeforeResponse > maxBytesBeforeResponse || headsBeforeResponse > maxHeadsBeforeResponse;
        return isEndless ? new Error("other bytes come in place of the response") : undefined;
    }

    function open(): void {
        try {
            socket.connect({ host: options.address, port: options.port, noDelay: true });
        }
        catch (error) {
            // Node.js throws on an address that no socket can have.
            process.nextTick(() => fail("unreachable", "the address cannot be connected to", error as Error));
        }
    }

    socket.on("connect", () => {
        connected = true;
        clearTimeout(connectTimer);
        if (current !== undefined) {
            send();
        }
    });
    socket.on("data", (chunk: Buffer) => {
        if (current === undefined) {
            destroy();
            return;
        }
        const error = parser.execute(chunk) ?? checkBeforeResponse(chunk);
        if (error !== undefined && !closed) {
            fail("garbled", "the target sent no valid response", error);
        }
    });
    socket.on("end", () => {
        const error = parser.finish();
        if (current !== undefined) {
            fail("broken", "the target closed the connection", error);
        }
        destroy();
    });
    socket.on("error", error => fail(connected ? "broken" : "unreachable", "the connection failed", error));
    socket.on("close", () => fail(connected ? "broken" : "unreachable", "the connection closed"));

    open();

    return {
        exchange(request, listener) {
            current = { request, listener };
            hasResponse = false;
            bytesBeforeResponse = 0;
            headsBeforeResponse = 0;
            idleSince = undefined;
            // The listener's owner needs the exchange before its first call.
            process.nextTick(() => {
                if (closed) {
                    fail("unreachable", "the connection was closed");
                }
                else if (connected && current !== undefined) {
                    send();
                }
            });
        },
        pause: () => void socket.pause(),
        resume: () => void socket.resume(),
        destroy() {
            current = undefined;
            destroy();
        },
        get idleSince() {
            return idleSince;
        },
        get idleLimitMs() {
            return idleLimitMs;
        },
        get isOpen() {
            return connected && !closed;
        },
    };
}
