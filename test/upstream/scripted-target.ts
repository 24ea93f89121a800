import { createConnectionPool } from "@trefoilladder/upstream";
import type { ConnectionPool, Exchange, ResponseHead } from "@trefoilladder/upstream";
import { once } from "node:events";
import { createServer } from "node:net";
import type { AddressInfo, Server, Socket } from "node:net";

/** A target that responds to each request as scripted. */
export interface ScriptedTarget {
    port: number;
    /** Number of connections accepted so far. */
    connections(): number;
    /** Heads of the requests received so far. */
    requests: string[];
    close(): Promise<void>;
}

/**
 * Starts a target; `respond` is called with the socket, the request's number and its id, `accept` with each accepted
 * connection.
 */
export async function startScriptedTarget(
    respond: (socket: Socket, request: number, id: string) => void,
    accept: (socket: Socket) => void = () => undefined,
): Promise<ScriptedTarget> {
    const sockets = new Set<Socket>();
    const requests: string[] = [];
    let accepted = 0;
    const server: Server = createServer(socket => {
        accepted += 1;
        sockets.add(socket);
        accept(socket);
        socket.on("error", () => undefined);
        socket.on("close", () => sockets.delete(socket));
        socket.on("data", chunk => {
            const text = chunk.toString("latin1");
            if (/^[A-Z]+ \S+ HTTP/.test(text)) {
                requests.push(text);
                respond(socket, requests.length, /request-id: (\S+)/i.exec(text)?.[1] ?? "");
            }
        });
    }).listen(0, "127.0.0.1");
    await once(server, "listening");
    return {
        port: (server.address() as AddressInfo).port,
        connections: () => accepted,
        requests,
        async close() {
            sockets.forEach(socket => socket.destroy());
            server.close();
            await once(server, "close");
        },
    };
}

/** Returns the text of a complete response. */
export function responseText(id: string, body = "ok", headers: readonly string[] = []): string {
    const lines = [`Request-Id: ${id}`, "Response-Signature: s", `Content-Length: ${body.length}`, ...headers];
    return `HTTP/1.1 200 OK\r\n${lines.join("\r\n")}\r\n\r\n${body}`;
}

/** Result of an exchange. */
export interface ExchangeOutcome {
    head?: ResponseHead;
    body: string;
    failure?: string;
    skipped: string[];
}

/** Options of an exchange. */
export interface ExchangeOptions {
    maxIdleMs?: number;
    canBeSent?(): boolean;
    /** Called for each received part of the body. */
    onData?(control: Exchange): void;
}

/** Time in milliseconds in which the connections of the pool have to be established. */
export const connectTimeoutMs = 300;

/** Creates a pool for tests. */
export function createPool(keepsConnections: () => boolean = () => true): ConnectionPool {
    return createConnectionPool({
        now: () => performance.now(),
        connectTimeoutMs,
        requestIdHeader: "request-id",
        keepsConnections,
    });
}

/** Sends a request and waits for the result. */
export function exchange(
    pool: ConnectionPool,
    port: number,
    id: string,
    { maxIdleMs = 1_000, canBeSent = () => true, onData = () => undefined }: ExchangeOptions = {},
): Promise<ExchangeOutcome> {
    return new Promise(resolve => {
        const outcome: ExchangeOutcome = { body: "", skipped: [] };
        const control = pool.exchange({ id: "t", address: "127.0.0.1", port }, maxIdleMs, {
            id,
            method: "GET",
            canBeSent,
            head: () => `GET / HTTP/1.1\r\nHost: h\r\nRequest-Id: ${id}\r\n\r\n`,
            writeBody: writer => writer.end(),
        }, {
            sent: () => undefined,
            head: head => outcome.head = head,
            data(chunk) {
                outcome.body += chunk.toString("latin1");
                onData(control);
            },
            end: () => resolve(outcome),
            fail: failure => resolve({ ...outcome, failure: failure.code }),
            skipped: skipped => outcome.skipped.push(skipped),
        });
    });
}
