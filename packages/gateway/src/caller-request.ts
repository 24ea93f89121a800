import { err, ok, safeTry } from "neverthrow";
import type { Result } from "neverthrow";
import type { IncomingMessage } from "node:http";
import type { HeaderNames } from "./header-names";
import { refusal } from "./refusal";
import type { Refusal } from "./refusal";

/** Head of a caller's request. */
export interface CallerRequest {
    id: string;
    method: string;
    /** Path and query as received. */
    url: string;
    path: string;
    host: string;
    key: string | undefined;
    /** Time until the caller's deadline, in milliseconds. */
    deadlineMs: number;
    /** Declared length of the body in bytes; undefined for a chunked one. */
    contentLength: number | undefined;
    headerBytes: number;
    /** Headers for the target, names and values alternating; without those that the proxy sets. */
    forwarded: string[];
}

/** Headers that apply to one connection only. */
const hopByHopHeaders = new Set([
    "connection",
    "keep-alive",
    "proxy-connection",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "http2-settings",
    "expect",
]);

/** Deadline of a request that states none, in milliseconds. */
const defaultDeadlineMs = 30_000;
const bearerPattern = /^bearer +(\S+) *$/i;
const requestIdPattern = /^[\x21-\x7e]{1,200}$/;

/** Returns whether a header, named in lower case, applies to one connection only. */
export function isHopByHopHeader(name: string): boolean {
    return hopByHopHeaders.has(name);
}

function readDeadline(text: string | undefined): Result<number, Refusal> {
    if (text === undefined) {
        return ok(defaultDeadlineMs);
    }
    const value = Number(text);
    return Number.isFinite(value) ? ok(value) : err(refusal("malformed_request", 400, { inputs: { deadline: text } }));
}

function readLength(firstValues: ReadonlyMap<string, string>): Result<number | undefined, Refusal> {
    const encoding = firstValues.get("transfer-encoding");
    if (encoding !== undefined) {
        return encoding.toLowerCase() === "chunked" ? ok(undefined) : err(refusal("malformed_request", 400));
    }
    return ok(Number(firstValues.get("content-length") ?? 0));
}

interface ParsedHeaders {
    /** First value of each header, by its name in lower case. */
    firstValues: Map<string, string>;
    forwarded: string[];
    bytes: number;
}

function readHeaders(raw: readonly string[], headerNames: HeaderNames): ParsedHeaders {
    const proxyHeaders = new Set<string>([
        headerNames.requestId,
        headerNames.deadline,
        headerNames.organisation,
        headerNames.expectedTarget,
        headerNames.notRun,
        "authorization",
        "content-length",
        "host",
    ]);
    const firstValues = new Map<string, string>();
    const forwarded: string[] = [];
    let bytes = 0;
    for (let index = 0; index < raw.length; index += 2) {
        const name = raw[index]!.toLowerCase();
        const value = raw[index + 1]!;
        bytes += name.length + value.length + 4;
        if (!firstValues.has(name)) {
            firstValues.set(name, value);
        }
        if (!proxyHeaders.has(name) && !hopByHopHeaders.has(name)) {
            forwarded.push(raw[index]!, value);
        }
    }
    return { firstValues, forwarded: withoutConnectionOptions(forwarded, firstValues.get("connection")), bytes };
}

/** Removes the headers that the caller's Connection header lists. */
function withoutConnectionOptions(forwarded: string[], connection: string | undefined): string[] {
    const options = new Set((connection ?? "").toLowerCase().split(",").map(token => token.trim()));
    options.delete("content-type");
    const kept: string[] = [];
    for (let index = 0; index < forwarded.length; index += 2) {
        if (!options.has(forwarded[index]!.toLowerCase())) {
            kept.push(forwarded[index]!, forwarded[index + 1]!);
        }
    }
    return kept;
}

/** Reads the head of a request; a malformed one yields a refusal. */
export function readCallerRequest(incoming: IncomingMessage, headerNames: HeaderNames): Result<CallerRequest, Refusal> {
    return safeTry(function*() {
        const { firstValues, forwarded, bytes } = readHeaders(incoming.rawHeaders, headerNames);
        const id = firstValues.get(headerNames.requestId) ?? "";
        const host = firstValues.get("host");
        if (!requestIdPattern.test(id) || host === undefined) {
            return err(refusal("malformed_request", 400, { inputs: { hasHost: host !== undefined } }));
        }
        const url = incoming.url ?? "/";
        return ok({
            id,
            method: incoming.method ?? "GET",
            url,
            path: url.split("?", 1)[0]!,
            host: host.replace(/:\d+$/, ""),
            key: bearerPattern.exec(firstValues.get("authorization") ?? "")?.[1],
            deadlineMs: yield* readDeadline(firstValues.get(headerNames.deadline)),
            contentLength: yield* readLength(firstValues),
            headerBytes: bytes,
            forwarded: ["Host", host, ...forwarded],
        });
    });
}
