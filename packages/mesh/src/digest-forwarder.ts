import { encodeBundles } from "./bundle";
import type { Peer } from "./peers";
import { selectRelays } from "./relay-selection";

/** Collects digests on a relay and forwards them in batches. */
export interface DigestForwarder {
    /** Collects a digest from this failure domain, for all instances in contact. */
    collect(digest: string): void;
    /** Collects digests from a relay of another failure domain, for the instances of this domain. */
    collectFromRelay(digests: string): void;
    close(): void;
}

/** Options of a forwarder. */
export interface DigestForwarderOptions {
    domain: string;
    now(): number;
    /** Returns the instances in contact. */
    peersInContact(): Peer[];
    send(datagram: Buffer, address: string): void;
}

/** Time in milliseconds for which digests are collected before they are forwarded. */
const collectionWindowMs = 60;
/** Minimum number of instances in another domain for which one of them forwards digests to the others. */
const minRelayedDomainSize = 4;

function groupByDomain(peers: readonly Peer[]): Map<string, Peer[]> {
    const groups = new Map<string, Peer[]>();
    for (const peer of peers) {
        const group = groups.get(peer.domain) ?? [];
        groups.set(peer.domain, group);
        group.push(peer);
    }
    return groups;
}

/** Creates a forwarder without collected digests. */
export function createDigestForwarder(options: DigestForwarderOptions): DigestForwarder {
    let localDigests: string[] = [];
    let remoteDigests: string[] = [];
    let timer: NodeJS.Timeout | undefined;
    let flushCount = 0;

    function schedule(): void {
        timer ??= setTimeout(flush, collectionWindowMs);
    }

    function sendAll(datagrams: readonly Buffer[], receivers: readonly Peer[]): void {
        receivers.forEach(({ address }) => datagrams.forEach(datagram => options.send(datagram, address)));
    }

    function flush(): void {
        timer = undefined;
        flushCount += 1;
        const groups = groupByDomain(options.peersInContact());
        sendAll(encodeBundles([...localDigests, ...remoteDigests], false), groups.get(options.domain) ?? []);
        groups.delete(options.domain);
        if (localDigests.length > 0) {
            groups.forEach(sendToDomain);
        }
        localDigests = [];
        remoteDigests = [];
    }

    function sendToDomain(group: readonly Peer[]): void {
        const relays = group.length < minRelayedDomainSize ? [] : selectRelays(group, options.now());
        if (relays.length === 0) {
            sendAll(encodeBundles(localDigests, false), group);
            return;
        }
        sendAll(encodeBundles(localDigests, true), [relays[flushCount % relays.length]!]);
    }

    return {
        collect(digest) {
            localDigests.push(digest);
            schedule();
        },
        collectFromRelay(digests) {
            remoteDigests.push(digests);
            schedule();
        },
        close: () => clearTimeout(timer),
    };
}
