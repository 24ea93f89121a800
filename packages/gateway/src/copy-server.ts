/**
 * HTTP listener through which instances exchange copies of streams.
 */

import { stream } from "@trefoilladder/replication";
import type { Stream } from "@trefoilladder/replication";
import type { IncomingMessage, ServerResponse } from "node:http";

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
/** Maximum number of concurrent responses; further requests are rejected, since other instances soon have the copy too. */
const maxConcurrentResponses = 4;

/** Returns the path at which instances serve and receive copies of a stream. */
export function copyPath(name: Stream): string {
    return `/streams/${name}`;
}

const streamsByPath = new Map([stream.configuration, stream.targets].map(name => [copyPath(name), name]));

/** Reads a body; calls `done` with undefined when the body is too large or incomplete. */
export function readBody(incoming: IncomingMessage, done: (bytes: Buffer | undefined) => void): void {
    const chunks: Buffer[] = [];
    let size = 0;
    incoming.on("data", (chunk: Buffer) => {
        chunks.push(chunk);
        size += chunk.length;
        if (size > maxCopyBytes) {
            incoming.destroy();
        }
    });
    incoming.on("close", () => done(incoming.complete && size <= maxCopyBytes ? Buffer.concat(chunks) : undefined));
    incoming.on("error", () => undefined);
}

/** Creates the request listener: GET serves a copy, POST receives one. */
export function createCopyListener(parts: {
    encodedCopyOf(name: Stream): Buffer;
    receive(copy: PushedCopy): void;
}): (incoming: IncomingMessage, outgoing: ServerResponse) => void {
    let activeResponses = 0;

    function sendCopy(name: Stream, outgoing: ServerResponse): void {
        if (activeResponses >= maxConcurrentResponses) {
            outgoing.writeHead(503).end();
            return;
        }
        activeResponses += 1;
        outgoing.on("close", () => activeResponses -= 1);
        outgoing.writeHead(200).end(parts.encodedCopyOf(name));
    }

    function receiveCopy(name: Stream, outgoing: ServerResponse, incoming: IncomingMessage): void {
        const forwardTo = String(incoming.headers[forwardToHeader] ?? "").split(",").filter(host => host !== "");
        const sender = incoming.socket.remoteAddress ?? "";
        readBody(incoming, bytes => {
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
            outgoing.writeHead(404).end();
            return;
        }
        handle(name, outgoing, incoming);
    };
}
