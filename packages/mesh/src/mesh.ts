/**
 * Exchange of digests between all instances over UDP.
 *
 * A lost datagram loses one digest: its outcomes are lost, its totals are sent again with the next change.
 */

import type { TokenRequest } from "@trefoilladder/limits";
import { createSocket } from "node:dgram";
import type { Socket } from "node:dgram";
import { splitAddress } from "./address";
import { createDatagramReceiver } from "./datagram-receiver";
import { encodeDigest, markForForwarding } from "./digest";
import type { Digest } from "./digest";
import { createDigestForwarder } from "./digest-forwarder";
import type { DigestContent, MeshOptions } from "./mesh-options";
import { createPeers } from "./peers";
import type { Peer } from "./peers";
import { encodePushedRecords } from "./pushed-records";
import type { PushedRecords } from "./pushed-records";
import { selectRelays } from "./relay-selection";
import { encodeTokenRequest } from "./token-message";

/** The running exchange. */
export interface Mesh {
    start(): Promise<void>;
    /** Adds an instance by its IP address. */
    addPeer(address: string): void;
    /** Sends a digest soon instead of at the next interval. */
    requestDigest(): void;
    /** Sends records to the instances in contact in this failure domain; returns false when they do not fit in one datagram. */
    pushRecords(records: PushedRecords): boolean;
    sendTokenRequest(address: string, request: TokenRequest): void;
    /** Returns the instances in contact. */
    peers(): Peer[];
    /** Address of this instance in the mesh. */
    readonly self: string;
    contactShare(): number;
    /** Announces to the other instances that this one is leaving, and closes the socket. */
    stop(): Promise<void>;
}

/** Interval of digests while there are changes, in milliseconds; it grows in proportion above this number of peers. */
const baseIntervalMs = 200;
const maxPeersAtBaseInterval = 44;
/** Maximum time between two digests in milliseconds; two may be lost before an instance counts as silent. */
const heartbeatIntervalMs = 600;
/** Interval of probes in milliseconds after the start, when all other instances are unknown, and the length of that phase. */
const startIntervalMs = 50;
const startPhaseMs = 1_500;
/** Minimum number of instances in contact for which digests are sent through relays. */
const minRelayedFleetSize = 12;
/** Number of addresses of other instances in each digest. */
const addressesPerDigest = 2;
/** Minimum time in milliseconds between a digest and an urgent one. */
const urgentIntervalMs = 60;

