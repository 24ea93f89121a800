/**
 * Connection to a target that carries one request at a time.
 */

import { Failure } from "@trefoilladder/failures";
import { Socket } from "node:net";
import { createResponseParser } from "./response-parser";
import type { ResponseHead } from "./response-parser";
import { isFinalStatus, isInterimStatus } from "./response-status";
import { createSecondResponseCheck } from "./second-response";
import type { SecondResponseCheck } from "./second-response";

/** Codes of the reasons why an exchange with a target ended without a complete response. */
export const exchangeFailureCode = {
    /** The connection could not be established; nothing was sent. */
    unreachable: "unreachable",
    /** The target no longer accepted requests when the connection was established; nothing was sent. */
    withdrawn: "withdrawn",
    /** The connection failed after it was established; the request may have been sent. */
    broken: "broken",
    /** The target sent bytes that are not a valid response. */
    garbled: "garbled",
} as const;

/** An exchange that ended without a complete response. */
export class ExchangeFailure extends Failure<typeof exchangeFailureCode[keyof typeof exchangeFailureCode]> {}

/** Writes the body of a request to the connection. */
export interface BodyWriter {
    /** Returns whether more can be written now; if not, the caller waits for `onDrain` before the next call. */
    write(bytes: Buffer): boolean;
    /** Sets the listener that is called each time more can be written, and when the connection closes and discards what follows. */
    onDrain(listener: () => void): void;
    /** Marks the body as complete. */
    end(): void;
}

