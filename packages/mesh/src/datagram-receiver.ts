/**
 * Handling of received datagrams: digests, bundles of digests from relays, and records of streams.
 */

import type { RemoteInfo } from "node:dgram";
import { decodeBundle } from "./bundle";
import type { Bundle } from "./bundle";
import { decodeDigest, forwardableText, withoutState } from "./digest";
import type { Digest } from "./digest";
import type { DigestForwarder } from "./digest-forwarder";
import type { MeshOptions } from "./mesh-options";
import type { Peers } from "./peers";
import { decodePushedRecords } from "./pushed-records";
import { decodeTokenMessage, encodeTokenResponse, isTokenMessage } from "./token-message";

/** First byte of a digest; other datagrams are binary. */
const digestFirstByte = "[".charCodeAt(0);

/** Options of the receiver. */
export interface DatagramReceiverOptions extends
    Pick<
        MeshOptions,
        "clock" | "log" | "receive" | "receiveRecords" | "answerTokenRequest" | "receiveTokenResponse"
    >
{
    /** Address of this instance; its own digests, which relays send back, are ignored. */
    self: string;
    peers: Peers;
    /** Forwards the digests of other instances. */
    forwarder: DigestForwarder;
    /** Sends the addresses of all known instances to the instance that sent a probe. */
    respondToProbe(address: string): void;
    send(datagram: Uint8Array, address: string): void;
}

/** Returns the listener for messages of the socket. */
export function createDatagramReceiver(options: DatagramReceiverOptions): (datagram: Buffer, from: RemoteInfo) => void {
    const { clock, log, forwarder, peers, self } = options;

    function receiveDigest(datagram: Buffer): void {
        const decoded = decodeDigest(datagram);
        if (decoded.isErr()) {
            log.count("mesh_malformed_datagrams");
            return;
        }
        const digest = forwardableText(datagram);
        if (digest !== undefined) {
            forwarder.collect(digest);
        }
        apply(decoded.value);
    }

    function receiveBundle({ forward, text, digests, malformedCount }: Bundle): void {
        if (malformedCount > 0) {
            log.count("mesh_malformed_datagrams");
        }
        if (forward) {
            forwarder.collectFromRelay(text);
        }
        digests.forEach(apply);
    }

    function apply(digest: Digest): void {
        const [address, incarnation] = digest.sender.split("/") as [string, string | undefined];
        if (address === self || incarnation === undefined) {
            return;
        }
        const now = clock.now();
        const peer = peers.recordDigest(address, incarnation, now);
        if (peer === undefined) {
            return;
        }
        if (digest.leaving) {
            // Its last totals count, its state no longer matters.
            const { admitted, retries } = digest;
            options.receive({ ...withoutState(digest), admitted, retries }, peer);
            peers.remove(address, incarnation);
            return;
        }
        if (digest.uptimeMs >= 0) {
            peers.recordUptime(peer, digest.uptimeMs, now);
        }
        digest.instances.forEach(instance => peers.discover(instance, now));
        if (digest.probe) {
            options.respondToProbe(address);
        }
        // A relay that was paused forwards digests that are seconds old; a lower total would look like returned tokens.
        if (digest.sequence <= peer.sequence) {
            options.receive(withoutState(digest), peer);
            return;
        }
        peer.sequence = digest.sequence;
        // A probe carries no state of the streams.
        if (digest.configurationVersion > 0 || digest.targetsAgeMs >= 0) {
            peer.configurationVersion = digest.configurationVersion;
            peer.targetsOffset = digest.targetsOffset;
            peer.storeEra = digest.storeEra;
            peer.isStoreUnavailable = digest.targetsAgeMs < 0;
            peer.storeOutageEndedAt = digest.storeOutageEndAgeMs < 0 ? undefined : now - digest.storeOutageEndAgeMs;
        }
        peer.domain = digest.domain;
        peer.linkMbps = digest.linkMbps;
        options.receive(digest, peer);
    }

    function receiveTokenMessage(datagram: Buffer, from: string): void {
        const message = decodeTokenMessage(datagram);
        if (message === undefined) {
            log.count("mesh_malformed_datagrams");
        }
        else if (message.kind === "request") {
            options.send(encodeTokenResponse(options.answerTokenRequest(message.request)), from);
        }
        else {
            options.receiveTokenResponse(from, message.response);
        }
    }

    return (datagram, { address, port }) => {
        const from = `${address}:${port}`;
        peers.recordDatagram(from, clock.now());
        if (datagram[0] === digestFirstByte && isTokenMessage(datagram)) {
            receiveTokenMessage(datagram, from);
            return;
        }
        if (datagram[0] === digestFirstByte) {
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
        options.receiveRecords(records);
    };
}
