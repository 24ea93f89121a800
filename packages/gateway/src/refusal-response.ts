import type { ServerResponse } from "node:http";
import type { HeaderNames } from "./header-names";
import type { Refusal } from "./refusal";

/** Sends a refusal, unless a response has begun or the caller disconnected. */
export function sendRefusal(
    outgoing: ServerResponse,
    refused: Refusal,
    options: { headerNames: HeaderNames; id: string; close: boolean; },
): void {
    if (outgoing.destroyed || outgoing.headersSent) {
        return;
    }
    const body = JSON.stringify({ code: refused.code });
    const headers = ["Content-Type", "application/json", "Content-Length", String(Buffer.byteLength(body))];
    if (options.id !== "") {
        headers.push(options.headerNames.requestId, options.id);
    }
    if (refused.retryAfterSeconds !== undefined) {
        headers.push("Retry-After", String(refused.retryAfterSeconds));
    }
    if (options.close) {
        headers.push("Connection", "close");
    }
    outgoing.writeHead(refused.status, headers);
    outgoing.end(body);
}
