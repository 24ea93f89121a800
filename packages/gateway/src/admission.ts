/**
 * Admission control: refuses requests that cannot be served in time.
 *
 * When targets are so slow or so few that the queue wait at every target exceeds the caller's deadline, a request is
 * refused at once, as not run, so that its caller can retry while there is time.
 */

import { queueWaitMs, retryAfterKnownWaitSeconds, retryAfterSeconds } from "@trefoilladder/placement";
import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";
import { refusal } from "./refusal";
import type { Refusal } from "./refusal";

/** Inputs of the admission decision. */
export interface LoadState {
    remainingMs: number;
    /** 0 is the most urgent. */
    priority: number;
    /** Typical processing time of such a request at a target, in milliseconds; undefined while unknown. */
    typicalMs: number | undefined;
    /** Requests per slot at the least used target; undefined without a target. */
    leastUsed: number | undefined;
    /** Share of recent requests that were refused, from 0 to 1. */
    refusedShare: number;
    /** Returns the time in milliseconds until a target accepts requests again; undefined when none is known. */
    msUntilServing(): number | undefined;
    random(): number;
}

/** Share of the remaining time that the expected queue wait may take; less urgent requests leave room for others. */
const urgentWaitShare = 0.8;
const waitShareStep = 0.1;
const minWaitShare = 0.5;

/** Refuses a request when no target is expected to respond in time. */
export function admitLoad(state: LoadState): Result<void, Refusal> {
    const retryAfter = () => retryAfterSeconds(Math.max(0.3, state.refusedShare), state.random);
    const { leastUsed } = state;
    if (leastUsed === undefined) {
        const msUntilServing = state.msUntilServing();
        const seconds = Math.max(retryAfter(), retryAfterKnownWaitSeconds(msUntilServing ?? 0, state.random));
        return err(refusal("no_target", 503, { retryAfterSeconds: seconds, inputs: { msUntilServing } }));
    }
    const waitMs = queueWaitMs(leastUsed, state.typicalMs);
    const share = Math.max(minWaitShare, urgentWaitShare - waitShareStep * state.priority);
    if (waitMs <= state.remainingMs * share) {
        return ok(undefined);
    }
    const inputs = { waitMs: Math.round(waitMs), remainingMs: Math.round(state.remainingMs), leastUsed };
    return err(refusal("overloaded", 503, { retryAfterSeconds: retryAfter(), inputs }));
}
