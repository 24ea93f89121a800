/**
 * Exchange of digests between all instances over UDP.
 *
 * A lost datagram costs one digest: outcomes in it are lost, totals come again with the next change.
 */

import type { Clock } from "@trefoilladder/clock";
import type { DecisionLog } from "@trefoilladder/telemetry";
import { createSocket } from "node:dgram";
import type { Socket } from "node:dgram";
import { splitAddress } from "./address";
import { decodeDigest, encodeDigest, toPassOn, toRelayed } from "./digest";
import type { Digest, TargetDigest } from "./digest";
import { createPeers } from "./peers";
import type { Peer } from "./peers";
import { decodePushedRecords, encodePushedRecords } from "./pushed-records";
import type { PushedRecords } from "./pushed-records";
import { planRoutes } from "./routes";

/** What an instance tells in its next digest. */
export interface News {
    configurationVersion: number;
    targetsOffset: number;
    targets: TargetDigest[];
    admitted: [organisation: string, total: number][];
    furtherAttempts: [service: string, total: number][];
    configurationOffset: number;
    /** Ages in milliseconds of the store's last answers about the streams; -1 while it does not answer. */
    targetsAgeMs: number;
    configurationAgeMs: number;
}

/** Options of the mesh. */
export interface MeshOptions {
    /** IP address of this instance, and the port that all instances listen on. */
    address: string;
    port: number;
    /** Distinguishes restarts of this instance. */
    incarnation: string;
    /** Failure domain of this instance. */
    domain: string;
    clock: Clock;
    log: DecisionLog;
    random(): number;
    /** Returns what changed since the previous call. */
    collectNews(): News;
    receive(digest: Digest, peer: Peer): void;
    /** Called with records that an instance of this failure domain has read from the store. */
    receiveRecords(records: PushedRecords): void;
    /** Called once for each pass over silent and regained instances. */
    contactChanged(share: number): void;
}

/** The running exchange. */
export interface Mesh {
    start(): Promise<void>;
    /** Adds an instance by its IP address. */
    learn(address: string): void;
    /** Sends the news soon instead of with the next interval. */
    hurry(): void;
    /** Sends records to the instances in contact that share this one's failure domain. */
    pushRecords(records: PushedRecords): void;
    /** Returns the instances in contact. */
    peers(): Peer[];
    contactShare(): number;
    /** Tells the others that this instance stops and closes the socket. */
    stop(): Promise<void>;
}

/** Interval of digests while there is news, in milliseconds, up to a number of peers; it grows with more of them. */
const newsIntervalMs = 200;
const peersPerInterval = 64;
/** Longest time between two digests; two may be lost before an instance counts as silent. */
const heartbeatIntervalMs = 600;
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
        sendAlong(contacts, encodeNews(news, { instances: drawAddresses(contacts) }));
        sentAt = now;
    }

    /** Draws a few instances to tell of, so that all instances come to know each other from any common one. */
    function drawAddresses(contacts: readonly Peer[]): string[] {
        return Array.from({ length: toldAddresses }, () => contacts[Math.floor(options.random() * contacts.length)]!)
            .map(({ address }) => address);
    }

    function sendAlong(contacts: readonly Peer[], bytes: Buffer): void {
        const { direct, relays } = planRoutes(contacts, options.domain, options.random);
        direct.forEach(({ address }) => send(bytes, address));
        if (relays.length > 0) {
            const relayed = toRelayed(bytes);
            relays.forEach(({ address }) => send(relayed, address));
        }
    }

    function domainContacts(): Peer[] {
        return peers.inContact(clock.now()).filter(({ domain }) => domain === options.domain);
    }

    function passOn(datagram: Buffer): void {
        const digest = toPassOn(datagram);
        if (digest !== undefined) {
            domainContacts().forEach(({ address }) => send(digest, address));
        }
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

    function receive(bytes: Buffer): void {
        const decoded = decodeDigest(bytes);
        const records = decoded.isErr() ? decodePushedRecords(bytes) : undefined;
        if (records !== undefined) {
            options.receiveRecords(records);
            return;
        }
        if (decoded.isErr()) {
            log.count("mesh_malformed_datagrams");
            return;
        }
        const digest = decoded.value;
        const [address, incarnation] = digest.sender.split("/") as [string, string | undefined];
        if (address === self || incarnation === undefined) {
            return;
        }
        if (digest.leaving) {
            peers.remove(address);
            return;
        }
        const now = clock.now();
        passOn(bytes);
        const { peer, isNew } = peers.hear(address, incarnation, now);
        digest.instances.forEach(known => peers.learn(known, now));
        if (digest.greeting || isNew) {
            send(encodeNews({}, { instances: digest.greeting ? peers.addresses() : [] }), address);
        }
        if (digest.configurationVersion > 0) {
            peer.configurationVersion = digest.configurationVersion;
            peer.targetsOffset = digest.targetsOffset;
            peer.isFailing = digest.targetsAgeMs < 0;
        }
        peer.domain = digest.domain;
        options.receive(digest, peer);
    }

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
                return;
            }
            domainContacts().forEach(({ address }) => send(bytes, address));
        },
        peers: () => peers.inContact(clock.now()),
        contactShare: () => peers.contactShare(clock.now()),
        stop() {
            clearInterval(timer);
            clearTimeout(urgent);
            const now = clock.now();
            const bytes = encodeNews(options.collectNews(), { leaving: true });
            peers.inContact(now).forEach(({ address }) => send(bytes, address));
            closed = true;
            return new Promise(resolve => setImmediate(() => socket.close(() => resolve())));
        },
    };
}
