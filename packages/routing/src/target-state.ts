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

/** State of a target at this instance. */
export interface TargetState {
    target: Target;
    pool: TargetPool;
    limit: InFlightLimit;
    inFlight: number;
    pendingAttempts: Set<AttemptProgress>;
    evidenceWindow: EvidenceWindow;
    /** Whether the platform's list marks the target as leaving. */
    listedLeaving: boolean;
    /** Monotonic time until which a draining signal from a response or a health probe is in force. */
    drainingUntil: number;
    /** Monotonic time until which the target is cold. */
    coldUntil: number;
    /** Monotonic time at which a slow start began. */
    slowStartAt: number | undefined;
    /** Monotonic time until which the target gets no new requests because of a shed response. */
    pausedUntil: number;
    ejected: boolean;
    ejectionHistory: EjectionHistory | undefined;
    lastTrafficAt: number;
    lastProbeAt: number;
    probeInProgress: boolean;
    lastProbeFailed: boolean;
    lastProbeSucceededAt: number;
    /** Probes since the last evidence collection. */
    probes: number;
    probeFailures: number;
}

/** Returns the base URL of a listed target. */
export function originOf(instance: ListedInstance): string {
    return `http://${instance.address}:${instance.port}`;
}

/** Creates the state of a newly listed target. */
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
        pendingAttempts: new Set(),
        evidenceWindow: createEvidenceWindow(longestWindow(policy)),
        listedLeaving: instance.state === instanceState.leaving,
        drainingUntil: -Infinity,
        coldUntil: cold ? now + policy.slowStartMs : -Infinity,
        slowStartAt: cold ? now : undefined,
        pausedUntil: -Infinity,
        ejected: false,
        ejectionHistory: undefined,
        lastTrafficAt: -Infinity,
        lastProbeAt: -Infinity,
        probeInProgress: false,
        lastProbeFailed: false,
        lastProbeSucceededAt: -Infinity,
        probes: 0,
        probeFailures: 0,
    };
}

/** Returns whether a target gets no new requests because it is leaving. */
export function isLeaving(state: TargetState, now: number): boolean {
    return state.listedLeaving || now < state.drainingUntil;
}

/** Returns whether a target is cold, which means new or restarted. */
export function isCold(state: TargetState, now: number): boolean {
    return now < state.coldUntil;
}

/** Marks a target as draining. A target that stays listed after the draining time has restarted and is cold. */
export function markDraining(state: TargetState, now: number, policy: RoutingPolicy): void {
    state.drainingUntil = now + policy.drainingMs;
    state.coldUntil = state.drainingUntil + policy.slowStartMs;
    state.slowStartAt = state.drainingUntil;
}

/** Returns the traffic of a target relative to that of a warm one, from 0 to 1. */
export function trafficShare(state: TargetState, now: number, policy: RoutingPolicy): number {
    return slowStartShare(state.slowStartAt, now, policy.slowStartMs);
}

/** Returns the number of slots that this instance may use on a target now. */
export function usableSlots(state: TargetState, now: number, policy: RoutingPolicy): number {
    return admittedSlots(state.limit.value, trafficShare(state, now, policy));
}

/** Returns whether a target may serve requests, now or after a pause that a shed response requested. */
export function isUsable(state: TargetState, now: number): boolean {
    return !state.ejected && !isLeaving(state, now);
}
