import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";

/** A request in progress and its response. */
export interface Exchange {
    requestId: string;
    incoming: IncomingMessage;
    outgoing: ServerResponse;
    /** Monotonic time in milliseconds at which the request arrived. */
    receivedAt: number;
    /** Monotonic time in milliseconds at which the deadline expires. */
    deadlineAt: number;
    /** Whether the caller disconnected before the end of the response. */
    callerDisconnected: boolean;
    /** Aborts when the caller disconnects; created on first access, because most requests do not need it. */
    readonly signal: AbortSignal;
    /** Called when the caller disconnects, to end the attempt in progress. */
    onCallerDisconnect?: () => void;
    /** Whether a byte may have reached a target that did not reject the request. */
    mayHaveRun: boolean;
    /** Headers that the proxy adds to the response, as alternating names and values. */
    extraHeaders: string[];
}

/** Abort reason, shared because the default reason captures a stack trace on each abort. */
const disconnectError = new Error("the caller disconnected");
/** Socket property that holds the exchange; a WeakMap entry per request would add garbage collection work. */
const exchangeKey = Symbol("exchange");
type CallerSocket = Socket & { [exchangeKey]?: Exchange; };

/** Returns the exchange in progress on a caller's connection. */
export function currentExchange(socket: Socket): Exchange | undefined {
    return (socket as CallerSocket)[exchangeKey];
}

/** Starts an exchange and detects when the caller disconnects. */
export function openExchange(
    incoming: IncomingMessage,
    outgoing: ServerResponse,
    requestId: string,
    now: number,
): Exchange {
    let controller: AbortController | undefined;
    const exchange: Exchange = {
        requestId,
        incoming,
        outgoing,
        receivedAt: now,
        deadlineAt: now,
        callerDisconnected: false,
        get signal() {
            if (controller === undefined) {
                controller = new AbortController();
                if (exchange.callerDisconnected) {
                    controller.abort(disconnectError);
                }
            }
            return controller.signal;
        },
        mayHaveRun: false,
        extraHeaders: [],
    };
    const socket: CallerSocket = incoming.socket;
    socket[exchangeKey] = exchange;
    outgoing.once("close", () => {
        if (socket[exchangeKey] === exchange) {
            socket[exchangeKey] = undefined;
        }
        if (!outgoing.writableFinished) {
            exchange.callerDisconnected = true;
            controller?.abort(disconnectError);
            exchange.onCallerDisconnect?.();
        }
    });
    return exchange;
}

/** Resets the caller's connection, so that the caller cannot mistake a partial response for a complete one. */
export function resetCaller(exchange: Exchange): void {
    exchange.incoming.socket.resetAndDestroy();
    exchange.outgoing.destroy();
}
