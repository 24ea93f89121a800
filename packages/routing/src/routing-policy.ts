/** Numbers that the routing decisions depend on. */
export interface RoutingPolicy {
    /**
     * Connections to one target. 48 instances with 8 each stay below the 400 connections that a target takes.
     * @default 8
     */
    connectionsPerTarget: number;
    /**
     * Time limit of a connection attempt in milliseconds.
     * @default 1000
     */
    connectTimeoutMs: number;
    /**
     * Largest in-flight limit of a target, which is its number of slots.
     * @default 6
     */
    maxInFlight: number;
    /**
     * In-flight limit that a warm target starts with.
     * @default 3
     */
    initialInFlight: number;
    /**
     * Waiting requests of one service.
     * @default 256
     */
    maxWaiting: number;
    /**
     * Time in milliseconds during which a new target is cold, or a returning one gets a growing share.
     * @default 10000
     */
    slowStartMs: number;
    /**
     * Time in milliseconds that a draining sign other than the list's stays in force after it was last seen.
     * @default 60000
     */
    drainingMs: number;
    /**
     * Pause in milliseconds after a shed response without Retry-After.
     * @default 250
     */
    shedPauseMs: number;
    /**
     * Lengths of the evidence windows in milliseconds, in ascending order. Short ones are free of the time before a
     * fault sooner, long ones find bad targets that get few requests.
     * @default [1000, 1500, 2500, 4000]
     */
    windowsMs: readonly number[];
    /**
     * Time between evaluations in milliseconds.
     * @default 250
     */
    evaluationMs: number;
    /**
     * Fraction of a service's listed targets that ejection must leave healthy. The loss of one failure domain out of
     * three plus one gray target still fits: 8 of 20 targets and 6 of 15 may be ejected.
     * @default 0.6
     */
    floor: number;
    /**
     * First ejection time in milliseconds; it doubles with each consecutive ejection.
     * @default 5000
     */
    ejectionMs: number;
    /**
     * Longest ejection time in milliseconds.
     * @default 300000
     */
    maxEjectionMs: number;
    /**
     * Age in milliseconds up to which fleet decisions replace the instance's own ones.
     * @default 10000
     */
    fleetDecisionMs: number;
    /**
     * Time between two probes of a target by one prober in milliseconds.
     * @default 2000
     */
    probeIntervalMs: number;
    /**
     * Time limit of a probe in milliseconds.
     * @default 1000
     */
    probeTimeoutMs: number;
}

/** Policy used for the fields that are not given. */
export const defaultRoutingPolicy: Readonly<RoutingPolicy> = {
    connectionsPerTarget: 8,
    connectTimeoutMs: 1_000,
    maxInFlight: 6,
    initialInFlight: 3,
    maxWaiting: 256,
    slowStartMs: 10_000,
    drainingMs: 60_000,
    shedPauseMs: 250,
    windowsMs: [1_000, 1_500, 2_500, 4_000],
    evaluationMs: 250,
    floor: 0.6,
    ejectionMs: 5_000,
    maxEjectionMs: 300_000,
    fleetDecisionMs: 10_000,
    probeIntervalMs: 2_000,
    probeTimeoutMs: 1_000,
};

/** Fills in the defaults. */
export function resolveRoutingPolicy(policy: Partial<RoutingPolicy> = {}): RoutingPolicy {
    return { ...defaultRoutingPolicy, ...policy };
}

/** Returns the length of the longest evidence window in milliseconds. */
export function longestWindow(policy: Pick<RoutingPolicy, "windowsMs">): number {
    return Math.max(...policy.windowsMs);
}
