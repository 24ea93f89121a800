import type { ListedInstance } from "@trefoilladder/platform";
import { Hono } from "hono";
import { serveApplication } from "./http-server";

/** Stand-in of the platform's list of instances. */
export interface InstanceListStandIn {
    url: string;
    put(instance: ListedInstance): void;
    remove(id: string): void;
    close(): Promise<void>;
}

/** Starts an instance list on loopback; instances are put and removed over HTTP or by the returned functions. */
export async function startInstanceList(options: { port?: number; } = {}): Promise<InstanceListStandIn> {
    const instances = new Map<string, ListedInstance>();
    const app = new Hono();
    app.get("/instances", context => context.json({ instances: [...instances.values()] }));
    app.put("/instances/:id", async context => {
        instances.set(context.req.param("id"), await context.req.json<ListedInstance>());
        return context.body(null, 204);
    });
    app.delete("/instances/:id", context => {
        instances.delete(context.req.param("id"));
        return context.body(null, 204);
    });
    const server = await serveApplication(app.fetch, options.port ?? 0);
    return {
        url: `http://127.0.0.1:${server.port}`,
        put: instance => void instances.set(instance.id, instance),
        remove: id => void instances.delete(id),
        close: server.close,
    };
}
