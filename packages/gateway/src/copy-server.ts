/**
 * Listener through which instances hand copies of streams to each other.
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
    /** IP addresses of the instances to which the copy has to be sent on. */
    sendOnTo: string[];
}

/** Header of a pushed copy with the addresses to which it has to be sent on. */
export const sendOnHeader = "send-on-to";
/** Largest copy in bytes. */
const maxCopyBytes = 16 * 1024 * 1024;
/** Copies that are sent at once; further requests are turned away, since other instances soon have the copy as well. */
const maxServed = 4;

/** Returns the path at which instances serve and take copies of a stream. */
export function copyPath(name: Stream): string {
    return `/streams/${name}`;
}

const streamsByPath = new Map([stream.configuration, stream.targets].map(name => [copyPath(name), name]));

/** Reads a body; undefined when it is too long or breaks off. */
export function readBytes(incoming: IncomingMessage, done: (bytes: Buffer | undefined) => void): void {
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

/** Returns the listener. */
export function serveCopies(parts: {
    encodedCopyOf(name: Stream): Buffer;
    receive(copy: PushedCopy): void;
}): (incoming: IncomingMessage, outgoing: ServerResponse) => void {
    let served = 0;

    function sendCopy(name: Stream, outgoing: ServerResponse): void {
        if (served >= maxServed) {
            outgoing.writeHead(503).end();
            return;
        }
        served += 1;
        outgoing.on("close", () => served -= 1);
        outgoing.writeHead(200).end(parts.encodedCopyOf(name));
    }

    function takeCopy(name: Stream, outgoing: ServerResponse, incoming: IncomingMessage): void {
        const sendOnTo = String(incoming.headers[sendOnHeader] ?? "").split(",").filter(host => host !== "");
        const sender = incoming.socket.remoteAddress ?? "";
        readBytes(incoming, bytes => {
            if (bytes !== undefined) {
                outgoing.writeHead(204).end();
                parts.receive({ name, bytes, sender, sendOnTo });
            }
        });
    }

    const handlers: Record<string, typeof takeCopy> = { GET: sendCopy, POST: takeCopy };

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
