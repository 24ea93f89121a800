import { request } from "node:http";
import type { IncomingHttpHeaders } from "node:http";
import { setTimeout as delay } from "node:timers/promises";

/** Response that a caller received. */
export interface CallerResult {
    status: number;
    headers: IncomingHttpHeaders;
    body: string;
    /** Whether the response is complete. */
    complete: boolean;
    ms: number;
}

/** A caller's request. */
export interface CallerOptions {
    path?: string;
    method?: string;
    key?: string;
    host?: string;
    id?: string;
    deadlineMs?: number;
    headers?: Record<string, string>;
    body?: string;
    signal?: AbortSignal;
}

let lastId = 0;

/** Sends a request and waits for the end of its response; status 0 if the connection closes without one. */
export function call(at: { host: string; port: number; }, options: CallerOptions = {}): Promise<CallerResult> {
    const startedAt = performance.now();
    const ms = () => performance.now() - startedAt;
    // Node.js takes a body without a length as complete when its connection is reset, and reports the end of the connection in
    // place of the reset when it still has data to read. The remote address is undefined after a reset.
    let isReset = false;
    let hasResponse = false;
    return new Promise(resolve => {
        const outgoing = request({
            ...at,
            agent: false,
            method: options.method ?? "GET",
            path: options.path ?? "/lookup/1",
            signal: options.signal,
            headers: {
                "host": options.host ?? "laurel.example",
                "request-id": options.id ?? `id-${lastId += 1}`,
                "deadline-ms": String(options.deadlineMs ?? 4_000),
                "authorization": `Bearer ${options.key ?? "key-1"}`,
                ...options.headers,
            },
        }, response => {
            hasResponse = true;
            const chunks: Buffer[] = [];
            const finish = () =>
                resolve({
                    status: response.statusCode ?? 0,
                    headers: response.headers,
                    body: Buffer.concat(chunks).toString(),
                    complete: response.complete && !isReset,
                    ms: ms(),
                });
            response.on("data", (chunk: Buffer) => chunks.push(chunk));
            response.on("close", finish);
            response.on("error", finish);
        });
        outgoing.on("socket", socket => {
            socket.prependListener("end", () => isReset ||= socket.remoteAddress === undefined);
        });
        outgoing.on("error", () => {
            isReset = true;
            if (!hasResponse) {
                resolve({ status: 0, headers: {}, body: "", complete: false, ms: ms() });
            }
        });
        outgoing.end(options.body);
    });
}

/** Waits until a condition holds; fails after 5 seconds. */
export async function waitUntil(condition: () => boolean | Promise<boolean>): Promise<void> {
    for (let attempt = 0; attempt < 200; attempt++) {
        if (await condition()) {
            return;
        }
        await delay(25);
    }
    throw new Error("timed out waiting for the condition");
}
