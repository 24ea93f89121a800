/**
 * Time that a request waits at a target before it is worked on.
 *
 * Load pattern: while most targets of a service are sick, the sound ones carry its whole load and requests queue there. Their
 * answers are late because of the queue; taken as a sign of sickness, they would make every target suspect, and requests
 * that cannot be repeated would go to the targets that fail.
 */

/** Work time assumed while none is known, in milliseconds. */
const assumedMs = 400;
/** Longest wait by which a late answer is explained, as a multiple of the usual time of work. A slow target queues too. */
const maxExplainedWaits = 2;

/** Returns the expected wait in milliseconds at a target with so many requests by its slots. */
export function queueWaitMs(utilisation: number, usualMs: number | undefined): number {
    return Math.max(0, utilisation - 1) * (usualMs ?? assumedMs);
}

/** Returns the time in milliseconds by which an answer of a target may be late because of its queue. */
export function explainedWaitMs(utilisation: number, usualMs: number | undefined): number {
    return Math.min(queueWaitMs(utilisation, usualMs), maxExplainedWaits * (usualMs ?? assumedMs));
}
