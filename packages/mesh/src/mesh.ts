/**
 * Exchange of digests between all instances over UDP.
 *
 * A lost datagram costs one digest: outcomes in it are lost, totals come again with the next change.
 */

import { createSocket } from "node:dgram";
import type { Socket } from "node:dgram";
import { splitAddress } from "./address";
import { createDatagramReceiver } from "./datagram-receiver";
import { encodeDigest, toRelayed } from "./digest";
import type { Digest } from "./digest";
import type { MeshOptions, News } from "./mesh-options";
import { createPeers } from "./peers";
import type { Peer } from "./peers";
import { encodePushedRecords } from "./pushed-records";
import type { PushedRecords } from "./pushed-records";
import { createRelay } from "./relay";
import { chooseRelays } from "./relays";

/** The running exchange. */
export interface Mesh {
    start(): Promise<void>;
    /** Adds an instance by its IP address. */
    learn(address: string): void;
    /** Sends the news soon instead of with the next interval. */
    hurry(): void;
    /** Sends records to the instances in contact that share this one's failure domain; returns false when they do not fit a datagram. */
    pushRecords(records: PushedRecords): boolean;
    /** Returns the instances in contact. */
    peers(): Peer[];
    contactShare(): number;
    /** Tells the others that this instance stops and closes the socket. */
    stop(): Promise<void>;
}

/** Interval of digests while there is news, in milliseconds, up to a number of peers; it grows with more of them. */
const newsIntervalMs = 200;
const peersPerInterval = 44;
/** Longest time between two digests; two may be lost before an instance counts as silent. */
const heartbeatIntervalMs = 600;
/** Instances in contact from which on digests go through relays. */
const minRelayedFleet = 12;
/** Addresses of other instances in each digest. */
const toldAddresses = 2;
/** Shortest time between a digest and an urgent one. */
const urgentIntervalMs = 60;

