import { serve } from "@hono/node-server";
import type { Server } from "node:http";
import type { AddressInfo } from "node:net";

/** A listening HTTP server. */
export interface HttpServer {
    port: number;
    server: Server;
    close(): Promise<void>;
}

/** Serves an application on loopback; port 0 selects a free port. */
export async function serveApplication(fetch: Parameters<typeof serve>[0]["fetch"], port: number): Promise<HttpServer> {
    const server = await new Promise<Server>(resolve => {
        const created = serve({ fetch, hostname: "127.0.0.1", port }, () => resolve(created)) as Server;
    });
    return {
        port: (server.address() as AddressInfo).port,
        server,
        close: () =>
            new Promise(resolve => {
                server.close(() => resolve());
                server.closeAllConnections();
            }),
    };
}
