import { createMonotonicClock } from "@trefoilladder/clock";
import { createConfigurationFollower } from "@trefoilladder/configuration";
import { Failure } from "@trefoilladder/failures";
import { createIdempotencyRegister } from "@trefoilladder/idempotency";
import { createMembership, createRoster, createShardOwnership, instanceIdOf, shardOf } from "@trefoilladder/membership";
import { createInstanceListClient, createLogClient } from "@trefoilladder/platform";
import { createCallerServer, createProxy } from "@trefoilladder/proxy";
import type { Admission } from "@trefoilladder/proxy";
import { createFleetQuota, createLocalQuota, createQuotaOwner, resolveQuotaOptions } from "@trefoilladder/quota";
import type { Quota } from "@trefoilladder/quota";
import { createRouter } from "@trefoilladder/routing";
import type { RoutingPolicy } from "@trefoilladder/routing";
import type { Settings } from "@trefoilladder/settings";
import { createTelemetry } from "@trefoilladder/telemetry";
import { randomBytes } from "node:crypto";
import { setMaxListeners } from "node:events";
import type { Server } from "node:http";
import { createAcquireRpc } from "./acquire-rpc";
import { configurationPeers, watchPeerOffsets } from "./configuration-peers";
import { createEvidenceExchange } from "./evidence-exchange";
import { fleetRoutes } from "./fleet-service";
import { createInnerServer } from "./inner-server";
import { followInstanceList } from "./instance-list-follower";
import { limitOf } from "./quota-limit";
import { stopGracefully } from "./shutdown";
import { renderStatus } from "./status";

/** A running entry instance. */
export interface EntryInstance {
    /** Finishes running requests, hands over its state and ends every task. */
    stop(): Promise<void>;
}

/** Number of instances by which the even-split baseline divides each organisation's limit. */
const evenSplitFleetSize = 48;

