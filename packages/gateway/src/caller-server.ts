import type { CallerLimits } from "@trefoilladder/serving";
import { createServer } from "node:http";
import type { IncomingMessage, Server, ServerResponse } from "node:http";

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
export function createCallerServer(
    listener: (incoming: IncomingMessage, outgoing: ServerResponse) => void,
): CallerServer {
    const server = createServer(
        { maxHeaderSize, connectionsCheckingInterval: checkIntervalMs, keepAliveTimeout: 15_000, requestTimeout: 0 },
        listener,
    );
    server.on("connection", socket => socket.setNoDelay(true));
    return {
        server,
        configure(limits) {
            server.keepAliveTimeout = limits.idleTimeoutMs;
            server.headersTimeout = limits.headerTimeoutMs;
        },
    };
}
