import type { LoadReport } from "@trefoilladder/placement";
import { headerOf } from "@trefoilladder/upstream";
import type { ResponseHead } from "@trefoilladder/upstream";
import { isConnectionHeader } from "./caller-request";
import type { HeaderNames } from "./header-names";

/** What the head of a target's response means. */
export const responseKind = {
    /** A response to hand on. */
    usable: "usable",
    /** The target has not run the request. */
    notRun: "not_run",
    /** Another process answers at the address; it has not run the request. */
    otherTarget: "other_target",
    /** The target ran the request and failed. */
    failed: "failed",
    /** A response that cannot be attributed to the target and the request. */
    unusable: "unusable",
} as const;

/** One of the meanings. */
export type ResponseKind = typeof responseKind[keyof typeof responseKind];

/** Statuses that promise a caller that its request has not run. */
const promises = new Set([408, 421, 429, 503]);

/** Tells whether a status promises that the request has not run. */
export function promisesNotRun(status: number): boolean {
    return promises.has(status);
}

/**
 * Returns what the head of a response means. On a connection that has carried other requests a response without an id may be a
 * repetition of an earlier one.
 */
export function readResponseKind(head: ResponseHead, names: HeaderNames, isFresh: boolean): ResponseKind {
    const hasId = headerOf(head, names.requestId) !== undefined;
    if (!hasId && !isFresh) {
        return responseKind.unusable;
    }
    if (head.status === 421) {
        return responseKind.otherTarget;
    }
    if (headerOf(head, names.notRun) !== undefined) {
        return responseKind.notRun;
    }
    if (head.status >= 500 || promises.has(head.status)) {
        return responseKind.failed;
    }
    if (head.status >= 300) {
        return responseKind.usable;
    }
    const isOwn = headerOf(head, names.signature) !== undefined && hasId;
    const isEncoded = headerOf(head, "content-encoding") !== undefined;
    return isOwn && !isEncoded ? responseKind.usable : responseKind.unusable;
}

/** Returns the load that a target reports; undefined when it reports none. */
export function readLoad(head: ResponseHead, names: HeaderNames): LoadReport | undefined {
    const values = (headerOf(head, names.load) ?? "").split(",").map(Number);
    const [running, waiting, slots] = values;
    return values.length === 3 && values.every(value => Number.isFinite(value) && value >= 0)
        ? { running: running!, waiting: waiting!, slots: slots! }
        : undefined;
}

/** Returns the headers of a response that concern the caller, names and values in turn. */
export function endToEndHeaders(head: ResponseHead): string[] {
    const headers: string[] = [];
    for (let index = 0; index < head.headers.length; index += 2) {
        const name = head.headers[index]!.toLowerCase();
        if (!isConnectionHeader(name) && name !== "content-length") {
            headers.push(head.headers[index]!, head.headers[index + 1]!);
        }
    }
    return headers;
}
