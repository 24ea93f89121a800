/**
 * Cost of a target's load for one request.
 *
 * Load pattern: requests of 94 ms with an objective of 300 ms share targets with requests of 577 ms with an objective of
 * 2,000 ms. A wait that makes the one late does not matter to the other.
 */

/** Expected time of one request at a target. */
export interface ExpectedFinish {
    /** Expected time in the target's queue in milliseconds. */
    waitMs: number;
    /** Expected service time of the request at this target in milliseconds. */
    serviceMs: number;
    /** Time in milliseconds within which the request meets its latency objective. */
    objectiveMs: number;
    /** Service time at the target relative to the typical target of the service. */
    slowdown: number;
    /** Whether the request has little slack; undefined while the requests of the service are not separated. */
    isTight: boolean | undefined;
    /** Whether the target is reserved for requests with little slack. */
    isReserved: boolean;
}

/** Load of a target that a cost is derived from. */
export interface LoadedCandidate {
    /** Requests at the target divided by its slots; above 1, requests wait there. */
    utilisation: number;
    /** Expected time of the request there; absent when targets are chosen by the number of requests. */
    finish?: ExpectedFinish | undefined;
}

/** Cost of a target whose slots are all in use; below that, the cost grows with the square of the utilisation. */
const fullUtilisationCost = 0.06;
/** Cost of as many queued requests as the target has slots. */
const queueCost = 0.5;
/**
 * Cost of an expected finish at the objective. Reports are old when the instances read them: with four times this cost, all of
 * them choose the targets that were the least busy, and requests wait longer than with random choices.
 */
const objectiveCost = 0.2;
/** Cost of a target that takes twice the typical time. */
const slowdownCost = 0.05;
/** Cost of a reserved target for a request with slack, and of another target for one without; a long queue outweighs both. */
const reservedCost = 0.3;
const unreservedCost = 0.2;

function separationCost({ isTight, isReserved }: ExpectedFinish): number {
    if (isTight === undefined || isTight === isReserved) {
        return 0;
    }
    return isReserved ? reservedCost : unreservedCost;
}

/** Returns the share of a request's value that is lost through the load of a target. */
export function loadCost({ utilisation, finish }: LoadedCandidate): number {
    if (finish !== undefined) {
        const finishShare = (finish.waitMs + finish.serviceMs) / Math.max(1, finish.objectiveMs);
        return objectiveCost * finishShare + slowdownCost * (finish.slowdown - 1) + separationCost(finish);
    }
    const busyShare = Math.min(1, utilisation);
    return fullUtilisationCost * busyShare ** 2 + queueCost * Math.max(0, utilisation - 1);
}
