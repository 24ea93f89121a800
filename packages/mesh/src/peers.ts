/** Another instance that is known to this one. */
export interface Peer {
    /** IP address and UDP port of its mesh socket. */
    address: string;
    /** Incarnation of the last digest; empty until the first. */
    incarnation: string;
    /** Monotonic times in milliseconds. */
    discoveredAt: number;
    lastDigestAt: number;
    /** Time of the last datagram from the instance itself, or of its last digest that arrived through a relay. */
    lastSeenAt: number;
    lastProbedAt: number;
    configurationVersion: number;
    targetsOffset: number;
    /** Era of the store to which the offset belongs; -1 while unknown. */
    storeEra: number;
    /** Failure domain; empty while unknown. */
    domain: string;
    /** Whether the store does not respond to the instance. */
    isStoreUnavailable: boolean;
    /** Monotonic time in milliseconds at which the last outage of the store ended; undefined while unknown to the instance. */
    storeOutageEndedAt: number | undefined;
    /** Bandwidth of the instance's link in megabits per second; 0 while unknown. */
    linkMbps: number;
    /** Monotonic time in milliseconds since which the incarnation runs without a pause; undefined while unknown. */
    runningSince: number | undefined;
    /** Highest sequence number of the digests of the incarnation. */
    sequence: number;
}

/** Time in milliseconds without a digest after which an instance counts as silent. */
export const silentAfterMs = 1_500;
/** Time in milliseconds for which a silent instance still counts, since it may admit requests behind a network partition. */
const silentPeerTtlMs = 60_000;
/** Time in milliseconds for which a discovered instance counts before its first digest arrives. */
const unconfirmedPeerTtlMs = 8_000;
/** Interval in milliseconds of probes to a silent instance. */
const probeIntervalMs = 2_000;
/** Interval of probes to a newly discovered instance: when all start at once, it may begin to listen at any moment. */
const initialProbeIntervalMs = 400;
const initialProbePhaseMs = 3_000;
/** Maximum number of probes sent at once. Each response lists the addresses of all instances, which are probed in turn. */
const maxProbesPerTick = 10;

/** Longest time in milliseconds for which a digest is usually on its way. */
const maxDigestDelayMs = 500;
/** Maximum number of departed instances that are kept; the oldest are evicted first. */
const maxDepartedPeers = 512;

/** The known instances. */
export interface Peers {
    discover(address: string, now: number): void;
    /** Records a digest; returns undefined for a late one from an incarnation that has left. */
    recordDigest(address: string, incarnation: string, now: number): Peer | undefined;
    /** Records the time for which an instance has run without a pause, as it arrived in a digest. */
    recordUptime(peer: Peer, uptimeMs: number, now: number): void;
    /** Records the arrival of any datagram from an address. */
    recordDatagram(address: string, now: number): void;
    /** Removes an instance whose incarnation is shutting down. */
    remove(address: string, incarnation: string): void;
    /** Returns the instances that are not silent. */
    inContact(now: number): Peer[];
    /** Returns some of the silent instances that are due for a probe, and records the probe. */
    dueForProbe(now: number): Peer[];
    /** Returns the share of known instances, this one included, that are in contact. */
    contactShare(now: number): number;
    addresses(): string[];
}

/** Creates an empty set of peers. */
export function createPeers(self: string): Peers {
    const peers = new Map<string, Peer>();
    /** Last departed incarnation by address. */
    const departed = new Map<string, string>();

    function isCounted(peer: Peer, now: number): boolean {
        return peer.incarnation === ""
            ? now - peer.discoveredAt < unconfirmedPeerTtlMs
            : now - peer.lastDigestAt < silentPeerTtlMs;
    }

    function isInContact(peer: Peer, now: number): boolean {
        return now - peer.lastDigestAt < silentAfterMs;
    }

    function probeIntervalOf(peer: Peer, now: number): number {
        if (peer.incarnation === "" && now - peer.discoveredAt < initialProbePhaseMs) {
            return initialProbeIntervalMs;
        }
        return isCounted(peer, now) ? probeIntervalMs : 5 * probeIntervalMs;
    }

    function discover(address: string, now: number): Peer | undefined {
        if (address === self) {
            return undefined;
        }
        let peer = peers.get(address);
        if (peer === undefined) {
            peer = {
                address,
                incarnation: "",
                discoveredAt: now,
                lastDigestAt: -Infinity,
                lastSeenAt: -Infinity,
                lastProbedAt: -Infinity,
                configurationVersion: 0,
                targetsOffset: 0,
                storeEra: -1,
                domain: "",
                isStoreUnavailable: true,
                storeOutageEndedAt: undefined,
                linkMbps: 0,
                runningSince: undefined,
                sequence: -1,
            };
            peers.set(address, peer);
        }
        return peer;
    }

    return {
        discover: (address, now) => void discover(address, now),
        recordDigest(address, incarnation, now) {
            if (departed.get(address) === incarnation) {
                return undefined;
            }
            const peer = discover(address, now)!;
            if (peer.incarnation !== incarnation) {
                peer.incarnation = incarnation;
                peer.sequence = -1;
                peer.runningSince = undefined;
            }
            peer.lastDigestAt = now;
            peer.lastSeenAt = now;
            return peer;
        },
        recordUptime(peer, uptimeMs, now) {
            const since = now - uptimeMs;
            const known = peer.runningSince ?? Infinity;
            // The digest that was on its way for the shortest time is the most accurate one; a pause moves the time by more.
            peer.runningSince = since - known > maxDigestDelayMs ? since : Math.min(known, since);
        },
        recordDatagram(address, now) {
            const peer = peers.get(address);
            if (peer !== undefined) {
                peer.lastSeenAt = now;
            }
        },
        remove(address, incarnation) {
            peers.delete(address);
            departed.delete(address);
            departed.set(address, incarnation);
            const oldest = departed.keys().next();
            if (departed.size > maxDepartedPeers && oldest.done !== true) {
                departed.delete(oldest.value);
            }
        },
        inContact: now => [...peers.values()].filter(peer => isInContact(peer, now)),
        dueForProbe(now) {
            const due = [...peers.values()]
                .filter(peer => !isInContact(peer, now) && now - peer.lastProbedAt >= probeIntervalOf(peer, now))
                .sort((a, b) => a.lastProbedAt - b.lastProbedAt)
                .slice(0, maxProbesPerTick);
            due.forEach(peer => peer.lastProbedAt = now);
            return due;
        },
        contactShare(now) {
            const known = [...peers.values()].filter(peer => isCounted(peer, now));
            const inContact = known.filter(peer => isInContact(peer, now));
            return (inContact.length + 1) / (known.length + 1);
        },
        addresses: () => [...peers.keys()],
    };
}
