/**
 * Copies of streams from and to other instances.
 *
 * A record that is too large for a datagram goes through a tree of the instances of a failure domain. An instance that it does
 * not reach, or that the store does not answer, fetches a copy from another one.
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

/** Copies that this instance holds, gives and takes. */
export interface PeerCopies {
    /** Fetches a copy from a peer that knows more than this instance, unless a request for the stream is under way. */
    fetch(name: Stream, peer: Peer): void;
    /** Fetches a copy from one of the peers that know more; returns whether one gave it soon. */
    fetchFromAny(name: Stream, ahead: readonly Peer[]): Promise<boolean>;
    /** Sends what this instance holds to others, through each other. */
    push(name: Stream, receivers: readonly Peer[]): void;
    /** Takes a copy that another instance has pushed. */
    receive(copy: PushedCopy): void;
    /** Returns the encoded copy of what this instance holds. */
    encodedCopyOf(name: Stream): Buffer;
}

/** What the copies need. */
export interface PeerCopiesParts {
    clock: Clock;
    log: DecisionLog;
    random(): number;
    client: CopyClient;
    copyOf(name: Stream): StreamCopy;
    apply(name: Stream, copy: StreamCopy, source: string): void;
}

/** Pause between two requests for the same stream, in milliseconds. */
const pauseMs = 250;
/** Peers that are asked for a copy in turn, and the pause between two of them in milliseconds. */
const maxAsked = 8;
const askPauseMs = 60;
/**
 * Times in milliseconds for which one peer, and all of them, are waited for. The store must be asked soon when others are slow; a copy
 * that comes later is applied all the same.
 */
const maxAnswerMs = 250;
const maxAskingMs = 600;
/** Time in milliseconds for sending a copy on before decoding it takes the processor. */
const sendOnMs = 20;

/** Creates the copies of an instance. */
export function createPeerCopies(parts: PeerCopiesParts): PeerCopies {
    const { client, clock, log } = parts;
    const busy = new Set<Stream>();
    /** The last encoded copy of each stream, with what it was made from. */
    const encoded = new Map<Stream, { nextOffset: number; lastValue: Buffer | undefined; bytes: Buffer; }>();

    function hostOf(address: string): string {
        return splitAddress(address).host;
    }

    function encodedCopyOf(name: Stream): Buffer {
        const copy = parts.copyOf(name);
        const { nextOffset } = copy;
        const lastValue = copy.records.at(-1)?.value;
        const known = encoded.get(name);
        if (known?.nextOffset === nextOffset && known.lastValue === lastValue) {
            return known.bytes;
        }
        const bytes = encodeCopy(copy);
        encoded.set(name, { nextOffset, lastValue, bytes });
        return bytes;
    }

    function applyEncoded(name: Stream, bytes: Buffer, source: string): boolean {
        const copy = decodeCopy(bytes);
        if (copy === undefined) {
            log.fault("peer_copy_malformed", { stream: name, peer: source, bytes: bytes.length });
            return false;
        }
        log.belief("peer_copy_applied", {
            stream: name,
            peer: source,
            records: copy.records.length,
            bytes: bytes.length,
            to: copy.nextOffset,
        });
        parts.apply(name, copy, source);
        return true;
    }

    async function fetchFrom(name: Stream, peer: Peer): Promise<boolean> {
        const startedAt = clock.now();
        log.belief("peer_copy_requested", { stream: name, peer: peer.address });
        const bytes = await client.fetch(hostOf(peer.address), name);
        if (bytes === undefined) {
            const ms = Math.round(clock.now() - startedAt);
            log.belief("peer_copy_failed", { stream: name, peer: peer.address, ms });
            return false;
        }
        return applyEncoded(name, bytes, peer.address);
    }

    async function pushBranch(name: Stream, bytes: Buffer, branch: readonly string[]): Promise<void> {
        for (const [index, host] of branch.entries()) {
            if (await client.push(host, name, bytes, branch.slice(index + 1))) {
                return;
            }
            // The next one takes its place, so that one lost instance costs no other its copy.
            log.belief("peer_copy_not_taken", { stream: name, peer: host });
        }
    }

    function send(name: Stream, bytes: Buffer, hosts: readonly string[]): void {
        splitIntoBranches(hosts).forEach(branch => void pushBranch(name, bytes, branch));
    }

    return {
        fetch(name, peer) {
            if (busy.has(name)) {
                return;
            }
            busy.add(name);
            void fetchFrom(name, peer).then(() => clock.sleep(pauseMs)).then(() => busy.delete(name));
        },
        async fetchFromAny(name, ahead) {
            const left = [...ahead];
            const endAt = clock.now() + maxAskingMs;
            for (let asked = 0; asked < maxAsked && left.length > 0 && clock.now() < endAt; asked++) {
                const [peer] = left.splice(Math.floor(parts.random() * left.length), 1);
                const tooLate = clock.sleep(Math.min(maxAnswerMs, endAt - clock.now())).then(() => false);
                if (await Promise.race([fetchFrom(name, peer!), tooLate])) {
                    return true;
                }
                await clock.sleep(Math.min(askPauseMs, Math.max(0, endAt - clock.now())));
            }
            return false;
        },
        push(name, receivers) {
            const ordered = orderReceivers(receivers).map(hostOf);
            log.belief("peer_copies_pushed", { stream: name, receivers: ordered.length });
            send(name, encodedCopyOf(name), ordered);
        },
        receive({ name, bytes, sender, sendOnTo }) {
            send(name, bytes, sendOnTo);
            void clock.sleep(sendOnTo.length > 0 ? sendOnMs : 0).then(() => applyEncoded(name, bytes, sender));
        },
        encodedCopyOf,
    };
}
