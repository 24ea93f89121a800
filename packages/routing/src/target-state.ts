import { instanceState } from "@trefoilladder/platform";
import type { ListedInstance } from "@trefoilladder/platform";
import type { AttemptProgress } from "./attempt-progress";
import type { EjectionHistory } from "./ejection-backoff";
import { createEvidenceWindow } from "./evidence-window";
import type { EvidenceWindow } from "./evidence-window";
import { createInFlightLimit } from "./in-flight-limit";
import type { InFlightLimit } from "./in-flight-limit";
import { longestWindow } from "./routing-policy";
import type { RoutingPolicy } from "./routing-policy";
import { admittedSlots, slowStartShare } from "./slow-start";
import type { Target } from "./target";
import type { createTargetPool, TargetPool } from "./target-pool";

/** What one instance knows of a target. */
export interface TargetState {
    target: Target;
    pool: TargetPool;
    limit: InFlightLimit;
    inFlight: number;
    pending: Set<AttemptProgress>;
    window: EvidenceWindow;
    /** Whether the platform's list says that the target is leaving. */
    listedLeaving: boolean;
    /** Monotonic time up to which a draining sign seen elsewhere than on the list is in force. */
    drainingUntil: number;
    /** Monotonic time up to which the target is cold. */
    coldUntil: number;
    /** Monotonic time at which a slow start began. */
    slowStartAt: number | undefined;
    /** Monotonic time up to which a shed response asked for a pause. */
    pausedUntil: number;
    ejected: boolean;
    ejections: EjectionHistory | undefined;
    lastTrafficAt: number;
    lastProbeAt: number;
    probing: boolean;
    lastProbeFailed: boolean;
    lastProbeSucceededAt: number;
    /** Probes since the evidence was last collected. */
    probes: number;
    probeFailures: number;
}

/** Returns the base URL of a listed target. */
export function originOf(instance: ListedInstance): string {
    return `http://${instance.address}:${instance.port}`;
}

/** Creates the state of a target that has just been listed. */
export function createTargetState(
    instance: ListedInstance,
    context: { now: number; cold: boolean; policy: RoutingPolicy; createPool: typeof createTargetPool; },
): TargetState {
    const { now, cold, policy } = context;
    const origin = originOf(instance);
    return {
        target: { id: instance.id, service: instance.service ?? "", origin, domain: instance.domain },
        pool: context.createPool(origin, {
            connections: policy.connectionsPerTarget,
            connectTimeoutMs: policy.connectTimeoutMs,
        }),
        limit: createInFlightLimit(policy.initialInFlight),
        inFlight: 0,
        pending: new Set(),
        window: createEvidenceWindow(longestWindow(policy)),
        listedLeaving: instance.state === instanceState.leaving,
        drainingUntil: -Infinity,
        coldUntil: cold ? now + policy.slowStartMs : -Infinity,
        slowStartAt: cold ? now : undefined,
        pausedUntil: -Infinity,
        ejected: false,
        ejections: undefined,
        lastTrafficAt: -Infinity,
        lastProbeAt: -Infinity,
        probing: false,
        lastProbeFailed: false,
        lastProbeSucceededAt: -Infinity,
        probes: 0,
        probeFailures: 0,
    };
}

/** Tells whether a target gets no new requests because it leaves. */
export function isLeaving(state: TargetState, now: number): boolean {
    return state.listedLeaving || now < state.drainingUntil;
}

/** Tells whether a target is new. */
export function isCold(state: TargetState, now: number): boolean {
    return now < state.coldUntil;
}

/** Marks a target as draining; one that stays listed beyond that time has restarted and begins cold. */
export function markDraining(state: TargetState, now: number, policy: RoutingPolicy): void {
    state.drainingUntil = now + policy.drainingMs;
    state.coldUntil = state.drainingUntil + policy.slowStartMs;
    state.slowStartAt = state.drainingUntil;
}

/** Returns the share of a warm target's traffic that a target gets now. */
export function shareOf(state: TargetState, now: number, policy: RoutingPolicy): number {
    return slowStartShare(state.slowStartAt, now, policy.slowStartMs);
}

/** Returns the slots that this instance may use on a target now. */
export function slotsOf(state: TargetState, now: number, policy: RoutingPolicy): number {
    return admittedSlots(state.limit.value, shareOf(state, now, policy));
}

/** Tells whether a target takes part in serving requests now or after a pause. */
export function isUsable(state: TargetState, now: number): boolean {
    return !state.ejected && !isLeaving(state, now);
}
