/**
 * Exchange of stream copies between instances.
 *
 * A record that is too large for a datagram is distributed through a tree of the instances of a failure domain. An instance that
 * the push does not reach, or that gets no response from the store, fetches a copy from another instance.
 */

import type { Clock } from "@trefoilladder/clock";
import { orderReceivers, splitAddress, splitIntoBranches } from "@trefoilladder/mesh";
import type { Peer } from "@trefoilladder/mesh";
import type { Stream } from "@trefoilladder/replication";
import type { DecisionLog } from "@trefoilladder/telemetry";
import type { CopyClient } from "./copy-client";
import { decodeCopy, encodeCopy } from "./copy-codec";
import type { StreamCopy } from "./copy-codec";
import type { PushedCopy } from "./copy-server";

/** Fetches, pushes and receives copies of streams. */
export interface PeerCopies {
    /** Fetches a copy from a peer that is ahead of this instance, unless a request for the stream is in progress. */
    fetch(name: Stream, peer: Peer): void;
    /** Fetches a copy from one of the peers that are ahead; returns whether one was received within the time limits. */
    fetchFromAny(name: Stream, ahead: readonly Peer[]): Promise<boolean>;
    /** Sends this instance's copy to the receivers, which forward it to each other. */
    push(name: Stream, receivers: readonly Peer[]): void;
    /** Applies and forwards a copy that another instance has pushed. */
    receive(copy: PushedCopy): void;
    /** Returns this instance's copy of a stream, encoded. */
    encodedCopyOf(name: Stream): Buffer;
}

/** Dependencies of the exchange. */
export interface PeerCopiesParts {
    clock: Clock;
    log: DecisionLog;
    random(): number;
    client: CopyClient;
    copyOf(name: Stream): StreamCopy;
    apply(name: Stream, copy: StreamCopy, source: string): void;
}

/** Pause in milliseconds after a fetch before the next one for the same stream. */
const fetchPauseMs = 250;
/** Maximum number of peers from which a copy is requested in turn, and the pause between two of them in milliseconds. */
const maxFetchAttempts = 8;
const peerPauseMs = 60;
/**
 * Timeouts in milliseconds for one peer and for all of them. When peers are slow, the store has to be read soon; a copy that
 * arrives after the timeout is still applied.
 */
const peerTimeoutMs = 250;
const totalTimeoutMs = 600;
/** Time in milliseconds for forwarding a copy before decoding it occupies the processor. */
const forwardMs = 20;

/** Creates the exchange of an instance. */
export function createPeerCopies(parts: PeerCopiesParts): PeerCopies {
    const { client, clock, log } = parts;
    const fetching = new Set<Stream>();
    /** Last encoded copy of each stream, with the offset, its era and the value that it was encoded from. */
    const encodedCopies = new Map<
        Stream,
        { nextOffset: number; era: number; lastValue: Buffer | undefined; bytes: Buffer; }
    >();

    function hostOf(address: string): string {
        return splitAddress(address).host;
    }

    function encodedCopyOf(name: Stream): Buffer {
        const copy = parts.copyOf(name);
        const { nextOffset, era } = copy;
        const lastValue = copy.records.at(-1)?.value;
        const cached = encodedCopies.get(name);
        if (cached?.nextOffset === nextOffset && cached.era === era && cached.lastValue === lastValue) {
            return cached.bytes;
        }
        const bytes = encodeCopy(copy);
        encodedCopies.set(name, { nextOffset, era, lastValue, bytes });
        return bytes;
    }

    function applyEncoded(name: Stream, bytes: Buffer, source: string): boolean {
        const copy = decodeCopy(bytes);
        if (copy === undefined) {
            log.fault("peer_copy_malformed", { stream: name, peer: source, bytes: bytes.length });
            return false;
        }
        log.stateChange("peer_copy_applied", {
            stream: name,
            peer: source,
            records: copy.records.length,
            bytes: bytes.length,
            to: copy.nextOffset,
            era: copy.era,
        });
        parts.apply(name, copy, source);
        return true;
    }

    async function fetchFrom(name: Stream, peer: Peer): Promise<boolean> {
        const startedAt = clock.now();
        log.stateChange("peer_copy_requested", { stream: name, peer: peer.address });
        const bytes = await client.fetch(hostOf(peer.address), name);
        if (bytes === undefined) {
            const ms = Math.round(clock.now() - startedAt);
            log.stateChange("peer_copy_failed", { stream: name, peer: peer.address, ms });
            return false;
        }
        return applyEncoded(name, bytes, peer.address);
    }

    async function pushBranch(name: Stream, bytes: Buffer, branch: readonly string[]): Promise<void> {
        for (const [index, host] of branch.entries()) {
            if (await client.push(host, name, bytes, branch.slice(index + 1))) {
                return;
            }
            // The next instance takes over the branch, so that an unreachable one does not keep the copy from the rest.
            log.stateChange("peer_copy_not_taken", { stream: name, peer: host });
        }
    }

    function send(name: Stream, bytes: Buffer, hosts: readonly string[]): void {
        splitIntoBranches(hosts).forEach(branch => void pushBranch(name, bytes, branch));
    }

    return {
        fetch(name, peer) {
            if (fetching.has(name)) {
                return;
            }
            fetching.add(name);
            void fetchFrom(name, peer).then(() => clock.sleep(fetchPauseMs)).then(() => fetching.delete(name));
        },
        async fetchFromAny(name, ahead) {
            const remaining = [...ahead];
            const endAt = clock.now() + totalTimeoutMs;
            for (
                let attempts = 0;
                attempts < maxFetchAttempts && remaining.length > 0 && clock.now() < endAt;
                attempts++
            ) {
                const [peer] = remaining.splice(Math.floor(parts.random() * remaining.length), 1);
                const timeout = clock.sleep(Math.min(peerTimeoutMs, endAt - clock.now())).then(() => false);
                if (await Promise.race([fetchFrom(name, peer!), timeout])) {
                    return true;
                }
                await clock.sleep(Math.min(peerPauseMs, Math.max(0, endAt - clock.now())));
            }
            return false;
        },
        push(name, receivers) {
            const ordered = orderReceivers(receivers).map(hostOf);
            log.stateChange("peer_copies_pushed", { stream: name, receivers: ordered.length });
            send(name, encodedCopyOf(name), ordered);
        },
        receive({ name, bytes, sender, forwardTo }) {
            send(name, bytes, forwardTo);
            void clock.sleep(forwardTo.length > 0 ? forwardMs : 0).then(() => applyEncoded(name, bytes, sender));
        },
        encodedCopyOf,
    };
}
