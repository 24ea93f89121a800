/**
 * Configuration and targets from other instances, for the time in which the store does not answer this one.
 */

import type { Clock } from "@trefoilladder/clock";
import { splitAddress } from "@trefoilladder/mesh";
import type { Peer } from "@trefoilladder/mesh";
import { stream } from "@trefoilladder/replication";
import type { KeyedRecord, Stream } from "@trefoilladder/replication";
import type { DecisionLog } from "@trefoilladder/telemetry";
import { get } from "node:http";
import type { IncomingMessage, ServerResponse } from "node:http";

/** The newest records of a stream as one instance holds them. */
export interface StreamCopy {
    nextOffset: number;
    records: KeyedRecord[];
}

interface EncodedCopy {
    nextOffset: number;
    records: [key: string, base64: string][];
}

/** Time that a peer may take to answer, in milliseconds. */
const answerTimeoutMs = 800;
/** Largest answer of a peer in bytes. */
const maxAnswerBytes = 16 * 1024 * 1024;
/** Pause between two requests for the same stream, in milliseconds. */
const pauseMs = 250;

const paths: Record<string, Stream> = {
    "/streams/configuration": stream.configuration,
    "/streams/targets": stream.targets,
};

/** Returns the listener that serves this instance's copies to others. */
export function servePeerState(copyOf: (name: Stream) => StreamCopy) {
    return (incoming: IncomingMessage, outgoing: ServerResponse): void => {
        const name = paths[incoming.url ?? ""];
        if (name === undefined) {
            outgoing.writeHead(404).end();
            return;
        }
        const { nextOffset, records } = copyOf(name);
        const encoded: EncodedCopy = {
            nextOffset,
            records: records.map(({ key, value }) => [key, value?.toString("base64") ?? ""]),
        };
        outgoing.writeHead(200, { "content-type": "application/json" }).end(JSON.stringify(encoded));
    };
}

function decodeCopy(text: string): StreamCopy | undefined {
    try {
        const { nextOffset, records } = JSON.parse(text) as EncodedCopy;
        return {
            nextOffset: Number(nextOffset),
            records: records.map(([key, base64]) => ({ key, value: Buffer.from(base64, "base64") })),
        };
    }
    catch {
        // The caller logs an answer that cannot be read.
        return undefined;
    }
}

function fetchCopy(origin: string, name: Stream): Promise<StreamCopy | undefined> {
    return new Promise(resolve => {
        const outgoing = get(
            `http://${origin}/streams/${name}`,
            { agent: false, timeout: answerTimeoutMs },
            response => {
                const chunks: Buffer[] = [];
                let size = 0;
                response.on("data", (chunk: Buffer) => {
                    chunks.push(chunk);
                    size += chunk.length;
                    if (size > maxAnswerBytes) {
                        response.destroy();
                    }
                });
                response.on(
                    "end",
                    () =>
                        resolve(response.statusCode === 200 ? decodeCopy(Buffer.concat(chunks).toString()) : undefined),
                );
                response.on("error", () => resolve(undefined));
            },
        );
        outgoing.on("timeout", () => outgoing.destroy());
        outgoing.on("error", () => resolve(undefined));
        outgoing.on("close", () => resolve(undefined));
    });
}

/** Fetches newer copies from peers. */
export interface PeerCopies {
    /** Asks a peer that knows more than this instance, unless a request is under way. */
    fetch(name: Stream, peer: Peer): void;
}

/** Creates the client of other instances' copies; `apply` gets copies that could be read. */
export function createPeerCopies(parts: {
    clock: Clock;
    log: DecisionLog;
    peerPort: number;
    apply(name: Stream, copy: StreamCopy, peer: Peer): void;
}): PeerCopies {
    const busyUntil = new Map<Stream, number>();
    return {
        fetch(name, peer) {
            const now = parts.clock.now();
            if (now < (busyUntil.get(name) ?? -Infinity)) {
                return;
            }
            busyUntil.set(name, now + answerTimeoutMs + pauseMs);
            parts.log.belief("peer_copy_requested", { stream: name, peer: peer.address });
            const { host } = splitAddress(peer.address);
            void fetchCopy(`${host}:${parts.peerPort}`, name).then(copy => {
                busyUntil.set(name, parts.clock.now() + pauseMs);
                if (copy === undefined) {
                    const ms = Math.round(parts.clock.now() - now);
                    parts.log.belief("peer_copy_failed", { stream: name, peer: peer.address, ms });
                    return;
                }
                parts.apply(name, copy, peer);
            });
        },
    };
}
