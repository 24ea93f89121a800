import type { CallerLimits } from "@trefoilladder/serving";
import { createServer } from "node:http";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { CallerConnections } from "./caller-connections";

/** HTTP server for callers. */
export interface CallerServer {
    server: Server;
    /** Applies the limits of a configuration. */
    configure(limits: CallerLimits): void;
}

/** Header bytes that the parser accepts; the limit of the configuration is checked on the parsed head. */
const maxHeaderSize = 128 * 1024;
/** Interval of the check for request heads that exceed their timeout, in milliseconds. */
const checkIntervalMs = 500;

/** Creates the HTTP server for callers. */
export function createCallerServer({ connections, handle, ignored }: {
    connections: CallerConnections;
    handle(incoming: IncomingMessage, outgoing: ServerResponse): void;
    /** Called for a request behind a response that closes its connection; it is not handled. */
    ignored(incoming: IncomingMessage): void;
}): CallerServer {
    const server = createServer(
        { maxHeaderSize, connectionsCheckingInterval: checkIntervalMs, keepAliveTimeout: 15_000, requestTimeout: 0 },
        (incoming, outgoing) => {
            if (connections.accept(incoming, outgoing)) {
                handle(incoming, outgoing);
                return;
            }
            ignored(incoming);
        },
    );
    // `close` calls this method, and that of Node.js would cut off responses that are being sent.
    server.closeIdleConnections = connections.closeIdle;
    server.on("connection", socket => {
        socket.setNoDelay(true);
        connections.add(socket);
    });
    return {
        server,
        configure(limits) {
            server.keepAliveTimeout = limits.idleTimeoutMs;
            server.headersTimeout = limits.headerTimeoutMs;
        },
    };
}
