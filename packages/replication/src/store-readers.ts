/**
 * Choice of the readers: instances that keep a long poll open for a stream and push its records to the others.
 *
 * Load pattern: records change several times a second while targets are replaced, and a call of every instance for every
 * change is most of the load on the store. A few readers of each failure domain are enough; any other instance polls the
 * store itself when no confirmation from them arrives.
 */

import { createHash } from "node:crypto";

/** An instance as the choice sees it. */
export interface ReaderCandidate {
    address: string;
    /** Whether the store did not answer its last call. */
    isFailing: boolean;
}

/**
 * Readers of each failure domain. While a failure of the reader is not yet detected, the digests of the other domains tell its
 * domain that there is something to read.
 */
const readersPerDomain = 1;

/** Ranks that are kept; instances are replaced by others at new addresses all the time. */
const maxRanks = 2_048;
const ranks = new Map<string, string>();

function rankOf(address: string): string {
    let rank = ranks.get(address);
    if (rank === undefined) {
        rank = createHash("sha1").update(address).digest("hex");
        if (ranks.size >= maxRanks) {
            ranks.clear();
        }
        ranks.set(address, rank);
    }
    return rank;
}

/** Returns whether an instance is a reader among the instances of its domain that it is in contact with. */
export function isStoreReader(self: string, others: readonly ReaderCandidate[]): boolean {
    const own = rankOf(self);
    const ahead = others.filter(({ address, isFailing }) => !isFailing && rankOf(address) < own);
    return ahead.length < readersPerDomain;
}
