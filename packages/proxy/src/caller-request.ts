import { err, ok, safeTry } from "neverthrow";
import type { Result } from "neverthrow";
import type { IncomingMessage } from "node:http";
import { callerHeader, connectionHeaders, targetHeader } from "./caller-interface";
import { notRun } from "./problem";
import type { Problem } from "./problem";
import type { ResolvedProxyOptions } from "./proxy-options";
import { parsePath } from "./request-path";

/** A caller's request whose head has been checked. */
export interface CallerRequest {
    method: string;
    /** Path and query as received. */
    url: string;
    /** Decoded path without the query, for the choice of the route. */
    path: string;
    /** Remaining time at arrival in milliseconds. */
    deadlineMs: number;
    authorization?: string;
    idempotencyKey?: string;
    /** Announced length of the body, or undefined for a chunked body. */
    contentLength?: number;
    hasBody: boolean;
    /** End-to-end headers for the target, names and values in turn; without credentials and control headers. */
    headers: string[];
}

/** Headers that carry one value; a second one would make the proxy and a target read different requests. */
const singleHeaders = new Set<string>([
    callerHeader.authorization,
    callerHeader.deadline,
    callerHeader.requestId,
    callerHeader.idempotencyKey,
    "content-length",
    "content-type",
    "host",
    "transfer-encoding",
]);

/** Headers that concern one connection, credentials, and headers that the proxy itself writes. */
const ownHeaders = new Set<string>([
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

interface ReadHeaders {
    single: Map<string, string>;
    forwarded: string[];
}

function readHeaders(raw: readonly string[]): Result<ReadHeaders, Problem> {
    const single = new Map<string, string>();
    const forwarded: string[] = [];
    let nominated: Set<string> | undefined;
    for (let index = 0; index < raw.length; index += 2) {
        const name = raw[index]!.toLowerCase();
        const value = raw[index + 1]!;
        if (singleHeaders.has(name)) {
            if (single.has(name)) {
                return err(notRun("header_repeated", `the header ${name} is given more than once`));
            }
            single.set(name, value);
        }
        if (name === "connection") {
            nominated ??= new Set();
            value.split(",").forEach(token => nominated!.add(token.trim().toLowerCase()));
        }
        if (!ownHeaders.has(name)) {
            forwarded.push(name, value);
        }
    }
    return ok({ single, forwarded: nominated === undefined ? forwarded : withoutNominated(forwarded, nominated) });
}

function withoutNominated(headers: string[], nominated: Set<string>): string[] {
    // Framing and type of the body stay, whatever the caller's connection header names.
    nominated.delete("content-type");
    const kept: string[] = [];
    for (let index = 0; index < headers.length; index += 2) {
        if (!nominated.has(headers[index]!)) {
            kept.push(headers[index]!, headers[index + 1]!);
        }
    }
    return kept;
}

function readDeadline(text: string | undefined, options: ResolvedProxyOptions): Result<number, Problem> {
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

function readFraming(
    single: Map<string, string>,
    options: ResolvedProxyOptions,
): Result<{ hasBody: boolean; contentLength?: number; }, Problem> {
    const length = single.get("content-length");
    const encoding = single.get("transfer-encoding");
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

/** Returns the caller's request id when it is a usable one. Reading `headers` instead would build the whole object. */
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

/** Checks the head of a request. The body is not read. */
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
        const { single, forwarded } = yield* readHeaders(incoming.rawHeaders);
        if (!single.has("host") && incoming.httpVersion === "1.1") {
            return err(notRun("request_malformed", "the host header is missing"));
        }
        if (single.has(callerHeader.requestId) && readRequestId(incoming) === undefined) {
            return err(notRun("request_id_invalid", "the request id is not 1 to 128 visible ASCII characters"));
        }
        const { hasBody, contentLength } = yield* readFraming(single, options);
        const deadlineMs = yield* readDeadline(single.get(callerHeader.deadline), options);
        return ok({
            method,
            url,
            path,
            deadlineMs,
            authorization: single.get(callerHeader.authorization),
            idempotencyKey: single.get(callerHeader.idempotencyKey),
            hasBody,
            contentLength,
            headers: forwarded,
        });
    });
}
