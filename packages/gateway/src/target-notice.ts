import { headerValue } from "@trefoilladder/upstream";
import type { ResponseHead } from "@trefoilladder/upstream";
import type { HeaderNames } from "./header-names";

/** What a target reports about itself in the head of a response. */
export interface TargetNotice {
    /** Whether the target is shutting down and accepts no new requests. */
    leaving: boolean;
    /** Time in milliseconds for which the target rejects requests of this instance; undefined when it gives none. */
    retryAfterMs: number | undefined;
    /** Start of a Retry-After value that cannot be parsed, for the log. */
    invalidRetryAfter: string | undefined;
}

/** Status of a process that is not the expected target; its headers describe another target. */
const misdirectedRequestStatus = 421;
const unavailableStatus = 503;
/** Seconds, whole or with a fraction; dates and signs are not used between targets and instances. */
const secondsPattern = /^\d+(?:\.\d+)?$/;
/** Characters of an invalid Retry-After value that are logged. */
const maxLoggedCharacters = 40;

const emptyNotice: TargetNotice = { leaving: false, retryAfterMs: undefined, invalidRetryAfter: undefined };

function parseRetryAfter(text: string): Pick<TargetNotice, "retryAfterMs" | "invalidRetryAfter"> {
    if (!secondsPattern.test(text)) {
        return { retryAfterMs: undefined, invalidRetryAfter: text.slice(0, maxLoggedCharacters) };
    }
    // A number with too many digits becomes Infinity, which the directory limits like any long time.
    return { retryAfterMs: Number(text) * 1_000, invalidRetryAfter: undefined };
}

/** Reads what a target reports about itself from the head of a response. */
export function readNotice(head: ResponseHead, headerNames: HeaderNames): TargetNotice {
    if (head.status === misdirectedRequestStatus) {
        return emptyNotice;
    }
    const leaving = headerValue(head, headerNames.leaving)?.trim() === "1";
    const retryAfter = head.status === unavailableStatus ? headerValue(head, headerNames.retryAfter) : undefined;
    return { ...emptyNotice, leaving, ...retryAfter === undefined ? {} : parseRetryAfter(retryAfter.trim()) };
}