/** Creates the exchange; nothing is sent before it is started. */
export function createMesh(options: MeshOptions): Mesh {
    const { clock, log } = options;
    const self = `${options.address}:${options.port}`;
    const peers = createPeers(self);
    const socket: Socket = createSocket("udp4");
    let sentAt = -Infinity;
    let timer: NodeJS.Timeout | undefined;
    let startTimer: NodeJS.Timeout | undefined;
    let startPhaseTimer: NodeJS.Timeout | undefined;
    let urgentTimer: NodeJS.Timeout | undefined;
    let isUrgent = false;
    let lastContactShare = 0;
    let closed = false;
    let relayTurn = 0;
    let sequence = 0;
    const forwarder = createDigestForwarder({
        domain: options.domain,
        now: () => clock.now(),
        peersInContact: () => peers.inContact(clock.now()),
        send,
    });

    function send(bytes: Uint8Array, to: string): void {
        if (closed) {
            return;
        }
        const { host, port } = splitAddress(to);
        socket.send(bytes, port, host, error => {
            if (error !== null) {
                log.count("mesh_send_failures");
            }
        });
    }

    function encodeOwnDigest(content: Partial<DigestContent>, flags: Partial<Digest>): Buffer {
        return encodeDigest({
            sender: `${self}/${options.incarnation}`,
            leaving: false,
            probe: false,
            configurationVersion: content.configurationVersion ?? 0,
            targetsOffset: content.targetsOffset ?? 0,
            targets: content.targets ?? [],
            admitted: content.admitted ?? [],
            retries: content.retries ?? [],
            instances: [],
            domain: options.domain,
            targetsAgeMs: content.targetsAgeMs ?? -1,
            configurationOffset: content.configurationOffset ?? 0,
            configurationAgeMs: content.configurationAgeMs ?? -1,
            linkMbps: options.linkMbps,
            storeOutageEndAgeMs: content.storeOutageEndAgeMs ?? -1,
            sequence: sequence += 1,
            uptimeMs: Math.round(clock.now() - options.runningSince()),
            storeEra: content.storeEra ?? -1,
            storeEraAgeMs: content.storeEraAgeMs ?? -1,
            ...flags,
        });
    }

    /** Returns the interval of digests in milliseconds, which bounds the datagrams per second of a large fleet. */
    function intervalMs(peerCount: number): number {
        return Math.min(heartbeatIntervalMs, baseIntervalMs * Math.max(1, peerCount / maxPeersAtBaseInterval));
    }

    function sendOwnDigest(now: number, isHeartbeat: boolean): void {
        const peersInContact = peers.inContact(now);
        // Timers fire slightly early or late; a tolerance of a tenth of the interval separates one tick from the next.
        if (peersInContact.length === 0 || !isUrgent && now - sentAt < 0.9 * intervalMs(peersInContact.length)) {
            return;
        }
        const content = options.collectDigestContent();
        const isEmpty = content.targets.length + content.admitted.length + content.retries.length === 0;
        if (!isHeartbeat && !isUrgent && isEmpty) {
            return;
        }
        isUrgent = false;
        sendToAll(peersInContact, encodeOwnDigest(content, { instances: sampleAddresses(peersInContact) }));
        sentAt = now;
    }

    /** Samples a few instances to announce, so that all instances discover each other through any common one. */
    function sampleAddresses(peersInContact: readonly Peer[]): string[] {
        return Array.from(
            { length: addressesPerDigest },
            () => peersInContact[Math.floor(options.random() * peersInContact.length)]!,
        ).map(({ address }) => address);
    }

    /** Sends a digest to all instances: directly in a small fleet, otherwise through a relay of this failure domain. */
    function sendToAll(peersInContact: readonly Peer[], digest: Buffer): void {
        if (peersInContact.length < minRelayedFleetSize) {
            peersInContact.forEach(({ address }) => send(digest, address));
            return;
        }
        const relay = pickRelay(peersInContact);
        if (relay === self) {
            forwarder.collect(digest.toString());
            return;
        }
        send(markForForwarding(digest), relay);
    }

    function pickRelay(peersInContact: readonly Peer[]): string {
        const now = clock.now();
        const ownCandidate = { address: self, linkMbps: options.linkMbps, lastSeenAt: now };
        const relays = selectRelays(
            [ownCandidate, ...peersInContact.filter(({ domain }) => domain === options.domain)],
            now,
        );
        relayTurn += 1;
        return relays[relayTurn % relays.length]!.address;
    }

    function sendProbes(now: number): void {
        const due = peers.dueForProbe(now);
        if (due.length > 0) {
            const bytes = encodeOwnDigest({}, { probe: true });
            due.forEach(({ address }) => send(bytes, address));
        }
    }

    function tick(): void {
        const now = clock.now();
        sendOwnDigest(now, now - sentAt >= heartbeatIntervalMs);
        updateContact();
    }

    /** Looks for instances, and reports how many are in contact. */
    function updateContact(): void {
        const now = clock.now();
        sendProbes(now);
        const share = peers.contactShare(now);
        if (share !== lastContactShare) {
            log.stateChange("contact_share", {
                share,
                before: lastContactShare,
                inContact: peers.inContact(now).length,
            });
            lastContactShare = share;
        }
        options.updateContactShare(share);
    }

    const receive = createDatagramReceiver({
        ...options,
        self,
        peers,
        forwarder,
        respondToProbe: address => send(encodeOwnDigest({}, { instances: peers.addresses() }), address),
        send,
    });

    return {
        start() {
            return new Promise((resolve, reject) => {
                socket.once("error", reject);
                socket.bind(options.port, options.address, () => {
                    socket.off("error", reject);
                    socket.on("error", error => log.fault("mesh_socket", { message: error.message }));
                    socket.on("message", receive);
                    timer = setInterval(tick, baseIntervalMs);
                    startTimer = setInterval(updateContact, startIntervalMs);
                    startPhaseTimer = setTimeout(() => clearInterval(startTimer), startPhaseMs);
                    resolve();
                });
            });
        },
        addPeer: address => peers.discover(`${address}:${options.port}`, clock.now()),
        requestDigest() {
            if (urgentTimer === undefined && !closed) {
                const waitMs = Math.max(0, sentAt + urgentIntervalMs - clock.now());
                urgentTimer = setTimeout(() => {
                    urgentTimer = undefined;
                    if (!closed) {
                        isUrgent = true;
                        sendOwnDigest(clock.now(), false);
                    }
                }, waitMs);
            }
        },
        pushRecords(records) {
            const bytes = encodePushedRecords(records);
            if (bytes === undefined) {
                log.count("mesh_records_too_many");
                return false;
            }
            peers.inContact(clock.now())
                .filter(({ domain }) => domain === options.domain)
                .forEach(({ address }) => send(bytes, address));
            return true;
        },
        sendTokenRequest: (address, request) => send(encodeTokenRequest(request), address),
        self,
        peers: () => peers.inContact(clock.now()),
        contactShare: () => peers.contactShare(clock.now()),
        stop() {
            clearInterval(timer);
            clearInterval(startTimer);
            clearTimeout(startPhaseTimer);
            clearTimeout(urgentTimer);
            forwarder.close();
            const now = clock.now();
            const bytes = encodeOwnDigest(options.collectDigestContent(), { leaving: true });
            peers.inContact(now).forEach(({ address }) => send(bytes, address));
            closed = true;
            return new Promise(resolve => setImmediate(() => socket.close(() => resolve())));
        },
    };
}
