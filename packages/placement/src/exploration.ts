/**
 * Probing of suspected targets with callers' requests.
 *
 * Load pattern: a third of the targets of a busy service fail for a few seconds, one after the other. A target that is sound
 * again receives no request from which the instances could learn it, since requests that cannot be retried avoid it until its
 * evidence has decayed. Meanwhile the other targets carry its load, queue, and are suspected as well. Idempotent requests
 * try such targets again while there is budget for their retries; a target that showed an outcome to any instance just now is
 * left out, so that all instances together send it about one such request per interval.
 */

import type { Candidate, RequestProfile } from "./placement";

/** State of a target that decides whether a request probes it. */
export interface ProbeCandidate
    extends Pick<Candidate, "unhealthyProbability" | "pathFailureProbability" | "isSameDomain" | "isOutsideSet">
{
    /**
     * Time in milliseconds since any instance last observed an outcome at the target, or this one sent a request there;
     * Infinity before the first one.
     */
    msSinceOutcome: number;
}

/** Minimum time in milliseconds without any outcome of a suspected target before a request probes it. */
const probeIntervalMs = 500;
/** Probability of being unhealthy from which a target receives too few requests to show that it is sound. */
const probedProbability = 0.1;
/** Maximum probability of a broken path; a probe over such a path says nothing about the target. */
const maxPathFailureProbability = 0.5;
/** Largest transfer in kilobytes with which a request probes a target of another failure domain. */
const maxCrossDomainKb = 8;
/** Share of the retryable requests that may probe a target. */
const probeShare = 0.35;

/** Returns a suspected target that a retryable request should probe; undefined when there is none. */
export function chooseProbe<T extends ProbeCandidate>(
    candidates: readonly T[],
    { transferKb }: Pick<RequestProfile, "transferKb">,
    random: () => number,
): T | undefined {
    if (random() >= probeShare) {
        return undefined;
    }
    const due = candidates.filter(candidate =>
        (candidate.isSameDomain || transferKb <= maxCrossDomainKb)
        // Up to 24 requests queued at a target that all 118 instances probed before its first outcome had reached them.
        && candidate.isOutsideSet !== true
        && candidate.unhealthyProbability >= probedProbability
        && candidate.msSinceOutcome >= probeIntervalMs
        && candidate.pathFailureProbability <= maxPathFailureProbability
    );
    return due[Math.floor(random() * due.length)];
}
