import { once } from "node:events";
import { createServer } from "node:http";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";

/** Faults of a target. */
export const targetFault = {
    none: "none",
    error: "error",
    reset: "reset",
    hang: "hang",
    shed: "shed",
    /** Runs the request and closes the connection without a response. */
    lost: "lost",
    /** Rejects requests with a `retry-after` time. */
    throttle: "throttle",
} as const;

/** A fault of a target. */
export type TargetFault = typeof targetFault[keyof typeof targetFault];

/** A target that reports the requests it receives and runs. */
export interface SoakTarget {
    id: string;
    port: number;
    fault: TargetFault;
    /** Whether every response announces that the target is leaving. */
    isLeaving: boolean;
    close(): void;
}

/** Receives the events of a target. */
export interface TargetListener {
    /** Called when the target starts to run a request. */
    ran(request: string, method: string, key: unknown): void;
    /** Called for every request that arrives, whether it runs or not. */
    arrived(target: string, request: string): void;
    /** Called when a request is rejected with a retry time, in milliseconds. */
    throttled(target: string, request: string, retryAfterMs: number): void;
}

/** Retry time in a throttling response, in milliseconds. */
const throttleMs = 2_000;

/** Service time of a request, in milliseconds. */
const serviceTimeMs = 20;

/** Starts a target on a free loopback port. */
export async function startSoakTarget(
    id: string,
    listener: TargetListener,
): Promise<SoakTarget> {
    const run = (incoming: IncomingMessage) =>
        listener.ran(String(incoming.headers["request-id"]), incoming.method ?? "", incoming.headers["authorization"]);
    const respond = (incoming: IncomingMessage, outgoing: ServerResponse, status: number) =>
        setTimeout(() => {
            const requestId = String(incoming.headers["request-id"]);
            outgoing.writeHead(status, { "request-id": requestId, "response-signature": `${id}.${requestId}` });
            outgoing.end(`body of ${requestId}`);
        }, serviceTimeMs);
    const handlers: Record<TargetFault, (incoming: IncomingMessage, outgoing: ServerResponse) => void> = {
        none(incoming, outgoing) {
            run(incoming);
            respond(incoming, outgoing, 200);
        },
        error(incoming, outgoing) {
            run(incoming);
            respond(incoming, outgoing, 500);
        },
        reset: incoming => void incoming.socket.resetAndDestroy(),
        hang: incoming => run(incoming),
        throttle(incoming, outgoing) {
            listener.throttled(id, String(incoming.headers["request-id"]), throttleMs);
            outgoing.writeHead(503, { "not-executed": "1", "retry-after": String(throttleMs / 1_000) }).end();
        },
        shed: (_, outgoing) => void outgoing.writeHead(503, { "not-executed": "1" }).end(),
        lost(incoming) {
            run(incoming);
            setTimeout(() => incoming.socket.destroy(), serviceTimeMs);
        },
    };
    const server = createServer((incoming, outgoing) => {
        const expected = incoming.headers["expected-instance"];
        if (expected !== id) {
            outgoing.writeHead(421).end();
            return;
        }
        const requestId = String(incoming.headers["request-id"]);
        listener.arrived(id, requestId);
        if (target.isLeaving) {
            outgoing.setHeader("server-leaving", "1");
        }
        incoming.resume();
        incoming.on("end", () => handlers[target.fault](incoming, outgoing));
    }).listen(0, "127.0.0.1");
    await once(server, "listening");
    const target: SoakTarget = {
        id,
        port: (server.address() as AddressInfo).port,
        fault: targetFault.none,
        isLeaving: false,
        close() {
            server.close();
            server.closeAllConnections();
        },
    };
    return target;
}
