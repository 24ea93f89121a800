/**
 * Probability that a target is sick, from outcomes that all instances share.
 *
 * Load pattern: each instance reaches a given target about once in eight seconds, while a gray failure lasts about five
 * seconds and leaves health checks good. A two-state model (sound, sick) turns few outcomes into a usable probability
 * and forgets them at the rate at which targets change state.
 */

/** Outcomes that say something about a target. */
export const outcome = {
    success: "success",
    /** The target answered with an error at once, or its answer was unusable. */
    failure: "failure",
    /** The target answered with an error after the usual time of work, as it does for requests that fail anywhere. */
    requestFailure: "request_failure",
    /** No answer within the time that peers need. */
    late: "late",
    /** No answer by the end of the request's time, which even a busy target seldom needs. */
    timedOut: "timed_out",
    /** The target turned the request away without running it. */
    shed: "shed",
    /** No connection could be made, or the connection was silent. */
    unreachable: "unreachable",
} as const;

/** One of the outcomes of an attempt. */
export type Outcome = typeof outcome[keyof typeof outcome];

/** Probabilities of each outcome at a sick and at a sound target. */
const likelihoods: Record<Outcome, { sick: number; sound: number; }> = {
    success: { sick: 0.4, sound: 0.98 },
    failure: { sick: 0.6, sound: 0.018 },
    request_failure: { sick: 0.03, sound: 0.012 },
    late: { sick: 0.35, sound: 0.04 },
    timed_out: { sick: 0.35, sound: 0.012 },
    shed: { sick: 0.4, sound: 0.08 },
    unreachable: { sick: 0.6, sound: 0.02 },
};

/** Mean time in milliseconds that a target stays sick. */
const meanSickMs = 4_500;
/** Share of time that targets are sick. */
const usualSick = 0.07;
/** Bounds of the probability, so that old evidence can be outweighed by a few new outcomes. */
const minSick = 0.01;
const maxSick = 0.98;

/** State of the model for one target. */
export interface TargetHealth {
    /**
     * Updates the probability by an outcome; `weight` is 1 for a full outcome and less for an indirect one. `usualShare` is
     * the outcome's share at all targets of the service: what happens at all of them says nothing against one. Returns the
     * updated probability.
     */
    observe(kind: Outcome, now: number, weight?: number, usualShare?: number): number;
    /** Returns the probability that the target is sick at a monotonic time in milliseconds. */
    sick(now: number): number;
}

/** Returns the natural logarithm of the likelihood ratio of an outcome. */
function evidenceOf(kind: Outcome, usualShare: number): number {
    const { sick, sound } = likelihoods[kind];
    return kind === outcome.success
        ? Math.log(sick / sound)
        : Math.max(0, Math.log(sick / Math.max(sound, usualShare)));
}

/** Creates the health of a target without evidence. */
export function createTargetHealth(startedAt: number): TargetHealth {
    let probability = usualSick;
    let updatedAt = startedAt;

    function advance(now: number): void {
        const elapsedMs = Math.max(0, now - updatedAt);
        probability = usualSick + (probability - usualSick) * Math.exp(-elapsedMs / meanSickMs);
        updatedAt = Math.max(updatedAt, now);
    }

    return {
        observe(kind, now, weight = 1, usualShare = 0) {
            advance(now);
            const odds = probability / (1 - probability) * Math.exp(evidenceOf(kind, usualShare) * weight);
            probability = Math.min(maxSick, Math.max(minSick, odds / (1 + odds)));
            return probability;
        },
        sick(now) {
            advance(now);
            return probability;
        },
    };
}
