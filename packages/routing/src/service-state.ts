import type { Attempt, SlotRequest } from "./attempt";
import type { Ejection } from "./ejection-decisions";
import type { RoutingFailure } from "./routing-failure";
import type { TargetState } from "./target-state";
import { createWaitQueue } from "./wait-queue";
import type { WaitQueue } from "./wait-queue";

/** A request that waits for a slot. */
export interface SlotWaiter {
    organisation: string;
    request: SlotRequest;
    grant(attempt: Attempt): void;
    refuse(failure: RoutingFailure): void;
}

/** Decisions of the service's coordinator. */
export interface FleetDecisions {
    receivedAt: number;
    ejections: Ejection[];
    floorReached: boolean;
}

/** What one instance knows of a service. */
export interface ServiceState {
    name: string;
    targets: Map<string, TargetState>;
    queue: WaitQueue<SlotWaiter>;
    /** Average time that a request holds a slot in milliseconds. */
    holdMs: number;
    /** Ejections decided by this instance alone. */
    own: Map<string, Ejection>;
    fleet: FleetDecisions | undefined;
    /** Monotonic time up to which the floor counts as reached. */
    floorReachedUntil: number;
    floorReached: boolean;
    collectedAt: number;
}

/** Creates the state of a service without targets. */
export function createServiceState(name: string, now: number, maxWaiting: number): ServiceState {
    return {
        name,
        targets: new Map(),
        queue: createWaitQueue(maxWaiting),
        holdMs: 0,
        own: new Map(),
        fleet: undefined,
        floorReachedUntil: -Infinity,
        floorReached: false,
        collectedAt: now,
    };
}