/** A request to send over a connection. */
export interface OutgoingRequest {
    /** Id that the target returns in its response. */
    id: string;
    method: string;
    /** Returns whether the request may still be sent; called once the connection is established. */
    canBeSent(): boolean;
    /** Builds the request line and headers at the time of sending, since they contain the remaining time. */
    head(): string;
    /** Sends the body; called after the head has been written. */
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

/** Control of a request in progress; after its end, when the connection may carry another request, the calls do nothing. */
export interface ExchangeControl {
    /** Closes the connection; the listener is not called again. */
    cancel(): void;
    /** Stops reading the response until `resume`. */
    pause(): void;
    resume(): void;
}

/** A connection that is established or being established. */
export interface TargetConnection {
    /** Sends a request as soon as the connection is established. */
    exchange(request: OutgoingRequest, listener: ExchangeListener): ExchangeControl;
    /** Closes the connection; the listener of a running exchange is not called again. */
    destroy(): void;
    /** Monotonic time in milliseconds at which the last exchange ended; undefined before the first and during an exchange. */
    readonly idleSince: number | undefined;
    /** Maximum idle time in milliseconds before the connection is no longer reused; 0 when the target closes it. */
    readonly idleLimitMs: number;
    readonly isOpen: boolean;
}

/** Options of a connection. */
export interface ConnectionOptions {
    address: string;
    port: number;
    connectTimeoutMs: number;
    /** Header in which targets return the id of the request. */
    requestIdHeader: string;
    now(): number;
    /** Called when the connection is available for another request, and when it is closed. */
    idle(): void;
    closed(): void;
}

/** Maximum idle time in milliseconds when the target announces no keep-alive timeout. */
const defaultIdleLimitMs = 4_000;
/** Safety margin in milliseconds that is subtracted from an announced keep-alive timeout. */
const idleMarginMs = 600;

/**
 * Time in milliseconds, beside the time that connecting took, for which a new connection has to stay open before a request is
 * sent on it. A target with too many connections resets a new one right after it has accepted it. A request that was already
 * written by then may count as run, and one that runs at most once could not be sent to another target.
 */
const openingMarginMs = 3;
const maxOpeningWaitMs = 15;

/** Maximum bytes and heads before the response to a request: a late response to an earlier request, and interim responses. */
const maxBytesBeforeResponse = 2 * 1024 * 1024;
const maxHeadsBeforeResponse = 16;

/** Maximum bytes of a response beside its body: a fixed part for head and trailers, and a share for the framing of small chunks. */
const maxFramingBytes = 1024 * 1024;
const maxFramingBytesPerBodyByte = 16;

/** Returns the value of a header by its lower-case name; undefined when absent. */
export function headerValue(head: ResponseHead, name: string): string | undefined {
    for (let index = 0; index < head.headers.length; index += 2) {
        if (head.headers[index]!.toLowerCase() === name) {
            return head.headers[index + 1];
        }
    }
    return undefined;
}

/** Returns whether headers announce a body. */
function announcesBody(head: ResponseHead): boolean {
    return headerValue(head, "transfer-encoding") !== undefined || (head.bodyLength ?? 0) > 0;
}

/** Returns an error when the status is not one of a response, or an interim response has a body. */
function findStatusError(head: ResponseHead): Error | undefined {
    if (!isInterimStatus(head.status) && !isFinalStatus(head.status)) {
        return new Error(`the status ${head.status} is not one of HTTP`);
    }
    if (head.status === 101) {
        return new Error("the target switches protocols, which was not requested");
    }
    return isInterimStatus(head.status) && announcesBody(head)
        ? new Error("an interim response has a body")
        : undefined;
}

function idleLimitOf(head: ResponseHead): number {
    if (headerValue(head, "connection")?.toLowerCase().includes("close") === true || head.isCloseDelimited) {
        return 0;
    }
    const seconds = /timeout=(\d+)/.exec(headerValue(head, "keep-alive") ?? "")?.[1];
    return seconds === undefined ? defaultIdleLimitMs : Number(seconds) * 1_000 - idleMarginMs;
}

/** Opens a connection. */
export function createTargetConnection(options: ConnectionOptions): TargetConnection {
    // Half-open, so that the connection's state at its end is still that which the target left.
    const socket = new Socket({ allowHalfOpen: true });
    let current: { request: OutgoingRequest; listener: ExchangeListener; } | undefined;
    const startedAt = options.now();
    /** Whether the connection has stayed open long enough to carry requests. */
    let isReady = false;
    let openingTimer: NodeJS.Timeout | undefined;
    let closed = false;
    let idleSince: number | undefined;
    let idleLimitMs = 0;
    let bodySent = false;
    let bodyDrained: (() => void) | undefined;
    let skipping = false;
    let hasResponse = false;
    /** Check of a body that ends with the connection; undefined for other bodies. */
    let secondResponseCheck: SecondResponseCheck | undefined;
    let bytesBeforeResponse = 0;
    let headsBeforeResponse = 0;
    /** Bytes received and bytes of the body since the response began. */
    let responseBytes = 0;
    let bodyBytes = 0;

    function failIfConnecting(): void {
        if (socket.connecting) {
            fail("unreachable", "connecting to the target timed out");
        }
    }

    // After a delay of the event loop, timers run before it is read that the connection has been established meanwhile.
    const connectTimer = setTimeout(() => setImmediate(failIfConnecting), options.connectTimeoutMs);

    function destroy(): void {
        if (!closed) {
            closed = true;
            clearTimeout(connectTimer);
            clearTimeout(openingTimer);
            socket.destroy();
            options.closed();
            bodyDrained?.();
        }
    }

    /** Closes the connection without calling the listener of a running exchange. */
    function abandon(): void {
        current = undefined;
        destroy();
    }

    function fail(code: ExchangeFailure["code"], message: string, cause?: Error): void {
        const listener = current?.listener;
        current = undefined;
        destroy();
        listener?.fail(new ExchangeFailure(code, message, { cause }));
    }

    /** Returns the failure of a request whose connection is lost: before the connection is ready, nothing was sent. */
    function lossCode(): ExchangeFailure["code"] {
        return isReady ? "broken" : "unreachable";
    }

    function finishExchange(hasTrailingBytes: boolean): void {
        const { listener } = current!;
        current = undefined;
        idleSince = options.now();
        if (hasTrailingBytes || idleLimitMs <= 0 || !bodySent) {
            // After an early response the target still expects the rest of the body and would read the next request as part of it.
            destroy();
        }
        // The listener may have paused the connection in the last read; the next response on it must be read.
        socket.resume();
        listener.end();
        if (!closed) {
            options.idle();
        }
    }

    const parser = createResponseParser({
        head(head) {
            if (current === undefined) {
                // Unsolicited bytes; the connection can no longer be trusted.
                destroy();
                return false;
            }
            const error = findStatusError(head);
            if (error !== undefined) {
                skipping = false;
                fail("garbled", "the target sent an invalid response", error);
                return false;
            }
            const responseId = headerValue(head, options.requestIdHeader);
            skipping = isInterimStatus(head.status) || responseId !== undefined && responseId !== current.request.id;
            if (skipping) {
                headsBeforeResponse += 1;
                if (isFinalStatus(head.status)) {
                    current.listener.skipped(responseId ?? "", head);
                }
                return false;
            }
            hasResponse = true;
            responseBytes = 0;
            bodyBytes = 0;
            idleLimitMs = idleLimitOf(head);
            secondResponseCheck = head.isCloseDelimited
                ? createSecondResponseCheck(options.requestIdHeader)
                : undefined;
            current.listener.head(head);
            return current?.request.method === "HEAD";
        },
        body(chunk) {
            if (skipping) {
                return;
            }
            if (secondResponseCheck?.contains(chunk) === true) {
                fail("garbled", "another response follows in a body without a length");
                return;
            }
            bodyBytes += chunk.length;
            current?.listener.data(chunk);
        },
        end(hasTrailingBytes) {
            if (skipping) {
                skipping = false;
                return;
            }
            if (current !== undefined) {
                finishExchange(hasTrailingBytes);
            }
        },
    });

    function send(): void {
        const { request, listener } = current!;
        if (!request.canBeSent()) {
            fail("withdrawn", "the target no longer accepts requests");
            return;
        }
        bodySent = false;
        bodyDrained = undefined;
        socket.write(request.head(), "latin1");
        listener.sent();
        request.writeBody({
            write: bytes => closed || socket.write(bytes),
            onDrain: listener => bodyDrained = listener,
            end: () => bodySent = true,
        });
    }

    /**
     * Returns an error when more precedes the response than a late response to an earlier request accounts for, or when the
     * response consists of little but framing.
     */
    function checkReceivedBytes(chunk: Buffer): Error | undefined {
        if (hasResponse) {
            responseBytes += chunk.length;
            const exceedsLimit = responseBytes - bodyBytes > maxFramingBytes + maxFramingBytesPerBodyByte * bodyBytes;
            return exceedsLimit ? new Error("the framing of the response exceeds its limit") : undefined;
        }
        bytesBeforeResponse += chunk.length;
        const exceedsLimit = bytesBeforeResponse > maxBytesBeforeResponse
            || headsBeforeResponse > maxHeadsBeforeResponse;
        return exceedsLimit ? new Error("too much data precedes the response") : undefined;
    }

    function connect(): void {
        try {
            socket.connect({ host: options.address, port: options.port, noDelay: true });
        }
        catch (error) {
            // Node.js throws on an invalid address or port.
            process.nextTick(() => fail("unreachable", "the address of the target is invalid", error as Error));
        }
    }

    function startCarrying(): void {
        isReady = !closed;
        if (isReady && current !== undefined) {
            send();
        }
    }

    socket.on("connect", () => {
        clearTimeout(connectTimer);
        const waitMs = Math.min(maxOpeningWaitMs, options.now() - startedAt + openingMarginMs);
        // After a delay of the event loop, timers run before the reset that has arrived meanwhile is read.
        openingTimer = setTimeout(() => setImmediate(startCarrying), waitMs);
    });
    socket.on("data", (chunk: Buffer) => {
        if (current === undefined) {
            destroy();
            return;
        }
        if (!isReady) {
            fail("unreachable", "the target sent data before a request");
            return;
        }
        const error = parser.execute(chunk) ?? checkReceivedBytes(chunk);
        if (error !== undefined && !closed) {
            fail("garbled", "the target sent an invalid response", error);
        }
    });
    socket.on("drain", () => bodyDrained?.());
    /**
     * Returns whether the end that was read is a reset. Node.js reports a reset as an end when data precedes it in the same read,
     * which would complete a body without a length. A reset connection no longer has a remote address.
     */
    function isReset(): boolean {
        return socket.remoteAddress === undefined;
    }

    /** Returns an error when the end of the connection does not complete a body that ends with it. */
    function findEndError(): Error | undefined {
        if (isReset()) {
            return new Error("the connection was reset");
        }
        return secondResponseCheck?.endsWithin() === true
            ? new Error("the body ends within the head of another response")
            : undefined;
    }

    socket.on("end", () => {
        const error = findEndError() ?? parser.finish();
        if (current !== undefined) {
            fail(lossCode(), "the target closed the connection", error);
        }
        destroy();
    });
    socket.on("error", error => fail(lossCode(), "the connection failed", error));
    socket.on("close", () => fail(lossCode(), "the connection closed"));

    connect();

    /** Returns an action that only takes place while `exchange` is in progress. */
    function during(exchange: typeof current, action: () => void): () => void {
        return () => {
            if (current === exchange) {
                action();
            }
        };
    }

    return {
        exchange(request, listener) {
            const exchange = { request, listener };
            current = exchange;
            hasResponse = false;
            bytesBeforeResponse = 0;
            headsBeforeResponse = 0;
            idleSince = undefined;
            // The caller needs the returned exchange before its listener is called.
            process.nextTick(() => {
                if (closed) {
                    fail("unreachable", "the connection was closed before the request was sent");
                }
                else if (isReady && current !== undefined) {
                    send();
                }
            });
            return {
                cancel: during(exchange, abandon),
                pause: during(exchange, () => socket.pause()),
                resume: during(exchange, () => socket.resume()),
            };
        },
        destroy: abandon,
        get idleSince() {
            return idleSince;
        },
        get idleLimitMs() {
            return idleLimitMs;
        },
        get isOpen() {
            return isReady && !closed;
        },
    };
}
