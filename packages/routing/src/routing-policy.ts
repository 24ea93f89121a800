/** Parameters of routing decisions. */
export interface RoutingPolicy {
    /**
     * Maximum connections to one target. 48 instances with 8 each stay below the 400 connections that a target accepts.
     * @default 8
     */
    connectionsPerTarget: number;
    /**
     * Timeout for establishing a connection in milliseconds.
     * @default 1000
     */
    connectTimeoutMs: number;
    /**
     * Maximum in-flight limit of a target, which is its number of slots.
     * @default 6
     */
    maxInFlight: number;
    /**
     * Initial in-flight limit of a target; a cold target may use only a share of it.
     * @default 3
     */
    initialInFlight: number;
    /**
     * Maximum number of waiting requests of one service.
     * @default 256
     */
    maxWaitingRequests: number;
    /**
     * Time in milliseconds during which a new target is cold, or a target returning from ejection gets a growing share.
     * @default 10000
     */
    slowStartMs: number;
    /**
     * Time in milliseconds for which a draining signal from a response or a probe stays in force after the last one.
     * @default 60000
     */
    drainingMs: number;
    /**
     * Pause in milliseconds after a shed response without Retry-After.
     * @default 250
     */
    shedPauseMs: number;
    /**
     * Lengths of the evidence windows in milliseconds, in ascending order. After a fault begins, short windows sooner
     * exclude the time before it; long ones detect bad targets that get few requests.
     * @default [1000, 1500, 2500, 4000]
     */
    windowsMs: readonly number[];
    /**
     * Interval between evaluations of the evidence in milliseconds.
     * @default 250
     */
    evaluationIntervalMs: number;
    /**
     * Minimum fraction of a service's listed targets that ejection must leave healthy. 0.6 allows 8 of 20 or 6 of 15
     * ejections, enough for the loss of one failure domain out of three plus one gray failure.
     * @default 0.6
     */
    minHealthyFraction: number;
    /**
     * Duration of the first ejection in milliseconds; it doubles with each consecutive ejection.
     * @default 5000
     */
    baseEjectionMs: number;
    /**
     * Maximum duration of an ejection in milliseconds.
     * @default 300000
     */
    maxEjectionMs: number;
    /**
     * Age in milliseconds up to which the coordinator's decisions replace the instance's local ones.
     * @default 10000
     */
    fleetDecisionMaxAgeMs: number;
    /**
     * Interval between two probes of a target by one prober in milliseconds.
     * @default 2000
     */
    probeIntervalMs: number;
    /**
     * Timeout of a probe in milliseconds.
     * @default 1000
     */
    probeTimeoutMs: number;
}

/** Default values of the routing policy. */
export const defaultRoutingPolicy: Readonly<RoutingPolicy> = {
    connectionsPerTarget: 8,
    connectTimeoutMs: 1_000,
    maxInFlight: 6,
    initialInFlight: 3,
    maxWaitingRequests: 256,
    slowStartMs: 10_000,
    drainingMs: 60_000,
    shedPauseMs: 250,
    windowsMs: [1_000, 1_500, 2_500, 4_000],
    evaluationIntervalMs: 250,
    minHealthyFraction: 0.6,
    baseEjectionMs: 5_000,
    maxEjectionMs: 300_000,
    fleetDecisionMaxAgeMs: 10_000,
    probeIntervalMs: 2_000,
    probeTimeoutMs: 1_000,
};

/** Returns the policy with defaults for the missing fields. */
export function resolveRoutingPolicy(policy: Partial<RoutingPolicy> = {}): RoutingPolicy {
    return { ...defaultRoutingPolicy, ...policy };
}

/** Returns the length of the longest evidence window in milliseconds. */
export function longestWindow(policy: Pick<RoutingPolicy, "windowsMs">): number {
    return Math.max(...policy.windowsMs);
}