/** Creates the exchange; nothing is sent before it is started. */
export function createMesh(options: MeshOptions): Mesh {
    const { clock, log } = options;
    const self = `${options.address}:${options.port}`;
    const peers = createPeers(self);
    const socket: Socket = createSocket("udp4");
    let sentAt = -Infinity;
    let timer: NodeJS.Timeout | undefined;
    let urgent: NodeJS.Timeout | undefined;
    let isUrgent = false;
    let lastShare = 0;
    let closed = false;
    let turn = 0;
    let sequence = 0;
    const outbox = createRelay({
        domain: options.domain,
        now: () => clock.now(),
        contacts: () => peers.inContact(clock.now()),
        send,
    });

    function send(bytes: Uint8Array, to: string): void {
        const { host, port } = splitAddress(to);
        socket.send(bytes, port, host, error => {
            if (error !== null) {
                log.count("mesh_send_failures");
            }
        });
    }

    function encodeNews(news: Partial<News>, flags: Partial<Digest>): Buffer {
        return encodeDigest({
            sender: `${self}/${options.incarnation}`,
            leaving: false,
            greeting: false,
            configurationVersion: news.configurationVersion ?? 0,
            targetsOffset: news.targetsOffset ?? 0,
            targets: news.targets ?? [],
            admitted: news.admitted ?? [],
            furtherAttempts: news.furtherAttempts ?? [],
            instances: [],
            domain: options.domain,
            targetsAgeMs: news.targetsAgeMs ?? -1,
            configurationOffset: news.configurationOffset ?? 0,
            configurationAgeMs: news.configurationAgeMs ?? -1,
            linkMbps: options.linkMbps,
            outageEndAgeMs: news.outageEndAgeMs ?? -1,
            sequence: sequence += 1,
            ...flags,
        });
    }

    /** Returns the interval of digests, which bounds the datagrams a second of a large fleet. */
    function intervalMs(contacts: number): number {
        return Math.min(heartbeatIntervalMs, newsIntervalMs * Math.max(1, contacts / peersPerInterval));
    }

    function sendNews(now: number, isHeartbeat: boolean): void {
        const contacts = peers.inContact(now);
        // Timers fire a little early or late; a tenth of the interval tells one tick from the next.
        if (contacts.length === 0 || !isUrgent && now - sentAt < 0.9 * intervalMs(contacts.length)) {
            return;
        }
        const news = options.collectNews();
        const isEmpty = news.targets.length + news.admitted.length + news.furtherAttempts.length === 0;
        if (!isHeartbeat && !isUrgent && isEmpty) {
            return;
        }
        isUrgent = false;
        sendToAll(contacts, encodeNews(news, { instances: drawAddresses(contacts) }));
        sentAt = now;
    }

    /** Draws a few instances to tell of, so that all instances come to know each other from any common one. */
    function drawAddresses(contacts: readonly Peer[]): string[] {
        return Array.from({ length: toldAddresses }, () => contacts[Math.floor(options.random() * contacts.length)]!)
            .map(({ address }) => address);
    }

    /** Sends a digest to all instances: directly while they are few, else through a relay of this domain. */
    function sendToAll(contacts: readonly Peer[], digest: Buffer): void {
        if (contacts.length < minRelayedFleet) {
            contacts.forEach(({ address }) => send(digest, address));
            return;
        }
        const relay = drawRelay(contacts);
        if (relay === self) {
            outbox.collect(digest.toString());
            return;
        }
        send(toRelayed(digest), relay);
    }

    function drawRelay(contacts: readonly Peer[]): string {
        const now = clock.now();
        const own = { address: self, linkMbps: options.linkMbps, aliveAt: now };
        const relays = chooseRelays([own, ...contacts.filter(({ domain }) => domain === options.domain)], now);
        turn += 1;
        return relays[turn % relays.length]!.address;
    }

    function greet(now: number): void {
        const due = peers.dueForGreeting(now);
        if (due.length > 0) {
            const bytes = encodeNews({}, { greeting: true });
            due.forEach(({ address }) => send(bytes, address));
        }
    }

    function tick(): void {
        const now = clock.now();
        sendNews(now, now - sentAt >= heartbeatIntervalMs);
        greet(now);
        const share = peers.contactShare(now);
        if (share !== lastShare) {
            log.belief("contact_share", { share, before: lastShare, inContact: peers.inContact(now).length });
            lastShare = share;
        }
        options.contactChanged(share);
    }

    const receive = createDatagramReceiver({
        ...options,
        self,
        peers,
        outbox,
        answerGreeting: address => send(encodeNews({}, { instances: peers.addresses() }), address),
    });

    return {
        start() {
            return new Promise((resolve, reject) => {
                socket.once("error", reject);
                socket.bind(options.port, options.address, () => {
                    socket.off("error", reject);
                    socket.on("error", error => log.fault("mesh_socket", { message: error.message }));
                    socket.on("message", receive);
                    timer = setInterval(tick, newsIntervalMs);
                    resolve();
                });
            });
        },
        learn: address => peers.learn(`${address}:${options.port}`, clock.now()),
        hurry() {
            if (urgent === undefined && !closed) {
                const waitMs = Math.max(0, sentAt + urgentIntervalMs - clock.now());
                urgent = setTimeout(() => {
                    urgent = undefined;
                    if (!closed) {
                        isUrgent = true;
                        sendNews(clock.now(), false);
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
        peers: () => peers.inContact(clock.now()),
        contactShare: () => peers.contactShare(clock.now()),
        stop() {
            clearInterval(timer);
            clearTimeout(urgent);
            outbox.close();
            const now = clock.now();
            const bytes = encodeNews(options.collectNews(), { leaving: true });
            peers.inContact(now).forEach(({ address }) => send(bytes, address));
            closed = true;
            return new Promise(resolve => setImmediate(() => socket.close(() => resolve())));
        },
    };
}
