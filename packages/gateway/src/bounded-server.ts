import { createServer } from "node:http";
import type { RequestListener, Server } from "node:http";
import type { Socket } from "node:net";
import { hasBody } from "./body-source";

/** Header bytes, and times in milliseconds, of requests to listeners that serve no callers. */
const maxHeaderSize = 16 * 1024;
const headersTimeout = 3_000;
const defaultRequestTimeoutMs = 5_000;
const inactiveTimeoutMs = 10_000;
const checkIntervalMs = 500;
/** Requests on one connection whose responses have not been sent. */
const maxPendingRequests = 16;

/** Options of a bounded server. */
export interface BoundedServerOptions {
    maxConnections: number;
    /** Called when a connection is closed because of a limit. */
    dropped(): void;
    /** Whether the handler reads bodies and bounds them; by default the response to a request with one closes the connection. */
    readsBodies?: boolean;
    /** Time in milliseconds in which a request has to arrive completely. */
    requestTimeoutMs?: number;
}

/**
 * Creates an HTTP server whose clients cannot fill the memory or the descriptors of the process. Above the limit of connections, the
 * one whose last request is oldest is closed.
 */
export function createBoundedServer(
    handle: RequestListener,
    { maxConnections, dropped, readsBodies = false, requestTimeoutMs = defaultRequestTimeoutMs }: BoundedServerOptions,
): Server {
    /** Connections in the order of their last requests, with their pending responses. */
    const pendingCounts = new Map<Socket, number>();

    function dropConnection(socket: Socket): void {
        dropped();
        pendingCounts.delete(socket);
        socket.destroy();
    }

    const server = createServer(
        {
            maxHeaderSize,
            headersTimeout,
            requestTimeout: requestTimeoutMs,
            connectionsCheckingInterval: checkIntervalMs,
        },
        (incoming, outgoing) => {
            const { socket } = incoming;
            const pending = pendingCounts.get(socket);
            if (pending === undefined) {
                return;
            }
            if (pending >= maxPendingRequests) {
                dropConnection(socket);
                return;
            }
            pendingCounts.delete(socket);
            pendingCounts.set(socket, pending + 1);
            outgoing.on("close", () => {
                const count = pendingCounts.get(socket);
                if (count !== undefined) {
                    pendingCounts.set(socket, count - 1);
                }
            });
            if (!readsBodies && hasBody(incoming)) {
                outgoing.setHeader("Connection", "close");
            }
            handle(incoming, outgoing);
        },
    );
    server.timeout = inactiveTimeoutMs;
    server.on("connection", (socket: Socket) => {
        if (pendingCounts.size >= maxConnections) {
            dropConnection(pendingCounts.keys().next().value!);
        }
        pendingCounts.set(socket, 0);
        socket.on("close", () => pendingCounts.delete(socket));
    });
    return server;
}
