/**
 * Retry-After values of refused requests.
 *
 * Load pattern: the requests of many callers are refused within one second, retried at the same moment and refused again.
 * Random jitter spreads the waits over a range that grows with the share of refused requests.
 */

/** Shortest wait in seconds, about the time that a busy target takes to free a slot. */
const minSeconds = 0.1;
/** Longest wait in seconds; callers wait at most a third of their remaining time. */
const maxSeconds = 1.2;

/** Returns the wait in seconds for a service; `refusedShare` is the share of its requests that were refused, from 0 to 1. */
export function retryAfterSeconds(refusedShare: number, random: () => number): number {
    const rangeSeconds = minSeconds + (maxSeconds - minSeconds) * Math.min(1, Math.max(0, refusedShare));
    return Math.round((minSeconds + rangeSeconds * random()) * 1_000) / 1_000;
}

/** Jitter as a share of a known wait. It keeps callers from all retrying at the moment when the target has capacity again. */
const knownWaitJitter = 0.2;

/** Returns the wait in seconds for a service whose targets all accept no requests for `waitMs` milliseconds. */
export function retryAfterKnownWaitSeconds(waitMs: number, random: () => number): number {
    return Math.round(waitMs * (1 + knownWaitJitter * random())) / 1_000;
}
