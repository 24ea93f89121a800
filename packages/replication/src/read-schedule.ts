/**
 * Randomised times of the reads of a stream, so that many instances do not call the store at the same moment.
 *
 * Load pattern: all instances follow the same streams, and a change or the recovery of the store reaches all of them at once.
 */

import { readerRole } from "./store-readers";
import type { ReaderRole } from "./store-readers";

/**
 * Bounds of a read's long-poll wait in milliseconds. Waits are random and grow with the number of instances: when the
 * connections of all instances stall at once, the first read to time out detects it within seconds, and the others learn
 * of it from the digests of that instance.
 */
const minWaitMs = 2_000;
const maxWaitMs = 20_000;
const waitPerPeerMs = 500;
/**
 * Long-poll wait of the first reader in milliseconds. An empty response confirms the stream's end to all other instances
 * before they would poll the store themselves.
 */
const firstReaderWaitMs = 700;
/** Bounds of the domain readers' wait in milliseconds. Digests of other instances reveal a read that has stalled. */
const minReaderWaitMs = 2_500;
const maxReaderWaitMs = 4_000;
/**
 * Bounds of the time in milliseconds since the last confirmation after which an instance that is not a reader polls the store.
 * This call delivers a change well within 2 s even when all readers are lost at once.
 */
const minPollAfterMs = 1_100;
export const maxPollAfterMs = 1_500;
/**
 * Bounds of the time in milliseconds from a rise of the store's era until an instance reads the newest records again. Readers go
 * first, so that the others learn from their digests where the stream ends.
 */
const maxReaderRereadMs = 100;
const minRereadMs = 200;
const maxRereadRangeMs = 1_500;
const rereadRangePerPeerMs = 5;
/** Instances per instance that is expected to poll early; the others receive its confirmation before they poll themselves. */
const peersPerPoll = 4;
/** Base and maximum of the exponential backoff after failures, in milliseconds. */
const baseBackoffMs = 150;
const maxBackoffMs = 1_000;
/** Relative jitter of pauses, which spreads the calls of all instances. */
const backoffJitter = 0.3;
const pauseJitter = 0.15;

/** Random times, all in milliseconds. */
export interface ReadSchedule {
    /** Returns the long-poll wait of a read; without a role each instance reads for itself. */
    waitMs(role: ReaderRole | undefined, peerCount: number): number;
    /** Returns the pause after a read that returned records, or after a number of consecutive failures. */
    pauseMs(failures: number): number;
    /** Returns the time since the last confirmation after which the instance polls the store. */
    pollAfterMs(peerCount: number): number;
    /** Returns the delay of the read of the newest records after the store's era has risen. */
    rereadAfterMs(role: ReaderRole, peerCount: number): number;
}

/** Creates a schedule; `pauseMs` is the pause between two reads, in which changes accumulate. */
export function createReadSchedule({ random, pauseMs }: { random(): number; pauseMs: number; }): ReadSchedule {
    const waitMsByRole: Record<ReaderRole, () => number> = {
        [readerRole.first]: () => firstReaderWaitMs,
        [readerRole.domain]: () => minReaderWaitMs + (maxReaderWaitMs - minReaderWaitMs) * random(),
        [readerRole.none]: () => 0,
    };

    return {
        waitMs(role, peerCount) {
            if (role !== undefined && peerCount > 0) {
                return Math.round(waitMsByRole[role]());
            }
            const rangeMs = Math.min(maxWaitMs - minWaitMs, waitPerPeerMs * peerCount);
            return Math.round(minWaitMs + rangeMs * random());
        },
        pauseMs(failures) {
            const backoffMs = Math.min(maxBackoffMs, baseBackoffMs * 2 ** Math.min(10, failures));
            const [meanMs, jitter] = failures > 0 ? [backoffMs, backoffJitter] : [pauseMs, pauseJitter];
            return meanMs * (1 + jitter * (2 * random() - 1));
        },
        pollAfterMs(peerCount) {
            // With more instances, late times become more likely, so that few instances poll when a confirmation is missing.
            const lateness = random() ** (1 / (1 + peerCount / peersPerPoll));
            return minPollAfterMs + (maxPollAfterMs - minPollAfterMs) * lateness;
        },
        rereadAfterMs(role, peerCount) {
            return role === readerRole.none
                ? minRereadMs + Math.min(maxRereadRangeMs, rereadRangePerPeerMs * peerCount) * random()
                : maxReaderRereadMs * random();
        },
    };
}
