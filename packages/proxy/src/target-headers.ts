import type { IncomingHttpHeaders } from "node:http";
import { callerHeader, connectionHeaders, targetHeader } from "./caller-interface";
import type { CallerRequest } from "./caller-request";

/** Hop-by-hop response headers, and control headers that only the proxy may set. */
const strippedResponseHeaders = new Set<string>([
    callerHeader.requestId,
    callerHeader.outcome,
    callerHeader.nextIdempotencyKey,
    targetHeader.notRun,
    targetHeader.state,
    ...connectionHeaders,
]);

/** Returns the headers of the request to a target as alternating names and values. */
export function requestHeaders(
    request: CallerRequest,
    values: { requestId: string; remainingMs: number; bodyLength?: number; },
): string[] {
    const headers = request.headers.slice();
    headers.push(
        callerHeader.requestId,
        values.requestId,
        callerHeader.deadline,
        String(Math.max(1, Math.floor(values.remainingMs))),
    );
    if (values.bodyLength !== undefined) {
        headers.push("content-length", String(values.bodyLength));
    }
    return headers;
}

/** Node.js writes headers as Latin-1; converts text decoded as UTF-8 back to one character per byte. */
function toLatin1(value: string): string {
    return /[^\x00-\xff]/.test(value) ? Buffer.from(value).toString("latin1") : value;
}

/** Returns the end-to-end headers of a response as alternating names and values. */
export function responseHeaders(received: IncomingHttpHeaders): string[] {
    const connectionOptions = received.connection === undefined
        ? undefined
        : new Set(received.connection.split(",").map(token => token.trim().toLowerCase()));
    // The content length frames the body and is kept even if the connection header lists it.
    connectionOptions?.delete("content-length");
    const headers: string[] = [];
    for (const name in received) {
        const value = received[name];
        if (value === undefined || strippedResponseHeaders.has(name) || connectionOptions?.has(name) === true) {
            continue;
        }
        if (typeof value === "string") {
            headers.push(name, toLatin1(value));
        }
        else {
            value.forEach(item => headers.push(name, toLatin1(item)));
        }
    }
    return headers;
}
