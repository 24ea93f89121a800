import type { HttpBindings } from "@hono/node-server";
import { serve } from "@hono/node-server";
import { RESPONSE_ALREADY_SENT } from "@hono/node-server/utils/response";
import { Hono } from "hono";
import type { IncomingHttpHeaders } from "node:http";
import type { AddressInfo } from "node:net";
import { pipeline } from "node:stream/promises";
import { Pool } from "undici";

/** Equals the maximum number of connections from one entry instance to a target. */
const connections = 64;

const hopByHopHeaders = new Set(["connection", "host", "keep-alive", "transfer-encoding"]);

function withoutHopByHopHeaders(headers: IncomingHttpHeaders): IncomingHttpHeaders {
    return Object.fromEntries(Object.entries(headers).filter(([name]) => !hopByHopHeaders.has(name)));
}

/** Starts a proxy without any checks, as the reference of the benchmark. */
export function startPassThrough(options: { port: number; target: string; }): void {
    const pool = new Pool(options.target, { connections, pipelining: 1 });
    const app = new Hono<{ Bindings: HttpBindings; }>();
    app.all("*", async context => {
        const { incoming, outgoing } = context.env;
        const headers = withoutHopByHopHeaders(incoming.headers);
        const hasBody = incoming.headers["content-length"] !== undefined
            || incoming.headers["transfer-encoding"] !== undefined;
        try {
            const response = await pool.request({
                path: incoming.url ?? "/",
                method: incoming.method as "GET",
                headers,
                body: hasBody ? incoming : undefined,
            });
            outgoing.writeHead(response.statusCode, withoutHopByHopHeaders(response.headers));
            await pipeline(response.body, outgoing);
        }
        catch {
            outgoing.destroy();
        }
        return RESPONSE_ALREADY_SENT;
    });
    const server = serve({ fetch: app.fetch, hostname: "127.0.0.1", port: options.port }, () => {
        console.log(`pass-through listening on http://127.0.0.1:${(server.address() as AddressInfo).port}`);
    });
    process.on("SIGTERM", () => process.exit(0));
}
