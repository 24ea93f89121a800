/**
 * Division of the descriptors of a process between its listeners and its connections to targets.
 *
 * Load pattern: many connections that are opened and do little, so that none is left for targets, the store or other instances.
 */

/** Largest numbers of connections. */
export interface DescriptorShares {
    callers: number;
    /** Requests that run at targets at once. */
    running: number;
    /** Connections to targets, idle ones included. */
    targets: number;
    /** Connections of each listener beside that of the callers. */
    otherListener: number;
}

/** Descriptors when the settings do not state their number. */
export const defaultMaxDescriptors = 4_096;
/** Shares of the descriptors; the rest is for files, the store, and other instances. */
const callerShare = 0.5;
const runningShare = 0.25;
const targetShare = 0.3;
const otherListenerShare = 0.04;
const maxOtherListener = 64;

/** Returns the shares of a process that may open this many descriptors. */
export function divideDescriptors(maxDescriptors: number): DescriptorShares {
    const shareOf = (share: number) => Math.max(1, Math.floor(maxDescriptors * share));
    return {
        callers: shareOf(callerShare),
        running: shareOf(runningShare),
        targets: shareOf(targetShare),
        otherListener: Math.min(maxOtherListener, shareOf(otherListenerShare)),
    };
}
