/**
 * Calls in which instances hand copies of streams to each other.
 */

import type { Stream } from "@trefoilladder/replication";
import { request } from "node:http";
import { copyPath, readBytes, sendOnHeader } from "./copy-server";

/** Calls to the listeners of other instances. */
export interface CopyClient {
    /** Returns the encoded copy that an instance holds; undefined when it gives none. */
    fetch(host: string, name: Stream): Promise<Buffer | undefined>;
    /** Hands an encoded copy to an instance, with the addresses to which that one sends it on; tells whether it arrived. */
    push(host: string, name: Stream, bytes: Buffer, sendOnTo: readonly string[]): Promise<boolean>;
}

/** Time in milliseconds for which a call may be silent. */
const silenceTimeoutMs = 500;

/** Creates a client of the listeners at a port, which is the same on all instances. */
export function createCopyClient(port: number): CopyClient {
    function start(host: string, name: Stream, method: string, headers: Record<string, string | number>) {
        const call = request({
            host,
            port,
            method,
            path: copyPath(name),
            headers,
            agent: false,
            timeout: silenceTimeoutMs,
        });
        call.on("timeout", () => call.destroy());
        return call;
    }

    return {
        fetch(host, name) {
            return new Promise(resolve => {
                const call = start(host, name, "GET", {});
                call.on("response", response => {
                    readBytes(response, bytes => resolve(response.statusCode === 200 ? bytes : undefined));
                });
                call.on("error", () => resolve(undefined));
                call.on("close", () => resolve(undefined));
                call.end();
            });
        },
        push(host, name, bytes, sendOnTo) {
            return new Promise(resolve => {
                const headers = { "content-length": bytes.length, [sendOnHeader]: sendOnTo.join(",") };
                const call = start(host, name, "POST", headers);
                call.on("response", response => {
                    response.resume();
                    resolve(response.statusCode === 204);
                });
                call.on("error", () => resolve(false));
                call.on("close", () => resolve(false));
                call.end(bytes);
            });
        },
    };
}
