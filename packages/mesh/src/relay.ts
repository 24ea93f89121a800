import { encodeBundles } from "./bundle";
import type { Peer } from "./peers";
import { chooseRelays } from "./relays";

/** Collects digests and sends them on together. */
export interface Relay {
    /** Collects a digest of this failure domain, for all instances in contact. */
    collect(digest: string): void;
    /** Collects digests that another domain's relay has sent, for the instances of this domain. */
    collectForeign(digests: string): void;
    close(): void;
}

/** Parts of a relay. */
export interface RelayParts {
    domain: string;
    now(): number;
    /** Returns the instances in contact. */
    contacts(): Peer[];
    send(datagram: Buffer, address: string): void;
}

/** Time in milliseconds for which digests are collected. */
const collectMs = 60;
/** Instances of another domain from which on one of them passes digests on to the others. */
const minRelayedSize = 4;

function groupByDomain(peers: readonly Peer[]): Map<string, Peer[]> {
    const groups = new Map<string, Peer[]>();
    for (const peer of peers) {
        const group = groups.get(peer.domain) ?? [];
        groups.set(peer.domain, group);
        group.push(peer);
    }
    return groups;
}

/** Creates a relay without digests. */
export function createRelay(parts: RelayParts): Relay {
    let own: string[] = [];
    let foreign: string[] = [];
    let timer: NodeJS.Timeout | undefined;
    let turn = 0;

    function schedule(): void {
        timer ??= setTimeout(flush, collectMs);
    }

    function sendAll(datagrams: readonly Buffer[], receivers: readonly Peer[]): void {
        receivers.forEach(({ address }) => datagrams.forEach(datagram => parts.send(datagram, address)));
    }

    function flush(): void {
        timer = undefined;
        turn += 1;
        const groups = groupByDomain(parts.contacts());
        sendAll(encodeBundles([...own, ...foreign], false), groups.get(parts.domain) ?? []);
        groups.delete(parts.domain);
        if (own.length > 0) {
            groups.forEach(sendAcross);
        }
        own = [];
        foreign = [];
    }

    function sendAcross(group: readonly Peer[]): void {
        const relays = group.length < minRelayedSize ? [] : chooseRelays(group, parts.now());
        if (relays.length === 0) {
            sendAll(encodeBundles(own, false), group);
            return;
        }
        sendAll(encodeBundles(own, true), [relays[turn % relays.length]!]);
    }

    return {
        collect(digest) {
            own.push(digest);
            schedule();
        },
        collectForeign(digests) {
            foreign.push(digests);
            schedule();
        },
        close: () => clearTimeout(timer),
    };
}
