/**
 * HTTP client that exchanges copies of streams with other instances.
 */

import type { Stream } from "@trefoilladder/replication";
import { request } from "node:http";
import { copyPath, forwardToHeader, readBody } from "./copy-server";

/** Client of the copy listeners of other instances. */
export interface CopyClient {
    /** Returns the encoded copy of an instance; undefined when the request fails. */
    fetch(host: string, name: Stream): Promise<Buffer | undefined>;
    /** Sends an encoded copy to an instance, which forwards it to the given addresses; returns whether it arrived. */
    push(host: string, name: Stream, bytes: Buffer, forwardTo: readonly string[]): Promise<boolean>;
}

/** Time in milliseconds without socket activity after which a request is cancelled. */
const inactivityTimeoutMs = 500;

/** Creates a client for the listener port, which is the same on all instances. */
export function createCopyClient(port: number): CopyClient {
    function startRequest(host: string, name: Stream, method: string, headers: Record<string, string | number>) {
        const call = request({
            host,
            port,
            method,
            path: copyPath(name),
            headers,
            agent: false,
            timeout: inactivityTimeoutMs,
        });
        call.on("timeout", () => call.destroy());
        return call;
    }

    return {
        fetch(host, name) {
            return new Promise(resolve => {
                const call = startRequest(host, name, "GET", {});
                call.on("response", response => {
                    readBody(response, bytes => resolve(response.statusCode === 200 ? bytes : undefined));
                });
                call.on("error", () => resolve(undefined));
                call.on("close", () => resolve(undefined));
                call.end();
            });
        },
        push(host, name, bytes, forwardTo) {
            return new Promise(resolve => {
                const headers = { "content-length": bytes.length, [forwardToHeader]: forwardTo.join(",") };
                const call = startRequest(host, name, "POST", headers);
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
