/**
 * Probes of targets that are ejected, cold or without recent traffic.
 */

import { countHealthy, minimumHealthy } from "./ejection-floor";
import { probeHealth } from "./health-probe";
import { isProbeDue } from "./prober-assignment";
import { floorTargets } from "./service-state";
import type { ServiceState } from "./service-state";
import { startDraining } from "./target-draining";
import type { DrainingParts } from "./target-draining";
import { isCold, isLeaving } from "./target-state";
import type { TargetState } from "./target-state";

/** Dependencies of the probes. */
export interface ProbingParts extends DrainingParts {
    /** Returns whether this instance probes a target. */
    isProber(target: string): boolean;
}

/** Creates a function that probes the targets of a service that are due. */
export function createTargetProbing(parts: ProbingParts): (service: ServiceState) => void {
    const { clock, policy } = parts;

    async function probe(service: ServiceState, state: TargetState): Promise<void> {
        state.probeInProgress = true;
        state.lastProbeAt = clock.now();
        const result = await probeHealth(state.pool.dispatcher(), policy.probeTimeoutMs);
        const now = clock.now();
        state.probeInProgress = false;
        state.probes += 1;
        state.probeFailures += result.healthy ? 0 : 1;
        state.lastProbeFailed = !result.healthy;
        if (result.healthy) {
            state.lastProbeSucceededAt = now;
        }
        // The health endpoint may be wrong, so it alone cannot reduce the healthy targets below the floor.
        const targets = floorTargets(service, now);
        const ejected = new Set([...service.targets.values()].filter(other => other.ejected).map(s => s.target.id));
        if (
            result.draining
            && countHealthy(targets, ejected) > minimumHealthy(targets.length, policy.minHealthyFraction)
        ) {
            startDraining(parts, state, "health");
        }
    }

    function probeTargets(service: ServiceState): void {
        const now = clock.now();
        for (const state of service.targets.values()) {
            const due = !state.probeInProgress && !isLeaving(state, now)
                && isProbeDue({ ...state, cold: isCold(state, now) }, now, policy.probeIntervalMs);
            if (due && parts.isProber(state.target.id)) {
                void probe(service, state);
            }
        }
    }

    return probeTargets;
}
