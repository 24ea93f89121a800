import type { TargetResponse } from "./attempt-result";
import { callerHeader } from "./caller-interface";
import type { RequestOutcome } from "./caller-interface";
import type { Exchange } from "./exchange";
import { closeAfterUnreadBody } from "./unread-body";

/** Sends the head of a response to the caller. */
export function startResponse(
    exchange: Exchange,
    status: number,
    headers: readonly string[],
    outcome: RequestOutcome,
): void {
    const { outgoing, requestId, extraHeaders } = exchange;
    if (outgoing.destroyed || outgoing.headersSent) {
        return;
    }
    const own = [...headers, callerHeader.requestId, requestId, callerHeader.outcome, outcome, ...extraHeaders];
    closeAfterUnreadBody(outgoing);
    outgoing.writeHead(status, own);
}

/** Sends a complete response to the caller. */
export function sendResponse(exchange: Exchange, response: Omit<TargetResponse, "retryAfterMs">): void {
    if (exchange.outgoing.destroyed || exchange.outgoing.headersSent) {
        return;
    }
    startResponse(exchange, response.status, response.headers, response.outcome);
    // Node.js sends head and a Latin-1 text in one write, and head and a buffer in two parts. Latin-1 keeps every byte.
    exchange.outgoing.end(response.body.toString("latin1"), "latin1");
}
