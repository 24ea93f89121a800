import type { ListedInstance } from "@trefoilladder/platform";
import { Hono } from "hono";
import { serveApplication } from "./http-server";
import { sharedNow } from "./shared-clock";

/** Options of an instance list. */
export interface InstanceListOptions {
    port?: number;
    /** Time until a change becomes readable, in milliseconds. @default 0 */
    lagMs?: number;
    /** Failure domains that get a listener of their own, on which ports can be rewritten to relays. @default [] */
    domains?: readonly string[];
}

/** Stand-in of the platform's list of instances. */
export interface InstanceListStandIn {
    url: string;
    /** URLs of the listeners of single failure domains. */
    domainUrls: Record<string, string>;
    put(instance: ListedInstance): void;
    remove(id: string): void;
    close(): Promise<void>;
}

interface Change {
    at: number;
    id: string;
    instance?: ListedInstance;
}

/** Ports that a reader of a failure domain gets for an instance. */
type PortRewrites = Record<string, { port?: number; innerPort?: number; }>;

/** Starts an instance list on loopback; instances are put and removed over HTTP or by the returned functions. */
export async function startInstanceList(options: InstanceListOptions = {}): Promise<InstanceListStandIn> {
    const instances = new Map<string, ListedInstance>();
    const rewrites = new Map<string, PortRewrites>();
    let pending: Change[] = [];
    let lagMs = options.lagMs ?? 0;

    function applyVisible(): void {
        const latest = sharedNow() - lagMs;
        for (const { id, instance } of pending.filter(({ at }) => at <= latest)) {
            if (instance === undefined) {
                instances.delete(id);
            }
            else {
                instances.set(id, instance);
            }
        }
        pending = pending.filter(({ at }) => at > latest);
    }

    function change(id: string, instance?: ListedInstance): void {
        pending.push({ at: sharedNow(), id, instance });
    }

    function createApplication(domain?: string): Hono {
        const app = new Hono();
        app.get("/instances", context => {
            applyVisible();
            const ports = domain === undefined ? undefined : rewrites.get(domain);
            return context.json({
                instances: [...instances.values()].map(instance => ({ ...instance, ...ports?.[instance.id] })),
            });
        });
        app.put("/instances/:id", async context => {
            change(context.req.param("id"), await context.req.json<ListedInstance>());
            return context.body(null, 204);
        });
        app.delete("/instances/:id", context => {
            change(context.req.param("id"));
            return context.body(null, 204);
        });
        app.get("/control/domains", context => context.json(domainUrls));
        app.put("/control/lag", async context => {
            applyVisible();
            lagMs = (await context.req.json<{ lagMs: number; }>()).lagMs;
            return context.body(null, 204);
        });
        app.put("/control/rewrites/:domain", async context => {
            rewrites.set(context.req.param("domain"), await context.req.json<PortRewrites>());
            return context.body(null, 204);
        });
        return app;
    }

    const domainServers = await Promise.all((options.domains ?? []).map(async domain => {
        return [domain, await serveApplication(createApplication(domain).fetch, 0)] as const;
    }));
    const domainUrls = Object.fromEntries(
        domainServers.map(([domain, server]) => [domain, `http://127.0.0.1:${server.port}`]),
    );
    const server = await serveApplication(createApplication().fetch, options.port ?? 0);
    const servers = [server, ...domainServers.map(([, opened]) => opened)];
    return {
        url: `http://127.0.0.1:${server.port}`,
        domainUrls,
        put: instance => change(instance.id, instance),
        remove: id => change(id),
        close: async () => void await Promise.all(servers.map(opened => opened.close())),
    };
}
