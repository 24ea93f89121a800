import type { LoadReport } from "@trefoilladder/placement";
import { headerValue, isFinalStatus } from "@trefoilladder/upstream";
import type { ResponseHead } from "@trefoilladder/upstream";
import { isHopByHopHeader } from "./caller-request";
import type { HeaderNames } from "./header-names";

/** Classes of a target's response, determined by its head. */
export const responseKind = {
    /** A response to relay. */
    usable: "usable",
    /** The target has not run the request. */
    notRun: "not_run",
    /** Another process listens at the address; it has not run the request. */
    otherTarget: "other_target",
    /** The target ran the request and failed. */
    failed: "failed",
    /** A response that cannot be attributed to the target and the request. */
    unusable: "unusable",
} as const;

/** One of the classes. */
export type ResponseKind = typeof responseKind[keyof typeof responseKind];

/** Statuses that imply to a caller that its request has not run. */
const notRunStatuses = new Set([408, 421, 429, 503]);

/** Returns whether a status implies that the request has not run. */
export function impliesNotRun(status: number): boolean {
    return notRunStatuses.has(status);
}

/**
 * Classifies a response by its head. On a connection that has carried other requests, a response without an id may be a
 * duplicate of an earlier one.
 */
export function readResponseKind(
    head: ResponseHead,
    headerNames: HeaderNames,
    usesNewConnection: boolean,
): ResponseKind {
    const hasId = headerValue(head, headerNames.requestId) !== undefined;
    if (!isFinalStatus(head.status)) {
        return responseKind.unusable;
    }
    if (!hasId && !usesNewConnection) {
        return responseKind.unusable;
    }
    if (head.status === 421) {
        return responseKind.otherTarget;
    }
    if (headerValue(head, headerNames.notRun) !== undefined) {
        return responseKind.notRun;
    }
    if (head.status >= 500 || notRunStatuses.has(head.status)) {
        return responseKind.failed;
    }
    if (head.status >= 300) {
        return responseKind.usable;
    }
    const isSigned = headerValue(head, headerNames.signature) !== undefined && hasId;
    const isEncoded = headerValue(head, "content-encoding") !== undefined;
    return isSigned && !isEncoded ? responseKind.usable : responseKind.unusable;
}

/** Returns the load that a target reports; undefined when it reports none. */
export function readLoad(head: ResponseHead, headerNames: HeaderNames): LoadReport | undefined {
    const values = (headerValue(head, headerNames.load) ?? "").split(",").map(Number);
    const [running, waiting, slots] = values;
    return values.length === 3 && values.every(value => Number.isFinite(value) && value >= 0)
        ? { running: running!, waiting: waiting!, slots: slots! }
        : undefined;
}

/** Returns the end-to-end headers of a response without its length, names and values alternating. */
export function endToEndHeaders(head: ResponseHead): string[] {
    const headers: string[] = [];
    for (let index = 0; index < head.headers.length; index += 2) {
        const name = head.headers[index]!.toLowerCase();
        if (!isHopByHopHeader(name) && name !== "content-length") {
            headers.push(head.headers[index]!, head.headers[index + 1]!);
        }
    }
    return headers;
}
