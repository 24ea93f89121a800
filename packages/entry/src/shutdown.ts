import type { Clock } from "@trefoilladder/clock";
import type { MembershipService, ShardOwnershipService } from "@trefoilladder/membership";
import type { FleetQuota } from "@trefoilladder/quota";
import type { Telemetry } from "@trefoilladder/telemetry";
import type { Server } from "node:http";

/** Parts that take part in a planned stop. */
export interface ShutdownParts {
    clock: Clock;
    telemetry: Telemetry;
    membership: MembershipService;
    ownership: ShardOwnershipService;
    quota: FleetQuota;
    callerServer: Server;
    /** Time that the load balancer gets to notice that this instance is unready, in milliseconds. */
    drainMs: number;
}

const handoverTimeoutMs = 3_000;
const idleCheckMs = 100;

async function closeWhenIdle(server: Server, clock: Clock): Promise<void> {
    let closed = false;
    const done = new Promise<void>(resolve =>
        server.close(() => {
            closed = true;
            resolve();
        })
    );
    // A kept-alive connection becomes idle only when its response ends, so idle ones are closed repeatedly.
    while (!closed) {
        server.closeIdleConnections();
        await Promise.race([done, clock.sleep(idleCheckMs)]);
    }
}

/**
 * Stops without cutting a request: waits for the load balancer, refuses new connections, finishes running requests
 * within their deadlines, then hands quota and shards to other instances.
 */
export async function stopGracefully(parts: ShutdownParts): Promise<void> {
    const { clock, telemetry, membership, ownership, quota, callerServer } = parts;
    telemetry.stateChange("stopping", { drainMs: parts.drainMs });
    await membership.startLeaving();
    await clock.sleep(parts.drainMs);
    await closeWhenIdle(callerServer, clock);
    await quota.returnAll();
    const left = await ownership.handOverAll(AbortSignal.timeout(handoverTimeoutMs));
    await membership.leave();
    telemetry.stateChange("stopped", { shardsLeft: left.length });
}
