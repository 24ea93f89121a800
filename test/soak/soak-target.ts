import { once } from "node:events";
import { createServer } from "node:http";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";

/** What a target does with a request. */
export const targetFault = {
    none: "none",
    error: "error",
    reset: "reset",
    hang: "hang",
    shed: "shed",
    /** Runs the request and loses the answer. */
    lost: "lost",
    /** Turns requests away and says for how long it wants none. */
    turnAway: "turnAway",
} as const;

/** One of the faults. */
export type TargetFault = typeof targetFault[keyof typeof targetFault];

/** A target that counts its runs. */
export interface SoakTarget {
    id: string;
    port: number;
    fault: TargetFault;
    /** Whether all answers say that the target leaves. */
    isLeaving: boolean;
    close(): void;
}

/** What a target tells of the requests that it gets. */
export interface TargetListener {
    /** Called for each request that it begins to run. */
    ran(request: string, method: string, key: unknown): void;
    /** Called for each request that arrives, run or not. */
    arrived(target: string, request: string): void;
    /** Called when a request is turned away and told for how long the target wants nothing, in milliseconds. */
    turnedAway(target: string, request: string, forMs: number): void;
}

/** Time for which a target wants nothing when it turns requests away, in milliseconds. */
const turnedAwayMs = 2_000;

/** Time that a request takes at a target, in milliseconds. */
const workMs = 20;

/** Starts a target. */
export async function startSoakTarget(
    id: string,
    listener: TargetListener,
): Promise<SoakTarget> {
    const run = (incoming: IncomingMessage) =>
        listener.ran(String(incoming.headers["request-id"]), incoming.method ?? "", incoming.headers["authorization"]);
    const answer = (incoming: IncomingMessage, outgoing: ServerResponse, status: number) =>
        setTimeout(() => {
            const requestId = String(incoming.headers["request-id"]);
            outgoing.writeHead(status, { "request-id": requestId, "response-signature": `${id}.${requestId}` });
            outgoing.end(`body of ${requestId}`);
        }, workMs);
    const handlers: Record<TargetFault, (incoming: IncomingMessage, outgoing: ServerResponse) => void> = {
        none(incoming, outgoing) {
            run(incoming);
            answer(incoming, outgoing, 200);
        },
        error(incoming, outgoing) {
            run(incoming);
            answer(incoming, outgoing, 500);
        },
        reset: incoming => void incoming.socket.resetAndDestroy(),
        hang: incoming => run(incoming),
        turnAway(incoming, outgoing) {
            listener.turnedAway(id, String(incoming.headers["request-id"]), turnedAwayMs);
            outgoing.writeHead(503, { "not-executed": "1", "retry-after": String(turnedAwayMs / 1_000) }).end();
        },
        shed: (_, outgoing) => void outgoing.writeHead(503, { "not-executed": "1" }).end(),
        lost(incoming) {
            run(incoming);
            setTimeout(() => incoming.socket.destroy(), workMs);
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
