import { connectNodeAdapter } from "@connectrpc/connect-node";
import { createMonotonicClock } from "@trefoilladder/clock";
import { createMembership, createRoster, createShardOwnership, shardCount } from "@trefoilladder/membership";
import { createLogClient } from "@trefoilladder/platform";
import type { ListedInstance } from "@trefoilladder/platform";
import { FleetService } from "@trefoilladder/protocol";
import { startLog } from "@trefoilladder/stand-ins";
import { once } from "node:events";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { setTimeout as delay } from "node:timers/promises";
import { noopTelemetry } from "./fake-fleet";

async function startInstance(id: string, logUrl: string) {
    const stopping = new AbortController();
    const clock = createMonotonicClock();
    const telemetry = noopTelemetry;
    const log = createLogClient(logUrl);
    const roster = createRoster({ log, clock, telemetry });
    const membership = createMembership(
        { clock, telemetry, roster, appliedOffset: () => 5 },
        { instanceId: id, domain: "a", startupPhaseMs: 300 },
    );
    const ownership = createShardOwnership({ membership, roster, clock, telemetry, holders: [] });
    const server = createServer(connectNodeAdapter({
        routes: router =>
            router.service(FleetService, {
                pullRows: membership.handlePullRows,
                handover: ownership.handleHandover,
            }),
    })).listen(0, "127.0.0.1");
    await once(server, "listening");
    const { port } = server.address() as AddressInfo;
    const listed: ListedInstance = {
        id,
        role: "entry",
        address: "127.0.0.1",
        port,
        innerPort: port,
        domain: "a",
        state: "live",
    };
    let tasks: Promise<unknown> = Promise.resolve();
    return {
        membership,
        ownership,
        listed,
        run: () => void (tasks = Promise.all([membership, roster, ownership].map(part => part.run(stopping.signal)))),
        async stop() {
            stopping.abort();
            server.closeAllConnections();
            server.close();
            await tasks;
            await log.close();
        },
    };
}

describe("membership over Connect", () => {
    it("holds leases, assigns every shard to one owner and replaces a stopped instance", async () => {
        const log = await startLog();
        const instances = await Promise.all(["e-0", "e-1", "e-2"].map(id => startInstance(id, log.url)));
        for (const instance of instances) {
            instance.membership.updateInstances(instances.map(({ listed }) => listed));
            instance.run();
        }
        const ownersOf = (shard: number) => instances.filter(({ ownership }) => ownership.owns(shard)).length;
        const shards = Array.from({ length: shardCount }, (_, shard) => shard);
        const untilOwned = async () => {
            while (shards.some(shard => ownersOf(shard) !== 1)) {
                expect(shards.filter(shard => ownersOf(shard) > 1)).toEqual([]);
                await delay(20);
            }
        };
        await untilOwned();
        expect(instances.every(({ membership }) => membership.holdsLease() && membership.majorityApplied(5))).toBe(
            true,
        );
        expect(instances[0]!.membership.majorityApplied(6)).toBe(false);
        await instances.shift()!.stop();
        await untilOwned();
        await Promise.all(instances.map(instance => instance.stop()));
        await log.close();
    }, 20_000);
});
