/**
 * Times of the reads of a stream, drawn so that many instances do not call the store together.
 *
 * Load pattern: all instances follow the same streams, and a change or the return of the store reaches all of them at once.
 */

import { readerRole } from "./store-readers";
import type { ReaderRole } from "./store-readers";

/**
 * Bounds of the wait of one read, in milliseconds. Waits are drawn, and the longer the more instances there are: when the
 * connections of all instances go silent at once, the first read to time out finds it within seconds and the others learn it
 * from its digests.
 */
const minWaitMs = 2_000;
const maxWaitMs = 20_000;
const waitForEachPeerMs = 500;
/**
 * Wait of the first reader's long polls in milliseconds. An empty answer confirms the stream's end to all others, before they
 * would poll themselves.
 */
const firstReaderWaitMs = 700;
/** Bounds of the wait of the domains' readers, in milliseconds. The others' digests tell them when a read has gone silent. */
const minReaderWaitMs = 2_500;
const maxReaderWaitMs = 4_000;
/**
 * Bounds of the time in milliseconds since the last confirmation after which an instance that is no reader polls the store.
 * With that call a change is known well within 2 s also when all readers are lost at once.
 */
const minPollAfterMs = 1_100;
export const maxPollAfterMs = 1_500;
/** Other instances for each one that is expected to poll early; the others hear of its answer before they poll themselves. */
const peersPerPoll = 4;
/** Pauses after failures in milliseconds. */
const firstBackoffMs = 150;
const maxBackoffMs = 1_000;
/** Parts by which pauses differ, so that the calls of all instances spread. */
const backoffSpread = 0.3;
const pauseSpread = 0.15;

/** Draws the times, all in milliseconds. */
export interface ReadTimes {
    /** Returns for how long a read waits at the store; without a role each instance reads for itself. */
    waitMs(role: ReaderRole | undefined, peers: number): number;
    /** Returns the pause after a read that brought records, or after a number of failures in a row. */
    pauseMs(failures: number): number;
    /** Returns the time since the last confirmation after which the store is polled. */
    pollAfterMs(peers: number): number;
}

/** Creates the times; `pauseMs` is the pause in which changes are collected. */
export function createReadTimes({ random, pauseMs }: { random(): number; pauseMs: number; }): ReadTimes {
    const waits: Record<ReaderRole, () => number> = {
        [readerRole.first]: () => firstReaderWaitMs,
        [readerRole.domain]: () => minReaderWaitMs + (maxReaderWaitMs - minReaderWaitMs) * random(),
        [readerRole.none]: () => 0,
    };

    return {
        waitMs(role, peers) {
            if (role !== undefined && peers > 0) {
                return Math.round(waits[role]());
            }
            const span = Math.min(maxWaitMs - minWaitMs, waitForEachPeerMs * peers);
            return Math.round(minWaitMs + span * random());
        },
        pauseMs(failures) {
            const backoffMs = Math.min(maxBackoffMs, firstBackoffMs * 2 ** Math.min(10, failures));
            const [meanMs, spread] = failures > 0 ? [backoffMs, backoffSpread] : [pauseMs, pauseSpread];
            return meanMs * (1 + spread * (2 * random() - 1));
        },
        pollAfterMs(peers) {
            // Late times are drawn the more often the more instances there are, so that few poll when a confirmation is missing.
            const lateness = random() ** (1 / (1 + peers / peersPerPoll));
            return minPollAfterMs + (maxPollAfterMs - minPollAfterMs) * lateness;
        },
    };
}
