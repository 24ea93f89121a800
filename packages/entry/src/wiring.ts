import { serve } from "@hono/node-server";
import { createMonotonicClock } from "@trefoilladder/clock";
import { createConfigurationFollower } from "@trefoilladder/configuration";
import { createInstanceListClient, createLogClient } from "@trefoilladder/platform";
import { createProxy } from "@trefoilladder/proxy";
import { createLocalQuota } from "@trefoilladder/quota";
import { createRouter } from "@trefoilladder/routing";
import type { Settings } from "@trefoilladder/settings";
import { createTelemetry } from "@trefoilladder/telemetry";
import type { Server } from "node:http";
import { followInstanceList } from "./instance-list-follower";

/** A running entry instance. */
export interface EntryInstance {
    /** Stops serving and ends every task. */
    stop(): Promise<void>;
}

/** Constructs the parts of an entry instance and starts them. */
export function startEntryInstance(settings: Settings): EntryInstance {
    const stopping = new AbortController();
    const clock = createMonotonicClock();
    const telemetry = createTelemetry({ instance: settings.instanceId });
    const log = createLogClient(settings.logUrl);
    const instanceList = createInstanceListClient(settings.instanceListUrl);
    const follower = createConfigurationFollower({ log, clock, telemetry });
    const router = createRouter();
    const quota = createLocalQuota({ clock });
    const proxy = createProxy({ configuration: follower.configuration, quota, router, clock, telemetry });

    const tasks = [
        follower.run(stopping.signal),
        followInstanceList({ instanceList, router, clock, telemetry }, stopping.signal),
    ];
    const server = serve({
        fetch: proxy.fetch,
        hostname: settings.listen.address,
        port: settings.listen.port,
    }, () => telemetry.stateChange("listening", { port: settings.listen.port })) as Server;

    return {
        async stop() {
            stopping.abort();
            const closed = new Promise(resolve => server.close(resolve));
            server.closeIdleConnections();
            await closed;
            await Promise.all(tasks);
            await Promise.all([router.close(), log.close(), instanceList.close()]);
            telemetry.close();
        },
    };
}
