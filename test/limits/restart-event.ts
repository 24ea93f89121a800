import { warmUpMs } from "./fleet-simulation";
import type { FleetEvent } from "./fleet-simulation";

/** Time in milliseconds for which a restarted instance is away. */
const restartMs = 300;

/** Returns the restart of some instances at a time in milliseconds after the warm-up. */
export function restartAt(atMs: number, instances: readonly number[]): FleetEvent {
    return { kind: "restart", atMs: warmUpMs + atMs, instances, forMs: restartMs };
}
