/**
 * Admissions of the other instances against one organisation's limit, reported and assumed.
 *
 * An instance without contact since its last report is assumed to continue at its last known rate, so that the start of a
 * partition does not double the limit.
 */

/** Totals of the other instances. */
export interface PeerTotals {
    /**
     * Records a reported total with its increment since the previous report. Returns the difference from the amounts returned
     * before, negative when too much was assumed.
     */
    report(peer: string, total: number, now: number, increment: number): number;
    /** Returns the change of the assumed admissions since the previous call. */
    assume(now: number): number;
}

interface Peer {
    total: number;
    reportedAt: number;
    /** Admissions per millisecond. */
    rate: number;
    assumed: number;
}

/** Longest time without contact for which admissions are assumed, in milliseconds; then the instance counts as unreachable. */
const maxAssumedMs = 1_600;
/** Time without a report after which an instance is removed, in milliseconds. */
const peerExpiryMs = 60_000;
/** Shortest time in milliseconds over which a rate is computed. */
const rateWindowMs = 600;
/** Lowest rate in admissions per millisecond; lower rates count as 0. */
const minRate = 1e-4;

/**
 * Creates totals without any instance. `lastContactAt` returns the time of the last contact with an instance in milliseconds,
 * whether or not it reported this total: a total that is not reported has not changed.
 */
export function createPeerTotals(lastContactAt: (peer: string) => number): PeerTotals {
    const peers = new Map<string, Peer>();
    return {
        report(name, total, now, increment) {
            const peer = peers.get(name);
            if (peer === undefined) {
                // Earlier admissions were counted by the instances that received them, or have been refilled since.
                peers.set(name, { total, reportedAt: now, rate: 0, assumed: 0 });
                return Math.max(0, increment);
            }
            const delta = total - peer.total;
            // Reports may arrive together or out of order, so the time between two arrivals does not give the rate.
            const elapsedMs = now - peer.reportedAt;
            const decayedRate = peer.rate * Math.exp(-elapsedMs / rateWindowMs);
            peer.rate = Math.max(0, decayedRate + delta / Math.max(rateWindowMs, elapsedMs));
            peer.rate = peer.rate < minRate ? 0 : peer.rate;
            const unaccounted = delta - peer.assumed;
            peer.total = total;
            peer.reportedAt = now;
            peer.assumed = 0;
            return unaccounted;
        },
        assume(now) {
            let change = 0;
            for (const [name, peer] of peers) {
                if (now - peer.reportedAt > peerExpiryMs) {
                    peers.delete(name);
                }
                else if (peer.rate > 0) {
                    const assumed = assumedOf(name, peer, now);
                    change += assumed - peer.assumed;
                    peer.assumed = assumed;
                }
            }
            return change;
        },
    };

    function assumedOf(name: string, peer: Peer, now: number): number {
        const lastKnownAt = Math.min(now, Math.max(peer.reportedAt, lastContactAt(name)));
        const rate = peer.rate * Math.exp(-(lastKnownAt - peer.reportedAt) / rateWindowMs);
        return rate * Math.min(maxAssumedMs, now - lastKnownAt);
    }
}
