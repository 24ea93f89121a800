/**
 * Order in which a large record is handed from instance to instance.
 *
 * Load pattern: a configuration of some thousand routes changes, and every instance needs all of it within two seconds over a
 * link that takes half a second for it. Read by each from the store it fills all links at once, and sent by one instance to all
 * others of its failure domain it fills that one's link for seconds. In a tree each instance sends a few copies.
 */

import { compareLinks } from "./relays";
import type { RelayCandidate } from "./relays";

/** Instances to which one instance sends a record itself; they send it on to the others. */
const fanOut = 4;

/** An instance as the choice sees it. */
export type PushReceiver = Pick<RelayCandidate, "address" | "linkMbps">;

/** Returns the receivers of a record with the widest links first, since those at the front send the most. */
export function orderReceivers(receivers: readonly PushReceiver[]): string[] {
    return [...receivers].sort(compareLinks).map(({ address }) => address);
}

/**
 * Splits receivers into branches of about the same size. The first address of a branch gets the record and sends it on to the
 * rest of the branch.
 */
export function splitIntoBranches(receivers: readonly string[]): string[][] {
    const branches: string[][] = [];
    receivers.forEach((address, index) => {
        (branches[index % fanOut] ??= []).push(address);
    });
    return branches;
}
