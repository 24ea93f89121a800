/**
 * What an instance does with datagrams: digests, bundles of digests from relays, records of streams.
 */

import type { RemoteInfo } from "node:dgram";
import { decodeBundle } from "./bundle";
import type { Bundle } from "./bundle";
import { decodeDigest, toPassOn, withoutState } from "./digest";
import type { Digest } from "./digest";
import type { MeshOptions } from "./mesh-options";
import type { Peers } from "./peers";
import { decodePushedRecords } from "./pushed-records";
import type { Relay } from "./relay";

/** First byte of a digest; other datagrams are no text. */
const digestStart = "[".charCodeAt(0);

/** What the receiver needs. */
export interface DatagramReceiverParts extends Pick<MeshOptions, "clock" | "log" | "receive" | "receiveRecords"> {
    /** Address of this instance, whose own digests come back through relays. */
    self: string;
    peers: Peers;
    /** Digests that this instance sends on for others. */
    outbox: Relay;
    /** Tells an instance that greeted of all others. */
    answerGreeting(address: string): void;
}

/** Returns the listener of the socket. */
export function createDatagramReceiver(parts: DatagramReceiverParts): (datagram: Buffer, from: RemoteInfo) => void {
    const { clock, log, outbox, peers, self } = parts;

    function receiveDigest(datagram: Buffer): void {
        const decoded = decodeDigest(datagram);
        if (decoded.isErr()) {
            log.count("mesh_malformed_datagrams");
            return;
        }
        const digest = toPassOn(datagram);
        if (digest !== undefined) {
            outbox.collect(digest);
        }
        apply(decoded.value);
    }

    function receiveBundle({ passOn, text, digests, malformed }: Bundle): void {
        if (malformed > 0) {
            log.count("mesh_malformed_datagrams");
        }
        if (passOn) {
            outbox.collectForeign(text);
        }
        digests.forEach(apply);
    }

    function apply(digest: Digest): void {
        const [address, incarnation] = digest.sender.split("/") as [string, string | undefined];
        if (address === self || incarnation === undefined) {
            return;
        }
        if (digest.leaving) {
            peers.remove(address, incarnation);
            return;
        }
        const now = clock.now();
        const peer = peers.hear(address, incarnation, now);
        if (peer === undefined) {
            return;
        }
        digest.instances.forEach(known => peers.learn(known, now));
        if (digest.greeting) {
            parts.answerGreeting(address);
        }
        // A relay that stood still sends on what is seconds old; a total from then would seem to be given back.
        if (digest.sequence <= peer.sequence) {
            parts.receive(withoutState(digest), peer);
            return;
        }
        peer.sequence = digest.sequence;
        // A greeting tells nothing of the streams.
        if (digest.configurationVersion > 0 || digest.targetsAgeMs >= 0) {
            peer.configurationVersion = digest.configurationVersion;
            peer.targetsOffset = digest.targetsOffset;
            peer.isFailing = digest.targetsAgeMs < 0;
            peer.outageEndedAt = digest.outageEndAgeMs < 0 ? undefined : now - digest.outageEndAgeMs;
        }
        peer.domain = digest.domain;
        peer.linkMbps = digest.linkMbps;
        parts.receive(digest, peer);
    }

    return (datagram, from) => {
        peers.noteDatagram(`${from.address}:${from.port}`, clock.now());
        if (datagram[0] === digestStart) {
            receiveDigest(datagram);
            return;
        }
        const bundle = decodeBundle(datagram);
        if (bundle !== undefined) {
            receiveBundle(bundle);
            return;
        }
        const records = decodePushedRecords(datagram);
        if (records === undefined) {
            log.count("mesh_malformed_datagrams");
            return;
        }
        parts.receiveRecords(records);
    };
}
