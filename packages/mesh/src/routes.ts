/**
 * Ways of a digest to the other instances.
 *
 * Load pattern: every instance tells all others several times a second what it has seen. Each datagram between failure domains
 * is paid for and takes a part of small links, so one instance of each other domain gets the digest and passes it on there. It
 * is drawn anew for each digest: no instance has a special role, and one that is lost costs its domain one digest of each
 * sender that drew it.
 */

import type { Peer } from "./peers";

/** Receivers of one digest. */
export interface Routes {
    /** Instances that get the digest for themselves. */
    direct: Peer[];
    /** Instances that pass it on to their failure domain. */
    relays: Peer[];
}

/** Instances of another domain from which on one of them passes digests on. */
const minRelayedSize = 4;

/** Plans the ways to the instances in contact. `random` returns numbers from 0 (included) to 1. */
export function planRoutes(contacts: readonly Peer[], ownDomain: string, random: () => number): Routes {
    const direct: Peer[] = [];
    const others = new Map<string, Peer[]>();
    for (const peer of contacts) {
        if (peer.domain === ownDomain || peer.domain === "") {
            direct.push(peer);
            continue;
        }
        const group = others.get(peer.domain) ?? [];
        others.set(peer.domain, group);
        group.push(peer);
    }
    const relays: Peer[] = [];
    for (const group of others.values()) {
        if (group.length < minRelayedSize) {
            direct.push(...group);
            continue;
        }
        relays.push(group[Math.floor(random() * group.length)]!);
    }
    return { direct, relays };
}
