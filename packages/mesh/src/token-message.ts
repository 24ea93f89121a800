/**
 * Datagrams in which an instance asks the owner of a limit for a token, and those of the responses.
 */

import type { TokenDecision, TokenRequest, TokenResponse } from "@trefoilladder/limits";

/** Formats, the first element of each message; digests have others. */
const requestFormat = 4;
const responseFormat = 5;
/** Position of the format's digit in the datagram. */
const formatPosition = 1;

/** A message about a token, as received. */
export type TokenMessage =
    | { kind: "request"; request: TokenRequest; }
    | { kind: "response"; response: TokenResponse; };

/** Returns whether a datagram is in the format of these messages, valid or not. */
export function isTokenMessage(datagram: Uint8Array): boolean {
    const format = (datagram[formatPosition] ?? 0) - "0".charCodeAt(0);
    return format === requestFormat || format === responseFormat;
}

/** Encodes a request. */
export function encodeTokenRequest({ id, name, maxDelayMs }: TokenRequest): Buffer {
    return Buffer.from(JSON.stringify([requestFormat, id, name, ...maxDelayMs === undefined ? [] : [maxDelayMs]]));
}

function timesOf(decision: TokenDecision): number[] {
    switch (decision.kind) {
        case "granted":
            return decision.delayMs === undefined ? [] : [decision.delayMs];
        case "rejected":
            return [decision.retryAfterMs, decision.nextTokenMs];
        case "starting":
            return [decision.remainingMs];
        default:
            return [];
    }
}

/** Encodes a response. */
export function encodeTokenResponse({ id, name, decision }: TokenResponse): Buffer {
    const { kind } = decision;
    const times = timesOf(decision);
    return Buffer.from(JSON.stringify([responseFormat, id, name, kind, ...times.map(ms => Math.ceil(ms))]));
}

/** Creates a decision from the times of a response; undefined when a time is missing. */
const decisionReaders: Record<TokenDecision["kind"], (times: number[]) => TokenDecision | undefined> = {
    granted: ([delayMs]) => delayMs === undefined ? { kind: "granted" } : { kind: "granted", delayMs },
    unknown: () => ({ kind: "unknown" }),
    starting: ([remainingMs]) => remainingMs === undefined ? undefined : { kind: "starting", remainingMs },
    rejected: ([retryAfterMs, nextTokenMs]) =>
        retryAfterMs === undefined || nextTokenMs === undefined
            ? undefined
            : { kind: "rejected", retryAfterMs, nextTokenMs },
};

function readDecision(kind: unknown, times: unknown[]): TokenDecision | undefined {
    const isValid = typeof kind === "string" && Object.hasOwn(decisionReaders, kind)
        && times.every(ms => typeof ms === "number" && ms >= 0);
    return isValid ? decisionReaders[kind as TokenDecision["kind"]](times as number[]) : undefined;
}

function parse(datagram: Buffer): unknown[] {
    try {
        const fields: unknown = JSON.parse(datagram.toString("utf8"));
        return Array.isArray(fields) ? fields as unknown[] : [];
    }
    catch {
        return [];
    }
}

/** Decodes a datagram; undefined when it is not a message about a token. */
export function decodeTokenMessage(datagram: Buffer): TokenMessage | undefined {
    const [format, id, name, kind, ...times] = parse(datagram);
    if (typeof id !== "string" || typeof name !== "string") {
        return undefined;
    }
    if (format === requestFormat) {
        const request = { id, name };
        const isDelay = typeof kind === "number" && kind >= 0;
        return { kind: "request", request: isDelay ? { ...request, maxDelayMs: kind } : request };
    }
    const decision = format === responseFormat ? readDecision(kind, times) : undefined;
    return decision === undefined ? undefined : { kind: "response", response: { id, name, decision } };
}
