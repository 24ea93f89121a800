/**
 * Graceful shutdown: the load balancer first takes the instance out of rotation, then running requests finish.
 */

import type { Clock } from "@trefoilladder/clock";
import type { DecisionLog } from "@trefoilladder/telemetry";
import type { Server } from "node:http";
import type { CallerConnections } from "./caller-connections";

/** Time until the load balancer removes an unready instance, in milliseconds: two checks a second apart. */
const balancerRemovalMs = 2_600;
/** Time before the kill at which the process exits by itself, in milliseconds. */
const exitMarginMs = 350;
const pollMs = 50;

/** Monotonic times of a planned stop, in milliseconds. */
export interface StopTimes {
    /** Time from which no further request is accepted. */
    closesAt: number;
    /** Time at which the process exits, even if requests are still running. */
    endsAt: number;
}

/** Returns the times of a stop that begins now, when the process is killed after `stopMs`. */
export function planStop(now: number, stopMs: number): StopTimes {
    return { closesAt: now + Math.min(balancerRemovalMs, stopMs / 2), endsAt: now + stopMs - exitMarginMs };
}

/** Returns whether a request can finish before the process exits; `typicalMs` is its typical processing time, undefined while unknown. */
export function canFinish({ closesAt, endsAt }: StopTimes, now: number, typicalMs = 0): boolean {
    return now < closesAt && now + typicalMs < endsAt;
}

/** Closes the callers' server; resolves when all responses have been sent or `endsAt` has passed. */
export async function stopServing(parts: {
    server: Server;
    connections: CallerConnections;
    clock: Clock;
    log: DecisionLog;
    times: StopTimes;
}): Promise<void> {
    const { server, connections, clock, log, times } = parts;
    const startedAt = clock.now();
    await clock.sleep(times.closesAt - startedAt);
    server.close();
    while (clock.now() < times.endsAt && connections.openCount > 0) {
        connections.closeIdle();
        await clock.sleep(pollMs);
    }
    log.lifecycle("stopped", { ms: Math.round(clock.now() - startedAt), cutOff: connections.pendingCount });
}
