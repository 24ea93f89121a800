import type { ListedInstance } from "@trefoilladder/platform";
import { Hono } from "hono";
import { serveApplication } from "./http-server";
import { sharedNow } from "./shared-clock";

/** Options of an instance list. */
export interface InstanceListOptions {
    port?: number;
    /** Time until a change becomes readable, in milliseconds. @default 0 */
    lagMs?: number;
    /** Failure domains with a separate listener, whose responses can have ports rewritten to relays. @default [] */
    domains?: readonly string[];
}

/** Stand-in for the platform's instance list. */
export interface InstanceListStandIn {
    url: string;
    /** URLs of the failure domains' listeners, by domain. */
    domainUrls: Record<string, string>;
    put(instance: ListedInstance): void;
    remove(id: string): void;
    close(): Promise<void>;
}

interface PendingChange {
    changedAt: number;
    id: string;
    instance?: ListedInstance;
}

/** Ports that readers in a failure domain receive in place of the listed ones, by instance id. */
type PortRewrites = Record<string, { port?: number; innerPort?: number; }>;

/** Starts an instance list on loopback; instances are added and removed over HTTP or with the returned functions. */
export async function startInstanceList(options: InstanceListOptions = {}): Promise<InstanceListStandIn> {
    const instances = new Map<string, ListedInstance>();
    const rewrites = new Map<string, PortRewrites>();
    let pending: PendingChange[] = [];
    let lagMs = options.lagMs ?? 0;

    function applyVisibleChanges(): void {
        const latest = sharedNow() - lagMs;
        for (const { id, instance } of pending.filter(({ changedAt }) => changedAt <= latest)) {
            if (instance === undefined) {
                instances.delete(id);
            }
            else {
                instances.set(id, instance);
            }
        }
        pending = pending.filter(({ changedAt }) => changedAt > latest);
    }

    function enqueueChange(id: string, instance?: ListedInstance): void {
        pending.push({ changedAt: sharedNow(), id, instance });
    }

    function createApplication(domain?: string): Hono {
        const app = new Hono();
        app.get("/instances", context => {
            applyVisibleChanges();
            const ports = domain === undefined ? undefined : rewrites.get(domain);
            return context.json({
                instances: [...instances.values()].map(instance => ({ ...instance, ...ports?.[instance.id] })),
            });
        });
        app.put("/instances/:id", async context => {
            enqueueChange(context.req.param("id"), await context.req.json<ListedInstance>());
            return context.body(null, 204);
        });
        app.delete("/instances/:id", context => {
            enqueueChange(context.req.param("id"));
            return context.body(null, 204);
        });
        app.get("/control/domains", context => context.json(domainUrls));
        app.put("/control/lag", async context => {
            applyVisibleChanges();
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
        put: instance => enqueueChange(instance.id, instance),
        remove: id => enqueueChange(id),
        close: async () => void await Promise.all(servers.map(opened => opened.close())),
    };
}
