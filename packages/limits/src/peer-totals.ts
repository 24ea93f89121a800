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
     * before, negative when too much was assumed, and by how much the total has fallen.
     */
    report(peer: string, total: number, now: number, increment: number): { unaccounted: number; fallenBy: number; };
    /** Returns the change of the assumed admissions since the previous call. */
    assume(now: number): number;
    /** Removes an instance that has ended, and returns the admissions that were assumed after its end. */
    remove(peer: string): number;
    clear(): void;
    /** Returns how many instances in contact have reported, and the age of the oldest of their reports in milliseconds. */
    news(now: number): PeerNews;
}

/** Reports that a limit is based on. */
export interface PeerNews {
    reporters: number;
    oldestAgeMs: number;
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
/** Time in milliseconds for which an instance that has ended may have admitted requests without reporting them. */
const maxUnreportedMs = 300;
/** Time without a report after which an instance is removed, in milliseconds. */
const peerExpiryMs = 60_000;
/** Shortest time in milliseconds over which a rate is computed. */
const rateWindowMs = 600;
/** Lowest rate in admissions per millisecond; lower rates count as 0. */
const minRate = 1e-4;

/**
 * Creates totals without any instance. `lastContactAt` returns the time of the last contact with an instance in milliseconds,
 * whether or not it reported this total: a total that is not reported has not changed. With `creditsFirstRefund`, an instance
 * may return tokens in its first report: one that asks an owner for tokens admits none itself.
 */
export function createPeerTotals(
    lastContactAt: (peer: string) => number,
    { creditsFirstRefund = false }: { creditsFirstRefund?: boolean; } = {},
): PeerTotals {
    const peers = new Map<string, Peer>();
    return {
        report(name, total, now, increment) {
            const peer = peers.get(name);
            if (peer === undefined) {
                // Earlier admissions were counted by the instances that received them, or have been refilled since.
                peers.set(name, { total, reportedAt: now, rate: 0, assumed: 0 });
                return { unaccounted: creditsFirstRefund ? increment : Math.max(0, increment), fallenBy: 0 };
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
            return { unaccounted, fallenBy: Math.max(0, -delta) };
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
        remove(name) {
            const peer = peers.get(name);
            peers.delete(name);
            return peer === undefined ? 0 : Math.max(0, peer.assumed - peer.rate * maxUnreportedMs);
        },
        clear: () => peers.clear(),
        news(now) {
            const ages = [...peers].map(([name, peer]) => now - lastKnownAt(name, peer, now))
                .filter(ageMs => ageMs < maxAssumedMs);
            return { reporters: ages.length, oldestAgeMs: Math.max(0, ...ages) };
        },
    };

    function lastKnownAt(name: string, peer: Peer, now: number): number {
        return Math.min(now, Math.max(peer.reportedAt, lastContactAt(name)));
    }

    function assumedOf(name: string, peer: Peer, now: number): number {
        const knownAt = lastKnownAt(name, peer, now);
        const rate = peer.rate * Math.exp(-(knownAt - peer.reportedAt) / rateWindowMs);
        return rate * Math.min(maxAssumedMs, now - knownAt);
    }
}
