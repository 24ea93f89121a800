/**
 * Retry-After of refusals.
 *
 * Load pattern: many callers are refused within one second, come back at the same moment and are refused again. The
 * wait is spread over a range that grows with the share of requests that the service refuses.
 */

/** Shortest wait in seconds, about the time in which a busy target frees a slot. */
const minSeconds = 0.1;
/** Longest wait in seconds; callers wait at most a third of the time that they have left. */
const maxSeconds = 1.2;

/** Returns the wait in seconds for a service that refuses a share of its requests, from 0 to 1. */
export function retryAfterSeconds(refusedShare: number, random: () => number): number {
    const span = minSeconds + (maxSeconds - minSeconds) * Math.min(1, Math.max(0, refusedShare));
    return Math.round((minSeconds + span * random()) * 1_000) / 1_000;
}

/** Part of a known wait by which returns are spread, so that not all callers meet the target in the moment at which it has room again. */
const returnSpread = 0.2;

/** Returns the wait in seconds for a service of which no target wants requests for a time in milliseconds. */
export function returnAfterSeconds(untilMs: number, random: () => number): number {
    return Math.round(untilMs * (1 + returnSpread * random())) / 1_000;
}
