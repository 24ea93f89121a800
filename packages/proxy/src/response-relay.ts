import type { TargetResponse } from "./attempt-result";
import { callerHeader } from "./caller-interface";
import type { RequestOutcome } from "./caller-interface";
import type { Exchange } from "./exchange";
import { closeAfterUnreadBody } from "./unread-body";

/** Sends the status line and headers of a response to the caller. */
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
    const allHeaders = [...headers, callerHeader.requestId, requestId, callerHeader.outcome, outcome, ...extraHeaders];
    closeAfterUnreadBody(outgoing);
    outgoing.writeHead(status, allHeaders);
}

/** Sends a complete response to the caller. */
export function sendResponse(exchange: Exchange, response: Omit<TargetResponse, "retryAfterMs">): void {
    if (exchange.outgoing.destroyed || exchange.outgoing.headersSent) {
        return;
    }
    startResponse(exchange, response.status, response.headers, response.outcome);
    // Node.js sends headers and a Latin-1 string in one write but needs two for a buffer. Latin-1 preserves every byte.
    exchange.outgoing.end(response.body.toString("latin1"), "latin1");
}
