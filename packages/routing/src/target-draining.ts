import type { Clock } from "@trefoilladder/clock";
import type { Telemetry } from "@trefoilladder/telemetry";
import type { RoutingPolicy } from "./routing-policy";
import { isLeaving, markDraining } from "./target-state";
import type { TargetState } from "./target-state";

/** Dependencies of the draining of targets. */
export interface DrainingParts {
    clock: Clock;
    telemetry: Telemetry | undefined;
    policy: RoutingPolicy;
}

/** Marks a target as draining because of a signal from a source, and logs it unless the target is leaving already. */
export function startDraining({ clock, telemetry, policy }: DrainingParts, state: TargetState, source: string): void {
    const now = clock.now();
    if (!isLeaving(state, now)) {
        telemetry?.stateChange("target_leaving", { target: state.target.id, source });
    }
    markDraining(state, now, policy);
}
