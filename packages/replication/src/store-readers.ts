/**
 * Choice of the readers: instances that keep a long poll open for a stream and push its records to the others.
 *
 * Load pattern: records change several times a second while targets are replaced, and a call of every instance for every
 * change is most of the load on the store. One reader of each failure domain is enough; any other instance polls the store
 * itself when no confirmation arrives. While the failure of a reader is not yet detected, the digests of the other domains
 * tell its domain that there is something to read.
 */

import { createHash } from "node:crypto";

/** What an instance does for a stream. */
export const readerRole = {
    /** Polls so often that its answers confirm the stream's end to all others. */
    first: "first",
    /** Keeps a long poll open for its failure domain. */
    domain: "domain",
    /** Polls only when no confirmation arrives. */
    none: "none",
} as const;

/** One of the roles. */
export type ReaderRole = typeof readerRole[keyof typeof readerRole];

/** An instance as the choice sees it. */
export interface ReaderCandidate {
    address: string;
    /** Failure domain; empty while it is not known. */
    domain: string;
    /** Whether the store did not answer its last call. */
    isFailing: boolean;
}

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

/** Returns the role of an instance of a failure domain among the instances that it is in contact with. */
export function chooseReaderRole(
    self: Pick<ReaderCandidate, "address" | "domain">,
    others: readonly ReaderCandidate[],
): ReaderRole {
    const own = rankOf(self.address);
    const ahead = others.filter(({ address, isFailing }) => !isFailing && rankOf(address) < own);
    if (ahead.length === 0) {
        return readerRole.first;
    }
    return ahead.some(({ domain }) => domain === self.domain) ? readerRole.none : readerRole.domain;
}
