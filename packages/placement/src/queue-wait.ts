/**
 * Time that a request waits in a target's queue before the target runs it.
 *
 * Load pattern: while most targets of a service are unhealthy, the healthy ones carry its whole load and requests queue
 * there. Their responses are late because of the queue. If that counted as evidence of poor health, every target would be
 * suspected, and requests that cannot be retried would go to failing targets.
 */

/** Service time in milliseconds that is assumed before one is known. */
const defaultServiceTimeMs = 400;
/** Longest wait that explains a late response, in service times. The bound is needed because slow targets have queues too. */
const maxExplainedServiceTimes = 2;

/** Returns the expected wait in milliseconds at a target, given its requests divided by its slots. */
export function queueWaitMs(utilisation: number, serviceTimeMs: number | undefined): number {
    return Math.max(0, utilisation - 1) * (serviceTimeMs ?? defaultServiceTimeMs);
}

/** Returns the time in milliseconds by which a target's queue may delay its response. */
export function explainedWaitMs(utilisation: number, serviceTimeMs: number | undefined): number {
    return Math.min(
        queueWaitMs(utilisation, serviceTimeMs),
        maxExplainedServiceTimes * (serviceTimeMs ?? defaultServiceTimeMs),
    );
}
