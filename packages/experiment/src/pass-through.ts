import type { HttpBindings } from "@hono/node-server";
import { serve } from "@hono/node-server";
import { RESPONSE_ALREADY_SENT } from "@hono/node-server/utils/response";
import { Hono } from "hono";
import type { IncomingHttpHeaders } from "node:http";
import type { AddressInfo } from "node:net";
import { pipeline } from "node:stream/promises";
import { Pool } from "undici";

/** As many connections as one entry instance opens to a target at most. */
const connections = 64;

const hopHeaders = new Set(["connection", "host", "keep-alive", "transfer-encoding"]);

function withoutHopHeaders(headers: IncomingHttpHeaders): IncomingHttpHeaders {
    return Object.fromEntries(Object.entries(headers).filter(([name]) => !hopHeaders.has(name)));
}

/** Starts a bare proxy without any checks, the reference of the benchmark. */
export function startPassThrough(options: { port: number; target: string; }): void {
    const pool = new Pool(options.target, { connections, pipelining: 1 });
    const app = new Hono<{ Bindings: HttpBindings; }>();
    app.all("*", async context => {
        const { incoming, outgoing } = context.env;
        const headers = withoutHopHeaders(incoming.headers);
        const hasBody = incoming.headers["content-length"] !== undefined
            || incoming.headers["transfer-encoding"] !== undefined;
        try {
            const answer = await pool.request({
                path: incoming.url ?? "/",
                method: incoming.method as "GET",
                headers,
                body: hasBody ? incoming : undefined,
            });
            outgoing.writeHead(answer.statusCode, withoutHopHeaders(answer.headers));
            await pipeline(answer.body, outgoing);
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
