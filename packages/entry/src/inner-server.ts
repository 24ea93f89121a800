import type { ConnectRouter } from "@connectrpc/connect";
import { connectNodeAdapter } from "@connectrpc/connect-node";
import { getRequestListener } from "@hono/node-server";
import type { Proxy } from "@trefoilladder/proxy";
import { Hono } from "hono";
import { createServer } from "node:http";
import type { Server } from "node:http";
import type { Socket } from "node:net";

/** Handlers and state behind the endpoints of the inner listener. */
export interface InnerServerParts {
    routes: (router: ConnectRouter) => void;
    proxy: Proxy;
    /** Returns whether the load balancer may send requests to this instance. */
    isReady(): boolean;
    renderStatus(options: { histograms: boolean; }): string;
}

/** The server of the inner listener with its traffic counter. */
export interface InnerServer {
    server: Server;
    /** Bytes received and sent on connections from other instances since the start. */
    trafficBytes(): number;
}

function countTraffic(server: Server): () => number {
    const openSockets = new Set<Socket>();
    let closedSocketBytes = 0;
    server.on("connection", socket => {
        openSockets.add(socket);
        socket.once("close", () => {
            openSockets.delete(socket);
            closedSocketBytes += socket.bytesRead + socket.bytesWritten;
        });
    });
    return () =>
        [...openSockets].reduce((sum, socket) => sum + socket.bytesRead + socket.bytesWritten, closedSocketBytes);
}

/**
 * Creates the server of the inner listener: the inner protocol, relayed requests and the health endpoints.
 * `/live` returns 200 while the process runs; `/ready` returns 200 while it admits requests and is not stopping.
 */
export function createInnerServer(parts: InnerServerParts): InnerServer {
    const app = new Hono();
    app.get("/live", context => context.json({ live: true }));
    app.get("/ready", context => {
        const ready = parts.isReady();
        return context.json({ ready }, ready ? 200 : 503);
    });
    app.get("/status", context => {
        const histograms = context.req.query("histograms") === "true";
        return context.body(parts.renderStatus({ histograms }), 200, { "content-type": "application/json" });
    });
    app.route("/", parts.proxy.relayApp as unknown as Hono);
    const fallback = getRequestListener(app.fetch);
    const server = createServer(connectNodeAdapter({
        routes: parts.routes,
        fallback: (request, response) => void fallback(request as never, response as never),
    }));
    return { server, trafficBytes: countTraffic(server) };
}
