/**
 * What the other instances have admitted of one organisation's limit, reported and assumed.
 *
 * An instance that has not been heard since its last report is assumed to go on at its last known rate, so that the
 * moment at which a partition begins does not double the limit.
 */

/** Totals of the other instances. */
export interface PeerTotals {
    /**
     * Notes a reported total, of which a part was added since it was told last; returns what it adds to the amounts returned before,
     * negative when too much was assumed.
     */
    report(peer: string, total: number, now: number, added: number): number;
    /** Returns what is newly assumed since the previous call. */
    assume(now: number): number;
}

interface Peer {
    total: number;
    reportedAt: number;
    /** Admissions a millisecond. */
    rate: number;
    assumed: number;
}

/** Longest time without word for which admissions are assumed, in milliseconds; then the instance counts as silent. */
const maxAssumedMs = 1_600;
/** Time without a report after which an instance is forgotten, in milliseconds. */
const forgottenAfterMs = 60_000;
/** Shortest time in milliseconds over which a rate is taken. */
const rateWindowMs = 600;
/** Rates below this, in admissions a millisecond, count as none. */
const minRate = 1e-4;

/**
 * Creates the totals without any instance. `heardAt` returns when an instance was last heard in milliseconds, whether it told
 * this total or not: a total that is not told has not changed.
 */
export function createPeerTotals(heardAt: (peer: string) => number): PeerTotals {
    const peers = new Map<string, Peer>();
    return {
        report(name, total, now, addedSinceTold) {
            const peer = peers.get(name);
            if (peer === undefined) {
                // What came before that was counted by those who heard it, or has been refilled since.
                peers.set(name, { total, reportedAt: now, rate: 0, assumed: 0 });
                return Math.max(0, addedSinceTold);
            }
            const delta = total - peer.total;
            // Reports travel together and overtake each other, so the time between two arrivals says little.
            const elapsedMs = now - peer.reportedAt;
            const kept = peer.rate * Math.exp(-elapsedMs / rateWindowMs);
            peer.rate = Math.max(0, kept + delta / Math.max(rateWindowMs, elapsedMs));
            peer.rate = peer.rate < minRate ? 0 : peer.rate;
            const added = delta - peer.assumed;
            peer.total = total;
            peer.reportedAt = now;
            peer.assumed = 0;
            return added;
        },
        assume(now) {
            let added = 0;
            for (const [name, peer] of peers) {
                if (now - peer.reportedAt > forgottenAfterMs) {
                    peers.delete(name);
                }
                else if (peer.rate > 0) {
                    const assumed = assumedOf(name, peer, now);
                    added += assumed - peer.assumed;
                    peer.assumed = assumed;
                }
            }
            return added;
        },
    };

    function assumedOf(name: string, peer: Peer, now: number): number {
        const knownAt = Math.min(now, Math.max(peer.reportedAt, heardAt(name)));
        const rate = peer.rate * Math.exp(-(knownAt - peer.reportedAt) / rateWindowMs);
        return rate * Math.min(maxAssumedMs, now - knownAt);
    }
}
