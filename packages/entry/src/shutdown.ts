import type { Clock } from "@trefoilladder/clock";
import type { MembershipService, ShardOwnershipService } from "@trefoilladder/membership";
import type { FleetQuota } from "@trefoilladder/quota";
import type { Telemetry } from "@trefoilladder/telemetry";
import type { Server } from "node:http";

/** Dependencies of a graceful stop. */
export interface ShutdownParts {
    clock: Clock;
    telemetry: Telemetry;
    membership: MembershipService;
    ownership: ShardOwnershipService;
    quota: FleetQuota;
    callerServer: Server;
    /** Time for the load balancer to detect that this instance is not ready, in milliseconds. */
    drainMs: number;
}

const handoverTimeoutMs = 3_000;
const idleCheckIntervalMs = 100;

async function closeWhenIdle(server: Server, clock: Clock): Promise<void> {
    let closed = false;
    const closing = new Promise<void>(resolve =>
        server.close(() => {
            closed = true;
            resolve();
        })
    );
    // A keep-alive connection becomes idle only when its response ends, so idle ones are closed repeatedly.
    while (!closed) {
        server.closeIdleConnections();
        await Promise.race([closing, clock.sleep(idleCheckIntervalMs)]);
    }
}

/**
 * Stops without interrupting a request: waits for the load balancer, refuses new connections, finishes running requests
 * within their deadlines, then hands over quota and shards to other instances.
 */
export async function stopGracefully(parts: ShutdownParts): Promise<void> {
    const { clock, telemetry, membership, ownership, quota, callerServer } = parts;
    telemetry.stateChange("stopping", { drainMs: parts.drainMs });
    await membership.startLeaving();
    await clock.sleep(parts.drainMs);
    await closeWhenIdle(callerServer, clock);
    await quota.returnDelegations();
    const remainingShards = await ownership.handOverAll(AbortSignal.timeout(handoverTimeoutMs));
    await membership.leave();
    telemetry.stateChange("stopped", { shardsLeft: remainingShards.length });
}
