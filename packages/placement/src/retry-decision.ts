/**
 * Decision whether to retry after an attempt without a usable response.
 *
 * Load pattern: single targets fail most of their requests while others have capacity, or a whole service sheds load and
 * every retry only adds to the load. A retry is worth its budget only while it can still meet the latency objective.
 */

/** How an attempt ended without a usable response. */
export const attemptEnd = {
    /** Nothing of the request reached a target. */
    notArrived: "not_arrived",
    /** The target reported that it has not run the request. */
    notRun: "not_run",
    /** The target ran the request and responded with an error. */
    failed: "failed",
    /** The request may have run; no usable response was received. */
    unknown: "unknown",
} as const;

/** End of an attempt without a usable response. */
export type AttemptEnd = typeof attemptEnd[keyof typeof attemptEnd];

/** State of a request that the decision depends on. */
export interface RetryState {
    idempotent: boolean;
    /** Targets that the request has reached. */
    arrivals: number;
    maxAttempts: number;
    /** Failed connection attempts. */
    failedConnections: number;
    remainingMs: number;
    budgetLeft: boolean;
    /** Whether the caller's body is buffered and can be sent again. */
    bodyBuffered: boolean;
}

/** Connection failures after which no further target is tried. */
const maxFailedConnections = 4;
/** Remaining time in milliseconds below which no target can respond in time. */
const minRemainingMs = 50;

const mayHaveRun: Record<AttemptEnd, boolean> = { not_arrived: false, not_run: false, failed: true, unknown: true };

/**
 * Share of the retry budget that a retry leaves, by the end of the attempt. A service that sheds load would use up the budget with
 * retries of rejected requests, which can be refused instead; then nothing would probe the targets that are sound again. The
 * budget of a process that has just started is half full, and has to allow such retries.
 */
const reserveShareByEnd: Record<AttemptEnd, number> = { not_arrived: 0, not_run: 0.4, failed: 0, unknown: 0 };

/** Share of the retry budget that hedged attempts leave for retries after failures. */
export const hedgeReserveShare = 0.3;
/** Share of the retry budget that must be left for a request to probe a suspected target. */
export const probeReserveShare = 0.3;

/** Returns the share of the retry budget, from 0 to 1, that has to be left for other retries and probes. */
export function retryReserveShare(end: AttemptEnd): number {
    return reserveShareByEnd[end];
}

/** Returns whether the request is sent to another target. */
export function mayRetry(end: AttemptEnd, state: RetryState): boolean {
    if (!state.bodyBuffered || state.remainingMs < minRemainingMs || mayHaveRun[end] && !state.idempotent) {
        return false;
    }
    if (state.arrivals === 0) {
        return state.failedConnections < maxFailedConnections;
    }
    return state.arrivals < state.maxAttempts && state.budgetLeft;
}
