/**
 * Retry-After values of rejected requests.
 *
 * Load pattern: many callers are rejected within one second, retry at the same moment and are rejected again. Random
 * jitter spreads the waits over a range that grows with the share of requests that the service rejects.
 */

/** Shortest wait in seconds, about the time that a busy target takes to free a slot. */
const minSeconds = 0.1;
/** Longest wait in seconds; callers wait at most a third of their remaining time. */
const maxSeconds = 1.2;

/** Returns the wait in seconds for a service that rejects `refusedShare` of its requests, from 0 to 1. */
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
