/** An instance that this one has heard of. */
export interface Peer {
    /** IP address and port of its inner listener. */
    address: string;
    /** Incarnation that was heard last; empty until then. */
    incarnation: string;
    /** Monotonic times in milliseconds. */
    learntAt: number;
    heardAt: number;
    /** Time of the last datagram of the instance itself, or of a digest that came through others. */
    aliveAt: number;
    greetedAt: number;
    configurationVersion: number;
    targetsOffset: number;
    /** Failure domain; empty until it is known. */
    domain: string;
    /** Whether the store does not answer the instance. */
    isFailing: boolean;
    /** Monotonic time in milliseconds at which the last outage of the store ended; undefined while the instance cannot tell. */
    outageEndedAt: number | undefined;
    /** Bandwidth of the instance's link in megabits a second; 0 while it is not known. */
    linkMbps: number;
    /** Number of the newest digest of the incarnation. */
    sequence: number;
}

/** Time without a digest after which an instance counts as silent. */
export const silentAfterMs = 1_500;
/** Time for which a silent instance still counts, since it may admit requests behind a partition. */
const forgottenAfterMs = 60_000;
/** Time for which an instance counts that was never heard. */
const unheardMs = 8_000;
/** Interval of greetings to a silent instance. */
const greetingIntervalMs = 2_000;
/** Interval of greetings to an instance that was learnt of late: when all start at once, it may begin to listen any moment. */
const earlyGreetingIntervalMs = 400;
const earlyMs = 3_000;
/** Greetings at once. Each is answered with the addresses of all instances, and those are greeted in turn. */
const maxGreetings = 10;

/** Instances that have left and are remembered; the oldest are forgotten first. */
const maxLeft = 512;

/** The instances that this one knows. */
export interface Peers {
    learn(address: string, now: number): void;
    /** Notes a digest; undefined for one that was sent before its sender left and arrives later. */
    hear(address: string, incarnation: string, now: number): Peer | undefined;
    /** Notes that a datagram came from an address, whatever it holds. */
    noteDatagram(address: string, now: number): void;
    /** Notes that an incarnation stops. */
    remove(address: string, incarnation: string): void;
    /** Returns the instances heard of late. */
    inContact(now: number): Peer[];
    /** Returns some of the silent instances that are due for a greeting, and notes the greeting. */
    dueForGreeting(now: number): Peer[];
    /** Returns the share of known instances, this one included, that are in contact. */
    contactShare(now: number): number;
    addresses(): string[];
}

/** Creates an empty set of peers. */
export function createPeers(self: string): Peers {
    const peers = new Map<string, Peer>();
    /** Newest incarnation that has left, by address. */
    const left = new Map<string, string>();

    function counts(peer: Peer, now: number): boolean {
        return peer.incarnation === ""
            ? now - peer.learntAt < unheardMs
            : now - peer.heardAt < forgottenAfterMs;
    }

    function isHeard(peer: Peer, now: number): boolean {
        return now - peer.heardAt < silentAfterMs;
    }

    function intervalMs(peer: Peer, now: number): number {
        if (peer.incarnation === "" && now - peer.learntAt < earlyMs) {
            return earlyGreetingIntervalMs;
        }
        return counts(peer, now) ? greetingIntervalMs : 5 * greetingIntervalMs;
    }

    function learn(address: string, now: number): Peer | undefined {
        if (address === self) {
            return undefined;
        }
        let peer = peers.get(address);
        if (peer === undefined) {
            peer = {
                address,
                incarnation: "",
                learntAt: now,
                heardAt: -Infinity,
                aliveAt: -Infinity,
                greetedAt: -Infinity,
                configurationVersion: 0,
                targetsOffset: 0,
                domain: "",
                isFailing: true,
                outageEndedAt: undefined,
                linkMbps: 0,
                sequence: -1,
            };
            peers.set(address, peer);
        }
        return peer;
    }

    return {
        learn: (address, now) => void learn(address, now),
        hear(address, incarnation, now) {
            if (left.get(address) === incarnation) {
                return undefined;
            }
            const peer = learn(address, now)!;
            if (peer.incarnation !== incarnation) {
                peer.incarnation = incarnation;
                peer.sequence = -1;
            }
            peer.heardAt = now;
            peer.aliveAt = now;
            return peer;
        },
        noteDatagram(address, now) {
            const peer = peers.get(address);
            if (peer !== undefined) {
                peer.aliveAt = now;
            }
        },
        remove(address, incarnation) {
            peers.delete(address);
            left.delete(address);
            left.set(address, incarnation);
            const oldest = left.keys().next();
            if (left.size > maxLeft && oldest.done !== true) {
                left.delete(oldest.value);
            }
        },
        inContact: now => [...peers.values()].filter(peer => isHeard(peer, now)),
        dueForGreeting(now) {
            const due = [...peers.values()]
                .filter(peer => !isHeard(peer, now) && now - peer.greetedAt >= intervalMs(peer, now))
                .sort((a, b) => a.greetedAt - b.greetedAt)
                .slice(0, maxGreetings);
            due.forEach(peer => peer.greetedAt = now);
            return due;
        },
        contactShare(now) {
            const known = [...peers.values()].filter(peer => counts(peer, now));
            const heard = known.filter(peer => isHeard(peer, now));
            return (heard.length + 1) / (known.length + 1);
        },
        addresses: () => [...peers.keys()],
    };
}
