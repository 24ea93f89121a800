import { createServer, STATUS_CODES } from "node:http";
import type { IncomingMessage, Server, ServerOptions, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { requestOutcome } from "./caller-interface";
import { readRequestId } from "./caller-request";
import { currentExchange } from "./exchange";
import { notRun, renderProblem, sendProblem } from "./problem";
import type { Problem } from "./problem";
import type { Proxy } from "./proxy";
import { resolveProxyOptions } from "./proxy-options";
import type { ProxyOptions } from "./proxy-options";
import { createRequestIds } from "./request-ids";

/** Returns the options of the Node.js server of the caller listener. */
export function callerServerOptions(proxyOptions: ProxyOptions = {}): ServerOptions {
    const options = resolveProxyOptions(proxyOptions);
    return {
        headersTimeout: options.headersTimeoutMs,
        requestTimeout: options.requestTimeoutMs,
        keepAliveTimeout: options.keepAliveTimeoutMs,
        maxHeaderSize: options.maxHeaderBytes,
        // Node.js checks for slow requests at this interval, so a timeout fires late by at most this much.
        connectionsCheckingInterval: Math.min(1_000, options.headersTimeoutMs),
        // The proxy responds to a missing host header with a problem document.
        requireHostHeader: false,
        insecureHTTPParser: false,
        noDelay: true,
    };
}

const problemByErrorCode: Partial<Record<string, Problem>> = {
    HPE_HEADER_OVERFLOW: notRun("headers_too_large", "the request line and headers are too large"),
    HPE_CHUNK_EXTENSIONS_OVERFLOW: notRun("body_too_large", "the chunk extensions are too large"),
    ERR_HTTP_REQUEST_TIMEOUT: notRun("request_too_slow", "the request arrives too slowly"),
};
const malformedRequest = notRun("request_malformed", "the request is not valid HTTP/1.1");

function renderRawProblem(problem: Problem, requestId: string): string {
    const { status, headers, body } = renderProblem(problem, requestId);
    let text = `HTTP/1.1 ${status} ${STATUS_CODES[status] ?? ""}\r\nconnection: close\r\n`;
    for (let index = 0; index < headers.length; index += 2) {
        text += `${headers[index]}: ${headers[index + 1]}\r\n`;
    }
    return `${text}\r\n${body}`;
}

/**
 * Responds with a problem document to requests that the HTTP parser rejects, unknown expectations and CONNECT. If a
 * response has started, closes the connection instead, because the document would become part of that response.
 */
export function handleProtocolErrors(server: Server): void {
    const nextRequestId = createRequestIds();

    server.on("clientError", (error: NodeJS.ErrnoException, socket: Socket) => {
        const exchange = currentExchange(socket);
        if (error.code === "ECONNRESET" || !socket.writable || exchange?.outgoing.headersSent === true) {
            socket.destroy();
            return;
        }
        const problem = problemByErrorCode[error.code ?? ""] ?? malformedRequest;
        const outcome = exchange?.mayHaveRun === true ? requestOutcome.unknown : problem.outcome;
        socket.end(
            renderRawProblem({ ...problem, outcome }, exchange?.requestId ?? nextRequestId()),
            () => socket.destroy(),
        );
    });
    server.on("checkExpectation", (incoming: IncomingMessage, outgoing: ServerResponse) => {
        const problem = notRun("expectation_unknown", "the expectation is not 100-continue");
        sendProblem(outgoing, problem, readRequestId(incoming) ?? nextRequestId());
    });
    server.on("connect", (_: IncomingMessage, socket: Socket) => {
        const problem = notRun("method_unsupported", "the method CONNECT is not supported");
        socket.end(renderRawProblem(problem, nextRequestId()), () => socket.destroy());
    });
}

/** Creates the server of the caller listener without starting to listen. */
export function createCallerServer(proxy: Proxy, proxyOptions: ProxyOptions = {}): Server {
    const server = createServer(callerServerOptions(proxyOptions), proxy.listener);
    handleProtocolErrors(server);
    return server;
}
