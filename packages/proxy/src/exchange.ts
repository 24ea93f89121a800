import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";

/** One request of a caller while it is being answered. */
export interface Exchange {
    requestId: string;
    incoming: IncomingMessage;
    outgoing: ServerResponse;
    /** Monotonic time in milliseconds at which the request arrived. */
    receivedAt: number;
    /** Monotonic time in milliseconds at which the deadline ends. */
    deadlineAt: number;
    /** Whether the caller has gone before the end of the response. */
    callerGone: boolean;
    /** Aborts when the caller goes away; created when it is first read, because most requests need none. */
    readonly signal: AbortSignal;
    /** Ends the attempt in progress when the caller goes away. */
    onCallerGone?: () => void;
    /** Whether a byte may have reached a target that did not refuse the request. */
    sent: boolean;
    /** Headers that the proxy adds to the response, names and values in turn. */
    extraHeaders: string[];
}

/** Reason of the abort; a shared one saves the stack trace that a default reason takes each time. */
const callerGone = new Error("the caller went away");
/** Property of a caller's socket that holds its exchange; a WeakMap entry for each request costs garbage collection. */
const exchangeKey = Symbol("exchange");
type CallerSocket = Socket & { [exchangeKey]?: Exchange; };

/** Returns the exchange in progress on a caller's connection. */
export function exchangeOn(socket: Socket): Exchange | undefined {
    return (socket as CallerSocket)[exchangeKey];
}

/** Starts an exchange and watches for the end of the caller's connection. */
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
        callerGone: false,
        get signal() {
            if (controller === undefined) {
                controller = new AbortController();
                if (exchange.callerGone) {
                    controller.abort(callerGone);
                }
            }
            return controller.signal;
        },
        sent: false,
        extraHeaders: [],
    };
    const socket: CallerSocket = incoming.socket;
    socket[exchangeKey] = exchange;
    outgoing.once("close", () => {
        if (socket[exchangeKey] === exchange) {
            socket[exchangeKey] = undefined;
        }
        if (!outgoing.writableFinished) {
            exchange.callerGone = true;
            controller?.abort(callerGone);
            exchange.onCallerGone?.();
        }
    });
    return exchange;
}

/** Resets the caller's connection, so that a response that has begun cannot be taken for a complete one. */
export function resetCaller(exchange: Exchange): void {
    exchange.incoming.socket.resetAndDestroy();
    exchange.outgoing.destroy();
}
