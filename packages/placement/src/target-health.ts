/**
 * Probability that a target is unhealthy, from outcomes that all instances share.
 *
 * Load pattern: each instance sends a request to a given target about once in eight seconds, while a gray failure lasts
 * about five seconds and passes health checks. A two-state model (healthy, unhealthy) derives a usable probability from
 * few outcomes, and discounts them at the rate at which targets change state.
 */

/** Outcomes of an attempt that are evidence about a target. */
export const outcome = {
    success: "success",
    /** The target responded with an error at once, or its response was unusable. */
    failure: "failure",
    /** The target responded with an error after the typical service time, as for a request that fails at any target. */
    requestFailure: "request_failure",
    /** No response within the time that the other targets of the service need. */
    late: "late",
    /** No response before the request's timeout, which even a busy target rarely reaches. */
    timedOut: "timed_out",
    /** The target rejected the request without running it, although it had free slots or did not tell its load. */
    shed: "shed",
    /** The target rejected the request without running it because all its slots were in use. */
    overloaded: "overloaded",
    /** The connection could not be established, or nothing was received on it. */
    unreachable: "unreachable",
} as const;

/** Outcome of an attempt. */
export type Outcome = typeof outcome[keyof typeof outcome];

/** Probability of each outcome at an unhealthy and at a healthy target. */
const likelihoods: Record<Outcome, { unhealthy: number; healthy: number; }> = {
    success: { unhealthy: 0.4, healthy: 0.98 },
    failure: { unhealthy: 0.6, healthy: 0.018 },
    request_failure: { unhealthy: 0.03, healthy: 0.012 },
    late: { unhealthy: 0.35, healthy: 0.04 },
    timed_out: { unhealthy: 0.35, healthy: 0.012 },
    shed: { unhealthy: 0.4, healthy: 0.08 },
    // Equal, so that it is no evidence: a sound target that carries the load of unhealthy ones sheds as well.
    overloaded: { unhealthy: 0.1, healthy: 0.1 },
    unreachable: { unhealthy: 0.6, healthy: 0.02 },
};

/** Mean time in milliseconds that a target stays unhealthy. */
const meanUnhealthyMs = 4_500;
/** Share of time that targets are unhealthy, to which the probability decays without evidence. */
const baseProbability = 0.07;
/** Bounds of the probability, so that a few new outcomes can outweigh old evidence. */
const minProbability = 0.01;
const maxProbability = 0.98;

/** State of the model for one target. */
export interface TargetHealth {
    /**
     * Updates the probability with an outcome and returns it. `weight` is 1 for direct evidence and less for indirect.
     * `baselineShare` is the outcome's typical share at the targets of the service: an outcome that is common at all of them
     * is no evidence against one.
     */
    observe(kind: Outcome, now: number, weight?: number, baselineShare?: number): number;
    /** Returns the probability that the target is unhealthy at a monotonic time in milliseconds. */
    unhealthyProbability(now: number): number;
}

/** Returns the natural logarithm of the likelihood ratio of an outcome. */
function logLikelihoodRatio(kind: Outcome, baselineShare: number): number {
    const { unhealthy, healthy } = likelihoods[kind];
    return kind === outcome.success
        ? Math.log(unhealthy / healthy)
        : Math.max(0, Math.log(unhealthy / Math.max(healthy, baselineShare)));
}

/** Creates the health model of a target without evidence. */
export function createTargetHealth(startedAt: number): TargetHealth {
    let probability = baseProbability;
    let updatedAt = startedAt;

    function advance(now: number): void {
        const elapsedMs = Math.max(0, now - updatedAt);
        probability = baseProbability + (probability - baseProbability) * Math.exp(-elapsedMs / meanUnhealthyMs);
        updatedAt = Math.max(updatedAt, now);
    }

    return {
        observe(kind, now, weight = 1, baselineShare = 0) {
            advance(now);
            const odds = probability / (1 - probability) * Math.exp(logLikelihoodRatio(kind, baselineShare) * weight);
            probability = Math.min(maxProbability, Math.max(minProbability, odds / (1 + odds)));
            return probability;
        },
        unhealthyProbability(now) {
            advance(now);
            return probability;
        },
    };
}
