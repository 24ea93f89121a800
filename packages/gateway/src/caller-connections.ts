/**
 * Open connections of callers, and the requests on each whose responses have not been sent completely.
 *
 * Node.js takes a connection as idle once its response has been ended, although the response may not have been sent and further
 * ones may wait behind it.
 */

import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { breakOffResponse } from "./response-relay";

/** Registry of the connections. */
export interface CallerConnections {
    /** Adds a connection; it is removed when it closes. */
    add(socket: Socket): void;
    /** Adds a request; returns false if an earlier response closes the connection, so that the request must not be handled. */
    accept(incoming: IncomingMessage, outgoing: ServerResponse): boolean;
    /** Returns whether a later request on the same connection has been accepted. */
    hasLaterRequest(incoming: IncomingMessage): boolean;
    /** Accepts no further request on the connection of a request, because the response to it closes the connection. */
    acceptNoneAfter(incoming: IncomingMessage): void;
    /**
     * Closes the connections whose responses have all been sent. One that has not carried a request yet may be about to, and is
     * kept as long as any response is pending.
     */
    closeIdle(): void;
    /** Ends the pending responses, visibly incomplete. */
    breakOff(): void;
    readonly openCount: number;
    /** Number of responses that have not been sent completely. */
    readonly pendingCount: number;
}

interface CallerConnection {
    pending: Set<ServerResponse>;
    newestRequest: IncomingMessage | undefined;
    acceptsRequests: boolean;
}

/** Creates a registry without connections. */
export function createCallerConnections(): CallerConnections {
    const connections = new Map<Socket, CallerConnection>();

    function countPending(): number {
        return [...connections.values()].reduce((sum, { pending }) => sum + pending.size, 0);
    }

    return {
        add(socket) {
            connections.set(socket, { pending: new Set(), newestRequest: undefined, acceptsRequests: true });
            socket.on("close", () => connections.delete(socket));
        },
        accept(incoming, outgoing) {
            const connection = connections.get(incoming.socket);
            if (connection === undefined || !connection.acceptsRequests) {
                return false;
            }
            connection.newestRequest = incoming;
            connection.pending.add(outgoing);
            outgoing.on("close", () => connection.pending.delete(outgoing));
            return true;
        },
        hasLaterRequest: incoming => connections.get(incoming.socket)?.newestRequest !== incoming,
        acceptNoneAfter(incoming) {
            const connection = connections.get(incoming.socket);
            if (connection !== undefined) {
                connection.acceptsRequests = false;
            }
        },
        closeIdle() {
            const closesNew = countPending() === 0;
            for (const [socket, { pending, newestRequest }] of connections) {
                if (pending.size === 0 && (closesNew || newestRequest !== undefined)) {
                    socket.destroy();
                }
            }
        },
        breakOff() {
            for (const { pending } of connections.values()) {
                pending.forEach(breakOffResponse);
            }
        },
        get openCount() {
            return connections.size;
        },
        get pendingCount() {
            return countPending();
        },
    };
}
