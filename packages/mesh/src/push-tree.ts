/**
 * Distribution tree in which instances forward a large record.
 *
 * Load pattern: after a change, every instance needs a configuration of some thousand routes within two seconds, over a link
 * that takes half a second to transfer it. Reads by all instances from the store saturate all links at once, and an instance
 * that sends it to all others of its failure domain saturates its own link for seconds. In a tree each sends a few copies.
 */

import { compareLinks } from "./relay-selection";
import type { RelayCandidate } from "./relay-selection";

/** Number of instances to which an instance sends a record directly; they forward it to the others. */
const fanOut = 4;

/** Properties of an instance that determine its place in the tree. */
export type PushReceiver = Pick<RelayCandidate, "address" | "linkMbps">;

/** Returns the addresses of receivers by descending bandwidth, since the first ones send the most copies. */
export function orderReceivers(receivers: readonly PushReceiver[]): string[] {
    return [...receivers].sort(compareLinks).map(({ address }) => address);
}

/**
 * Splits receivers into branches of about equal size. The first address of a branch receives the record and forwards it to the
 * rest of the branch.
 */
export function splitIntoBranches(receivers: readonly string[]): string[][] {
    const branches: string[][] = [];
    receivers.forEach((address, index) => {
        (branches[index % fanOut] ??= []).push(address);
    });
    return branches;
}
