import type { Attempt, SlotRequest } from "./attempt";
import type { Ejection } from "./ejection-decisions";
import type { FloorTarget } from "./ejection-floor";
import type { RoutingFailure } from "./routing-failure";
import { isCold, isLeaving } from "./target-state";
import type { TargetState } from "./target-state";
import { createWaitQueue } from "./wait-queue";
import type { WaitQueue } from "./wait-queue";

/** A request that waits for a slot. */
export interface SlotWaiter {
    organisation: string;
    request: SlotRequest;
    grant(attempt: Attempt): void;
    reject(failure: RoutingFailure): void;
}

/** Ejection decisions of the service's coordinator. */
export interface FleetDecisions {
    receivedAt: number;
    ejections: Ejection[];
    floorReached: boolean;
}

/** State of a service at this instance. */
export interface ServiceState {
    name: string;
    targets: Map<string, TargetState>;
    queue: WaitQueue<SlotWaiter>;
    /** Average time that a request holds a slot in milliseconds. */
    averageHoldMs: number;
    /** Ejections that this instance decided without a coordinator, by target id. */
    localEjections: Map<string, Ejection>;
    fleetDecisions: FleetDecisions | undefined;
    /** Monotonic time until which the floor counts as reached. */
    floorReachedUntil: number;
    floorReached: boolean;
    evidenceCollectedAt: number;
}

/** Creates the state of a service without targets. */
export function createServiceState(name: string, now: number, maxWaiting: number): ServiceState {
    return {
        name,
        targets: new Map(),
        queue: createWaitQueue(maxWaiting),
        averageHoldMs: 0,
        localEjections: new Map(),
        fleetDecisions: undefined,
        floorReachedUntil: -Infinity,
        floorReached: false,
        evidenceCollectedAt: now,
    };
}

/** Returns what the floor depends on of the targets of a service. */
export function floorTargets(service: ServiceState, now: number): FloorTarget[] {
    return [...service.targets.values()].map(state => ({
        id: state.target.id,
        leaving: isLeaving(state, now),
        cold: isCold(state, now),
    }));
}
