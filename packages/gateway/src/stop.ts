/**
 * Planned stop: callers are sent elsewhere first, then running requests finish.
 */

import type { Clock } from "@trefoilladder/clock";
import type { DecisionLog } from "@trefoilladder/telemetry";
import type { Server } from "node:http";

/** Time until the balancer has taken an unready instance out, in milliseconds: two checks a second apart. */
const leaveBalancerMs = 2_600;
/** Time before the kill at which the process ends by itself, in milliseconds. */
const exitMarginMs = 350;
const pollMs = 50;

/** Monotonic times of a planned stop, in milliseconds. */
export interface StopTimes {
    /** From when on no further request is taken. */
    closesAt: number;
    /** When the process ends, whatever still runs. */
    endsAt: number;
}

/** Returns the times of a stop that begins now and ends by a kill after `stopMs`. */
export function planStop(now: number, stopMs: number): StopTimes {
    return { closesAt: now + Math.min(leaveBalancerMs, stopMs / 2), endsAt: now + stopMs - exitMarginMs };
}

/** Tells whether a request can be finished before the stop; `usualMs` is the usual time of its work, undefined while unknown. */
export function canFinish({ closesAt, endsAt }: StopTimes, now: number, usualMs = 0): boolean {
    return now < closesAt && now + usualMs < endsAt;
}

/** Ends the server of the callers; resolves when no request runs or the time is over. */
export async function stopServing(parts: {
    server: Server;
    clock: Clock;
    log: DecisionLog;
    times: StopTimes;
    /** Number of requests that run. */
    running(): number;
}): Promise<void> {
    const { server, clock, log, times } = parts;
    const startedAt = clock.now();
    await clock.sleep(times.closesAt - startedAt);
    server.close();
    while (clock.now() < times.endsAt) {
        server.closeIdleConnections();
        const open = await countConnections(server);
        if (parts.running() === 0 && open === 0) {
            break;
        }
        if (parts.running() === 0) {
            // What is left are connections on which no request was read.
            server.closeAllConnections();
        }
        await clock.sleep(pollMs);
    }
    log.lifecycle("stopped", { ms: Math.round(clock.now() - startedAt), cutOff: parts.running() });
}

function countConnections(server: Server): Promise<number> {
    return new Promise(resolve => server.getConnections((error, count) => resolve(error === null ? count : 0)));
}
