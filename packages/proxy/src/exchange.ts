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
    /** Aborts when the caller goes away. */
    caller: AbortController;
    /** Ends the attempt in progress when the caller goes away. */
    onCallerGone?: () => void;
    /** Whether a byte may have reached a target that did not refuse the request. */
    sent: boolean;
    /** Headers that the proxy adds to the response, names and values in turn. */
    extraHeaders: string[];
}

const exchanges = new WeakMap<Socket, Exchange>();

/** Returns the exchange in progress on a caller's connection. */
export function exchangeOn(socket: Socket): Exchange | undefined {
    return exchanges.get(socket);
}

/** Starts an exchange and watches for the end of the caller's connection. */
export function openExchange(
    incoming: IncomingMessage,
    outgoing: ServerResponse,
    requestId: string,
    now: number,
): Exchange {
    const exchange: Exchange = {
        requestId,
        incoming,
        outgoing,
        receivedAt: now,
        deadlineAt: now,
        caller: new AbortController(),
        sent: false,
        extraHeaders: [],
    };
    const socket = incoming.socket;
    exchanges.set(socket, exchange);
    outgoing.once("close", () => {
        if (exchanges.get(socket) === exchange) {
            exchanges.delete(socket);
        }
        if (!outgoing.writableFinished) {
            exchange.caller.abort();
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
