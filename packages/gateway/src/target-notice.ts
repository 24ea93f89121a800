import { headerOf } from "@trefoilladder/upstream";
import type { ResponseHead } from "@trefoilladder/upstream";
import type { HeaderNames } from "./header-names";

/** What a target says of itself beside an answer. */
export interface TargetNotice {
    /** Whether it takes no new requests, since it ends soon. */
    leaving: boolean;
    /** Time in milliseconds for which it wants nothing from this instance; undefined when it says none. */
    turnedAwayMs: number | undefined;
    /** Beginning of a time that cannot be read. */
    unreadableTime: string | undefined;
}

/** Status of a process that is not the expected target; what it says concerns another one. */
const otherTargetStatus = 421;
const turnedAwayStatus = 503;
/** Seconds, whole or with a fraction; dates and signs are not used between targets and this system. */
const secondsPattern = /^\d+(?:\.\d+)?$/;
/** Characters of an unreadable time that are logged. */
const loggedCharacters = 40;

const nothing: TargetNotice = { leaving: false, turnedAwayMs: undefined, unreadableTime: undefined };

function readTime(text: string): Pick<TargetNotice, "turnedAwayMs" | "unreadableTime"> {
    if (!secondsPattern.test(text)) {
        return { turnedAwayMs: undefined, unreadableTime: text.slice(0, loggedCharacters) };
    }
    // A number with more digits than fit is infinite, and bounded like any long time.
    return { turnedAwayMs: Number(text) * 1_000, unreadableTime: undefined };
}

/** Reads what a target says of itself in the head of an answer. */
export function readNotice(head: ResponseHead, names: HeaderNames): TargetNotice {
    if (head.status === otherTargetStatus) {
        return nothing;
    }
    const leaving = headerOf(head, names.leaving)?.trim() === "1";
    const time = head.status === turnedAwayStatus ? headerOf(head, names.turnedAwaySeconds) : undefined;
    return { ...nothing, leaving, ...time === undefined ? {} : readTime(time.trim()) };
}