/** Constructs and starts the parts of an entry instance; fails with `listen_failed` when a port cannot be bound. */
export async function startEntryInstance(settings: Settings): Promise<EntryInstance> {
    const stopping = new AbortController();
    // Every long-running task listens to this signal.
    setMaxListeners(0, stopping.signal);
    const clock = createMonotonicClock();
    const telemetry = createTelemetry({
        instance: settings.instanceId,
        level: settings.logLevel,
        statsd: settings.statsd,
    });
    const log = createLogClient(settings.logUrl);
    const instanceList = createInstanceListClient(settings.instanceListUrl);

    const roster = createRoster({ log, clock, telemetry });
    const membership = createMembership(
        { clock, telemetry, roster, appliedOffset: () => follower.configuration.appliedOffset },
        {
            instanceId: settings.instanceId,
            domain: settings.domain,
            leaseMs: settings.membership.leaseMs,
            fenceAfterMs: settings.membership.fenceAfterMs,
            pullIntervalMs: settings.membership.pullIntervalMs,
            pullConcurrency: settings.membership.pullPeers,
            pullTimeoutMs: settings.membership.pullTimeoutMs,
            listingGraceMs: Math.max(settings.membership.newMemberSeconds, settings.membership.missingMemberSeconds)
                * 1000,
        },
    );
    const follower = createConfigurationFollower(
        {
            log,
            clock,
            telemetry,
            ...configurationPeers(membership),
            isSnapshotWriter: offset => ownership.owns(shardOf(`snapshot:${offset}`)),
        },
        { snapshotMaxAgeMs: settings.snapshotMaxAgeSeconds * 1000 },
    );

    const quotaOptions = resolveQuotaOptions();
    let lastDelegationNumber = randomBytes(6).readUIntBE(0, 6);
    const quotaOwner = createQuotaOwner({
        clock,
        self: () => membership.self(),
        owns: shard => ownership.owns(shard),
        presumedOwner: shard => ownership.presumedOwner(shard),
        isFenced: incarnation => membership.isFenced(incarnation),
        limitOf: organisation => limitOf(follower.configuration, organisation),
        nextDelegationNumber: () => BigInt(++lastDelegationNumber),
    }, quotaOptions);
    const ownership = createShardOwnership({ membership, roster, holders: [quotaOwner], clock, telemetry });
    const acquireRpc = createAcquireRpc({ clock, membership, ownership, quotaOwner, telemetry, random: Math.random });
    const fleetQuota = createFleetQuota({
        clock,
        telemetry,
        self: () => membership.self(),
        holdsLease: () => membership.holdsLease(),
        isFenced: incarnation => membership.isFenced(incarnation),
        presumedOwner: shard => acquireRpc.ownerOrRelay(shard),
        callOwner: acquireRpc.callOwner,
        random: Math.random,
    }, quotaOptions);
    const quota: Quota = settings.baseline === "even-split"
        ? createLocalQuota({ clock }, { share: 1 / evenSplitFleetSize })
        : fleetQuota;

    const policy = routingPolicy(settings);
    const router = createRouter({
        clock,
        telemetry,
        self: { id: settings.instanceId, domain: settings.domain },
        policy,
    });
    const evidence = createEvidenceExchange({
        clock,
        telemetry,
        membership,
        ownership,
        router,
        domain: settings.domain,
        policy,
    });
    const admission: Admission = {
        holdsLease: () => membership.holdsLease(),
        isFresh: () => follower.isFresh(clock.now()),
    };
    const proxy = createProxy({
        configuration: follower.configuration,
        quota,
        router,
        clock,
        telemetry,
        admission,
        idempotency: {
            // Idempotency keys survive fencing: the process keeps the register when its incarnation changes.
            register: createIdempotencyRegister({ incarnation: membership.self(), clock }),
            resolveIssuer: incarnation =>
                membership.members().find(({ instanceId }) => instanceId === instanceIdOf(incarnation))?.origin,
        },
    });

    const statusParts = {
        settings,
        clock,
        telemetry,
        membership,
        follower,
        quotaOwner,
        router,
        trafficBytes: () => inner.trafficBytes(),
    };
    const callerServer = createCallerServer(proxy);
    const inner = createInnerServer({
        proxy,
        routes: fleetRoutes({
            membership,
            ownership,
            acquireRpc,
            evidence,
            follower,
            renderStatus: () => renderStatus(statusParts, { histograms: false }),
        }),
        isReady: () => !stopping.signal.aborted && !draining && admission.holdsLease() && admission.isFresh(),
        renderStatus: options => renderStatus(statusParts, options),
    });
    let draining = false;

    await listen(inner.server, settings.inner);
    await listen(callerServer, settings.listen);
    telemetry.stateChange("listening", { port: settings.listen.port });
    const tasks = [
        roster.run(stopping.signal),
        membership.run(stopping.signal),
        ownership.run(stopping.signal),
        fleetQuota.run(stopping.signal),
        follower.run(stopping.signal),
        watchPeerOffsets({ membership, follower, clock }, stopping.signal),
        followInstanceList({ instanceList, router, membership, clock, telemetry }, stopping.signal),
    ];
    if (settings.baseline !== "own-evidence" && settings.baseline !== "no-ejection") {
        tasks.push(evidence.run(stopping.signal));
    }

    return {
        async stop() {
            draining = true;
            await stopGracefully({
                clock,
                telemetry,
                membership,
                ownership,
                quota: fleetQuota,
                callerServer,
                drainMs: settings.drainSeconds * 1000,
            });
            stopping.abort();
            inner.server.close();
            inner.server.closeAllConnections();
            await Promise.all(tasks);
            await Promise.all([proxy.close(), router.close(), log.close(), instanceList.close()]);
            telemetry.close();
        },
    };
}

/** Returns the routing policy of the settings; the no-ejection baseline sets the floor to the whole capacity. */
function routingPolicy(settings: Settings): Partial<RoutingPolicy> {
    if (settings.baseline === "no-ejection") {
        return { minHealthyFraction: 1 };
    }
    // One policy applies to every service, so the highest floor of any service applies to all.
    return settings.services.length === 0
        ? {}
        : { minHealthyFraction: Math.max(...settings.services.map(({ floorFraction }) => floorFraction)) };
}

function listen(server: Server, endpoint: { address: string; port: number; }): Promise<void> {
    return new Promise((resolve, reject) => {
        const onError = (cause: Error) => {
            const info = { address: endpoint.address, port: endpoint.port };
            reject(
                new Failure("listen_failed", `cannot listen on ${endpoint.address}:${endpoint.port}`, { cause, info }),
            );
        };
        server.once("error", onError);
        server.listen(endpoint.port, endpoint.address, () => {
            server.off("error", onError);
            resolve();
        });
    });
}
