/**
 * Refusal of requests that cannot be served in time.
 *
 * Load pattern: targets are so slow or so few that requests wait longer at every target than their callers do. Such a
 * request is refused at once, as not run, so that its caller can come back while there is time.
 */

import { queueWaitMs, retryAfterSeconds, returnAfterSeconds } from "@trefoilladder/placement";
import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";
import { refusal } from "./refusal";
import type { Refusal } from "./refusal";

/** What the decision depends on. */
export interface LoadState {
    remainingMs: number;
    /** 0 is the most urgent. */
    priority: number;
    /** Usual time that a target works on such a request, in milliseconds; undefined while unknown. */
    usualMs: number | undefined;
    /** Requests by slots at the least used target; undefined without a target. */
    leastUsed: number | undefined;
    refusedShare: number;
    /** Returns the time in milliseconds until a target wants requests again; undefined when none is known. */
    msUntilServing(): number | undefined;
    random(): number;
}

/** Part of the remaining time that a request may be expected to wait; less urgent requests leave room for others. */
const urgentWaitShare = 0.8;
const waitShareStep = 0.1;
const minWaitShare = 0.5;

/** Refuses a request when no target can be expected to answer in time. */
export function admitLoad(state: LoadState): Result<void, Refusal> {
    const retryAfter = () => retryAfterSeconds(Math.max(0.3, state.refusedShare), state.random);
    const { leastUsed } = state;
    if (leastUsed === undefined) {
        const msUntilServing = state.msUntilServing();
        const seconds = Math.max(retryAfter(), returnAfterSeconds(msUntilServing ?? 0, state.random));
        return err(refusal("no_target", 503, { retryAfterSeconds: seconds, inputs: { msUntilServing } }));
    }
    const waitMs = queueWaitMs(leastUsed, state.usualMs);
    const share = Math.max(minWaitShare, urgentWaitShare - waitShareStep * state.priority);
    if (waitMs <= state.remainingMs * share) {
        return ok(undefined);
    }
    const inputs = { waitMs: Math.round(waitMs), remainingMs: Math.round(state.remainingMs), leastUsed };
    return err(refusal("overloaded", 503, { retryAfterSeconds: retryAfter(), inputs }));
}
