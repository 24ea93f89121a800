/**
 * HTTP listener through which instances exchange copies of streams.
 */

import { stream } from "@trefoilladder/replication";
import type { Stream } from "@trefoilladder/replication";
import type { IncomingMessage, ServerResponse } from "node:http";
import { createBodyBuffer } from "./body-buffer";

/** A copy that another instance has pushed. */
export interface PushedCopy {
    name: Stream;
    bytes: Buffer;
    /** IP address of the sender. */
    sender: string;
    /** IP addresses of the instances to which the copy has to be forwarded. */
    forwardTo: string[];
}

/** Header of a pushed copy with the addresses to which it has to be forwarded, separated by commas. */
export const forwardToHeader = "send-on-to";
/** Maximum size of an encoded copy in bytes. */
const maxCopyBytes = 16 * 1024 * 1024;
/** Maximum size in bytes of all copies that are being received. */
const maxReceivingBytes = 24 * 1024 * 1024;
/** Time in milliseconds in which a pushed copy has to arrive; a large one takes this long on a slow link. */
export const copyTimeoutMs = 30_000;
/** Maximum number of concurrent responses; further requests are rejected, since other instances soon have the copy too. */
const maxConcurrentResponses = 4;

/** Returns the path at which instances serve and receive copies of a stream. */
export function copyPath(name: Stream): string {
    return `/streams/${name}`;
}

const streamsByPath = new Map([stream.configuration, stream.targets].map(name => [copyPath(name), name]));

/** Reads a body; calls `done` with undefined when the body is too large or incomplete. `held` is called with the bytes in memory. */
export function readBody(
    incoming: IncomingMessage,
    done: (bytes: Buffer | undefined) => void,
    held: (bytes: number) => void = () => undefined,
): void {
    const body = createBodyBuffer();
    incoming.on("data", (chunk: Buffer) => {
        body.add(chunk);
        held(body.capacity);
        if (body.size > maxCopyBytes) {
            incoming.destroy();
        }
    });
    incoming.on("close", () => done(incoming.complete && body.size <= maxCopyBytes ? body.bytes() : undefined));
    incoming.on("error", () => undefined);
}

/** Creates a function that reads bodies; when they hold too much together, the one that has not progressed for longest is cut off. */
function createBodyReader(): (incoming: IncomingMessage, done: (bytes: Buffer | undefined) => void) => void {
    /** Bytes of each body in the order of their last progress. */
    const receiving = new Map<IncomingMessage, number>();
    let total = 0;

    function forget(incoming: IncomingMessage): void {
        total -= receiving.get(incoming) ?? 0;
        receiving.delete(incoming);
    }

    function cutOffUntilBounded(): void {
        for (const incoming of receiving.keys()) {
            if (total <= maxReceivingBytes) {
                return;
            }
            forget(incoming);
            incoming.destroy();
        }
    }

    return (incoming, done) =>
        readBody(incoming, bytes => {
            forget(incoming);
            done(bytes);
        }, bytes => {
            if (!incoming.destroyed) {
                forget(incoming);
                receiving.set(incoming, bytes);
                total += bytes;
                cutOffUntilBounded();
            }
        });
}

/** Rejects a request without reading its body. */
function reject(outgoing: ServerResponse, status: number): void {
    outgoing.writeHead(status, { connection: "close" }).end();
}

/** Creates the request listener: GET serves a copy, POST receives one. */
export function createCopyListener(parts: {
    encodedCopyOf(name: Stream): Buffer;
    receive(copy: PushedCopy): void;
}): (incoming: IncomingMessage, outgoing: ServerResponse) => void {
    let activeResponses = 0;
    const readBounded = createBodyReader();

    function sendCopy(name: Stream, outgoing: ServerResponse): void {
        if (activeResponses >= maxConcurrentResponses) {
            reject(outgoing, 503);
            return;
        }
        activeResponses += 1;
        outgoing.on("close", () => activeResponses -= 1);
        outgoing.writeHead(200, { connection: "close" }).end(parts.encodedCopyOf(name));
    }

    function receiveCopy(name: Stream, outgoing: ServerResponse, incoming: IncomingMessage): void {
        // Instances state the length; chunks of a byte would take much processor time.
        const length = Number(incoming.headers["content-length"]);
        if (!(length <= maxCopyBytes)) {
            reject(outgoing, Number.isNaN(length) ? 411 : 413);
            return;
        }
        const forwardTo = String(incoming.headers[forwardToHeader] ?? "").split(",").filter(host => host !== "");
        const sender = incoming.socket.remoteAddress ?? "";
        readBounded(incoming, bytes => {
            if (bytes !== undefined) {
                outgoing.writeHead(204).end();
                parts.receive({ name, bytes, sender, forwardTo });
            }
        });
    }

    const handlers: Record<string, typeof receiveCopy> = { GET: sendCopy, POST: receiveCopy };

    return (incoming, outgoing) => {
        const name = streamsByPath.get(incoming.url ?? "");
        const handle = handlers[incoming.method ?? ""];
        if (name === undefined || handle === undefined) {
            reject(outgoing, 404);
            return;
        }
        handle(name, outgoing, incoming);
    };
}
