import { Hono } from "hono";
import { serveApplication } from "./http-server";

/** Stand-in of a target. */
export interface TargetStandIn {
    url: string;
    port: number;
    close(): Promise<void>;
}

/** Starts a target on loopback that answers every request with what it received. */
export async function startTarget(options: { id: string; port?: number; }): Promise<TargetStandIn> {
    const app = new Hono();
    app.get("/health", context => context.json({ status: "ok" }));
    app.all("*", async context => {
        const body = await context.req.text();
        return context.json({
            target: options.id,
            method: context.req.method,
            path: context.req.path,
            requestId: context.req.header("request-id"),
            sawKey: context.req.header("authorization") !== undefined,
            body,
        });
    });
    const server = await serveApplication(app.fetch, options.port ?? 0);
    return { url: `http://127.0.0.1:${server.port}`, port: server.port, close: server.close };
}
