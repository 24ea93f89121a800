/**
 * Choice of a target for one attempt.
 *
 * Load pattern: slots are few, some targets are unhealthy for seconds, and instances decide independently. The cost of a
 * target is the expected share of the request's value that is lost there. A random term is added to each cost before the
 * lowest one is chosen, so that instances with the same view do not all choose the same target.
 */

import { loadCost } from "./load-cost";
import type { ExpectedFinish } from "./load-cost";

/** State of a target that the choice depends on. */
export interface Candidate {
    /** Probability that the target is unhealthy. */
    unhealthyProbability: number;
    /** Probability that the network path from this instance to the target is broken. */
    pathFailureProbability: number;
    /** Requests at the target divided by its slots; above 1, requests wait there. */
    utilisation: number;
    /** Expected time of the request at the target; absent when targets are chosen by the number of requests. */
    finish?: ExpectedFinish | undefined;
    isCold: boolean;
    /** Whether the target is in this instance's failure domain. */
    isSameDomain: boolean;
    /** Whether the target is outside the set that this instance prefers; absent for services without a set. */
    isOutsideSet?: boolean;
    /** Whether a request to a target of such a service needs a new connection. */
    needsConnection?: boolean;
}

/** Properties of the request that the choice depends on. */
export interface RequestProfile {
    /** Whether a failed attempt can be retried. */
    isRetryable: boolean;
    /** Size in kilobytes of the request's body and of a typical response. */
    transferKb: number;
}

/** Share of requests that fail at an unhealthy target. */
const unhealthyFailureShare = 0.6;
/** Share of a request's value that a failed attempt costs when a retry can follow. */
const retryableFailureCost = 0.35;
/**
 * Cost of a failed attempt when no retry can follow. It exceeds the request's whole value, so that such requests go to
 * targets with recent successes, and retryable requests probe the other targets.
 */
const finalFailureCost = 2;
/** Cost of a cold target, which is slow in its first seconds. */
const coldCost = 0.06;
/** Cost of a request to another failure domain, and the additional cost of each kilobyte of its body and response. */
const crossDomainCost = 0.008;
const crossDomainKbCost = 0.0035;
/**
 * Cost of a target outside the instance's set, the additional cost of such a target in another failure domain, and the cost of a
 * new connection. Their sum is below the cost of a queue.
 */
const outsideSetCost = 0.22;
const outsideSetCrossDomainCost = 0.1;
const newConnectionCost = 0.07;
/**
 * Scale of the random term. With a smaller scale, all instances choose the targets that reported the lowest load, and
 * requests queue there, since reports are up to 200 ms old.
 */
const noiseScale = 0.05;

/** Returns the expected share of a request's value that is lost at a target. */
export function expectedCost(candidate: Candidate, request: RequestProfile): number {
    const failureCost = request.isRetryable ? retryableFailureCost : finalFailureCost;
    const healthyProbability = (1 - candidate.unhealthyProbability) * (1 - candidate.pathFailureProbability);
    const failureTerm = (1 - healthyProbability) * unhealthyFailureShare * failureCost;
    const domainTerm = candidate.isSameDomain ? 0 : crossDomainCost + crossDomainKbCost * request.transferKb;
    return failureTerm + loadCost(candidate) + domainTerm + (candidate.isCold ? coldCost : 0) + reuseTerm(candidate);
}

/** Returns the cost of leaving the targets to which this instance keeps connections. */
function reuseTerm({ isOutsideSet, needsConnection, isSameDomain }: Candidate): number {
    const connectionTerm = needsConnection === true ? newConnectionCost : 0;
    return isOutsideSet === true
        ? connectionTerm + outsideSetCost + (isSameDomain ? 0 : outsideSetCrossDomainCost)
        : connectionTerm;
}

/** Chooses a candidate of low cost; undefined without candidates. `random` returns numbers from 0 (included) to 1. */
export function chooseTarget<T extends Candidate>(
    candidates: readonly T[],
    request: RequestProfile,
    random: () => number,
): T | undefined {
    let chosen: T | undefined;
    let lowest = Infinity;
    for (const candidate of candidates) {
        // Gumbel noise makes the choice a softmin over the costs.
        const noise = noiseScale * Math.log(-Math.log(1 - random() * 0.999_999) + 1e-12);
        const cost = expectedCost(candidate, request) + noise;
        if (cost < lowest) {
            lowest = cost;
            chosen = candidate;
        }
    }
    return chosen;
}
