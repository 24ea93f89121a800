/**
 * Selection of readers: instances that keep a long poll open for a stream and push its records to the others.
 *
 * Load pattern: while targets are replaced, records change several times a second, and one call per instance and change
 * would be most of the load on the store. One reader per failure domain is enough; any other instance polls the store
 * itself when no confirmation arrives. Until the failure of a reader is detected, its domain learns of new records from
 * the digests of the other domains.
 */

import { createHash } from "node:crypto";

/** Role of an instance for a stream. */
export const readerRole = {
    /** Polls often enough to confirm the stream's end to all other instances. */
    first: "first",
    /** Keeps a long poll open for its failure domain. */
    domain: "domain",
    /** Polls only when no confirmation arrives. */
    none: "none",
} as const;

/** One of the roles. */
export type ReaderRole = typeof readerRole[keyof typeof readerRole];

/** An instance that may become a reader. */
export interface ReaderCandidate {
    address: string;
    /** Failure domain; empty while unknown. */
    domain: string;
    /** Whether its last call to the store failed. */
    isStoreUnavailable: boolean;
}

/** Maximum number of cached ranks; instances are constantly replaced by others at new addresses. */
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

/** Returns the role of an instance among the instances that it is in contact with. */
export function chooseReaderRole(
    self: Pick<ReaderCandidate, "address" | "domain">,
    others: readonly ReaderCandidate[],
): ReaderRole {
    const ownRank = rankOf(self.address);
    const preferred = others.filter(({ address, isStoreUnavailable }) =>
        !isStoreUnavailable && rankOf(address) < ownRank
    );
    if (preferred.length === 0) {
        return readerRole.first;
    }
    return preferred.some(({ domain }) => domain === self.domain) ? readerRole.none : readerRole.domain;
}
