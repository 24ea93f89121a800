import type { CallerLimits } from "@trefoilladder/serving";
import { createServer } from "node:http";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { CallerConnections } from "./caller-connections";
import { createClientErrors } from "./client-errors";

/** HTTP server for callers. */
export interface CallerServer {
    server: Server;
    /** Applies the limits of a configuration. */
    configure(limits: CallerLimits): void;
}

/**
 * Header bytes that the parser accepts: a multiple of the limit of the configuration, which is checked on the parsed head, and room
 * for the request line. The parser itself refuses longer heads, without the request's id.
 */
const parsedHeaderShare = 2;
const requestLineBytes = 16 * 1024;
/** Header bytes that the parser accepts before the first configuration. */
const firstMaxHeaderSize = 48 * 1024;
/** Time in milliseconds within which a head has to arrive before the first configuration. */
const firstHeaderTimeoutMs = 3_000;
/** Largest body in bytes, and idle time in milliseconds, before the first configuration. */
export const firstCallerLimits: Pick<CallerLimits, "maxBodyBytes" | "idleTimeoutMs"> = {
    maxBodyBytes: 64 * 1024 * 1024,
    idleTimeoutMs: 15_000,
};
/** Header fields of a request; a head within the default limit of its bytes has room for fewer. */
export const maxHeaderFields = 4_000;
/** Interval of the check for request heads that exceed their timeout, in milliseconds. */
const checkIntervalMs = 500;

/** Creates the HTTP server for callers. */
export function createCallerServer({ connections, now, handle, ignored, headTooLong }: {
    connections: CallerConnections;
    now(): number;
    handle(incoming: IncomingMessage, outgoing: ServerResponse): void;
    /** Called for a request behind a response that closes its connection; it is not handled. */
    ignored(incoming: IncomingMessage): void;
    /** Called when the parser has refused a head because of its length. */
    headTooLong(): void;
}): CallerServer {
    const server = createServer(
        {
            maxHeaderSize: firstMaxHeaderSize,
            headersTimeout: firstHeaderTimeoutMs,
            connectionsCheckingInterval: checkIntervalMs,
            keepAliveTimeout: 15_000,
            requestTimeout: 0,
        },
        (incoming, outgoing) => {
            if (connections.accept(incoming, outgoing)) {
                handle(incoming, outgoing);
                return;
            }
            ignored(incoming);
            // Node.js keeps the request until its connection closes.
            incoming.rawHeaders = [];
        },
    );
    // Node.js drops the fields beyond this number silently; one more than the limit shows that there are too many.
    server.maxHeadersCount = maxHeaderFields + 1;
    // `close` calls this method, and that of Node.js would cut off responses that are being sent.
    server.closeIdleConnections = connections.closeIdle;
    server.on("connection", socket => {
        socket.setNoDelay(true);
        socket.on("error", () => undefined);
        connections.add(socket);
    });
    server.on(
        "clientError",
        createClientErrors({ connections, now, headTimeoutMs: () => server.headersTimeout, headTooLong }),
    );
    return {
        server,
        configure(limits) {
            server.keepAliveTimeout = limits.idleTimeoutMs;
            server.headersTimeout = limits.headerTimeoutMs;
            Object.assign(server, { maxHeaderSize: parsedHeaderShare * limits.maxHeaderBytes + requestLineBytes });
        },
    };
}
