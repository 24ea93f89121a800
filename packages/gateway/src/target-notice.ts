import { headerOf } from "@trefoilladder/upstream";
import type { ResponseHead } from "@trefoilladder/upstream";
import type { HeaderNames } from "./header-names";

/** What a target says of itself beside an answer. */
export interface TargetNotice {
    /** Whether it takes no new requests, since it ends soon. */
    leaving: boolean;
}

/** Status of a process that is not the expected target; what it says concerns another one. */
const otherTargetStatus = 421;

/** Reads what a target says of itself in the head of an answer. */
export function readNotice(head: ResponseHead, names: HeaderNames): TargetNotice {
    const isOwn = head.status !== otherTargetStatus;
    return { leaving: isOwn && headerOf(head, names.leaving)?.trim() === "1" };
}
