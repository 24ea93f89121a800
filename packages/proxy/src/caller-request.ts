import { err, ok, safeTry } from "neverthrow";
import type { Result } from "neverthrow";
import type { IncomingMessage } from "node:http";
import { callerHeader, connectionHeaders, targetHeader } from "./caller-interface";
import { notRun } from "./problem";
import type { Problem } from "./problem";
import type { ResolvedProxyOptions } from "./proxy-options";
import { parsePath } from "./request-path";

/** A caller's request whose request line and headers have been validated. */
export interface CallerRequest {
    method: string;
    /** Path and query as received. */
    url: string;
    /** Decoded path without the query, used to select the route. */
    path: string;
    /** Remaining time at arrival in milliseconds. */
    deadlineMs: number;
    authorization?: string;
    idempotencyKey?: string;
    /** Length of the body from `content-length`; undefined for a chunked body. */
    contentLength?: number;
    hasBody: boolean;
    /** End-to-end headers for the target as alternating names and values, without credentials and control headers. */
    headers: string[];
}

/** Headers that may occur once; the proxy and a target could interpret a repeated one differently. */
const singletonHeaders = new Set<string>([
    callerHeader.authorization,
    callerHeader.deadline,
    callerHeader.requestId,
    callerHeader.idempotencyKey,
    "content-length",
    "content-type",
    "host",
    "transfer-encoding",
]);

/** Hop-by-hop headers, credentials, and headers that the proxy sets itself. */
const strippedRequestHeaders = new Set<string>([
    callerHeader.authorization,
    callerHeader.deadline,
    callerHeader.requestId,
    callerHeader.outcome,
    callerHeader.nextIdempotencyKey,
    targetHeader.notRun,
    targetHeader.state,
    ...connectionHeaders,
    "content-length",
    "expect",
    "host",
    "http2-settings",
]);

const requestIdPattern = /^[\x21-\x7e]{1,128}$/;
const unsupportedMethods = new Set(["CONNECT", "TRACE"]);

interface ParsedHeaders {
    singletons: Map<string, string>;
    forwarded: string[];
}

function parseHeaders(raw: readonly string[]): Result<ParsedHeaders, Problem> {
    const singletons = new Map<string, string>();
    const forwarded: string[] = [];
    let connectionOptions: Set<string> | undefined;
    for (let index = 0; index < raw.length; index += 2) {
        const name = raw[index]!.toLowerCase();
        const value = raw[index + 1]!;
        if (singletonHeaders.has(name)) {
            if (singletons.has(name)) {
                return err(notRun("header_repeated", `the header ${name} is given more than once`));
            }
            singletons.set(name, value);
        }
        if (name === "connection") {
            connectionOptions ??= new Set();
            value.split(",").forEach(token => connectionOptions!.add(token.trim().toLowerCase()));
        }
        if (!strippedRequestHeaders.has(name)) {
            forwarded.push(name, value);
        }
    }
    return ok({
        singletons,
        forwarded: connectionOptions === undefined ? forwarded : removeConnectionOptions(forwarded, connectionOptions),
    });
}

function removeConnectionOptions(headers: string[], connectionOptions: Set<string>): string[] {
    // The content type describes the body and is kept even if the caller's connection header lists it.
    connectionOptions.delete("content-type");
    const remaining: string[] = [];
    for (let index = 0; index < headers.length; index += 2) {
        if (!connectionOptions.has(headers[index]!)) {
            remaining.push(headers[index]!, headers[index + 1]!);
        }
    }
    return remaining;
}

function parseDeadline(text: string | undefined, options: ResolvedProxyOptions): Result<number, Problem> {
    if (text === undefined) {
        return ok(options.defaultDeadlineMs);
    }
    if (!/^-?\d{1,9}$/.test(text)) {
        return err(notRun("deadline_invalid", "the deadline is not a whole number of milliseconds"));
    }
    const deadlineMs = Number(text);
    return deadlineMs > 0
        ? ok(Math.min(deadlineMs, options.maxDeadlineMs))
        : err(notRun("deadline_passed", "the deadline has passed"));
}

function parseFraming(
    singletons: Map<string, string>,
    options: ResolvedProxyOptions,
): Result<{ hasBody: boolean; contentLength?: number; }, Problem> {
    const length = singletons.get("content-length");
    const encoding = singletons.get("transfer-encoding");
    if (length !== undefined && encoding !== undefined) {
        return err(notRun("request_malformed", "content-length and transfer-encoding are both given"));
    }
    if (encoding !== undefined) {
        return encoding.toLowerCase() === "chunked"
            ? ok({ hasBody: true })
            : err(notRun("request_malformed", "the transfer encoding is not chunked"));
    }
    if (length === undefined) {
        return ok({ hasBody: false, contentLength: 0 });
    }
    if (!/^\d{1,15}$/.test(length)) {
        return err(notRun("request_malformed", "the content length is not a number"));
    }
    const contentLength = Number(length);
    return contentLength > options.maxRequestBytes
        ? err(notRun("body_too_large", `the body is larger than ${options.maxRequestBytes} bytes`))
        : ok({ hasBody: contentLength > 0, contentLength });
}

/** Returns the caller's request id if it is valid. `rawHeaders` avoids the cost of building the `headers` object. */
export function readRequestId(incoming: IncomingMessage): string | undefined {
    const raw = incoming.rawHeaders;
    for (let index = 0; index < raw.length; index += 2) {
        const name = raw[index]!;
        if (name.length === callerHeader.requestId.length && name.toLowerCase() === callerHeader.requestId) {
            return requestIdPattern.test(raw[index + 1]!) ? raw[index + 1]! : undefined;
        }
    }
    return undefined;
}

/** Parses and validates the request line and headers. Does not read the body. */
export function parseCallerRequest(
    incoming: IncomingMessage,
    url: string,
    options: ResolvedProxyOptions,
): Result<CallerRequest, Problem> {
    return safeTry(function*() {
        const method = incoming.method ?? "GET";
        if (unsupportedMethods.has(method)) {
            return err(notRun("method_unsupported", `the method ${method} is not supported`));
        }
        const path = yield* parsePath(url);
        const { singletons, forwarded } = yield* parseHeaders(incoming.rawHeaders);
        if (!singletons.has("host") && incoming.httpVersion === "1.1") {
            return err(notRun("request_malformed", "the host header is missing"));
        }
        if (singletons.has(callerHeader.requestId) && readRequestId(incoming) === undefined) {
            return err(notRun("request_id_invalid", "the request id is not 1 to 128 visible ASCII characters"));
        }
        const { hasBody, contentLength } = yield* parseFraming(singletons, options);
        const deadlineMs = yield* parseDeadline(singletons.get(callerHeader.deadline), options);
        return ok({
            method,
            url,
            path,
            deadlineMs,
            authorization: singletons.get(callerHeader.authorization),
            idempotencyKey: singletons.get(callerHeader.idempotencyKey),
            hasBody,
            contentLength,
            headers: forwarded,
        });
    });
}
