/**
 * Retry-After values from the expected capacity.
 *
 * Load pattern: a surge is refused for seconds, and the refused requests return together as a second surge. Each instance hands out
 * the capacity that it expects to be left beside new requests, one return after the other.
 */

/** A refused request. */
export interface RefusedRequest {
    /** Expected time in milliseconds until enough of the backlog is done. */
    backlogMs: number;
    remainingMs: number;
    /** Time in milliseconds within which the request still meets its latency objective if it is served then; 0 when it can't. */
    objectiveSlackMs: number;
}

/** Times at which refused requests may return. */
export interface ReturnTimes {
    /** Counts an admitted request. */
    admitted(now: number): void;
    /** Returns the wait of a refused request in seconds. */
    retryAfterSeconds(request: RefusedRequest, now: number): number;
}

/** Time constant in milliseconds of the rate of admitted requests. */
const rateMs = 3_000;
/** Share of the admitted rate that is given to returns. */
const returnShare = 0.35;
/** Minimum rate of returns in requests per second. */
const minReturnsPerSecond = 0.5;
/** Shortest wait in milliseconds, about the time that a busy target takes to free a slot. */
const minWaitMs = 100;
/** Callers wait at most this share of their remaining time. */
const maxRemainingShare = 1 / 3;
/** Jitter as a share of a wait. */
const jitter = 0.2;

/** Creates the schedule of one service on one instance. */
export function createReturnTimes(random: () => number): ReturnTimes {
    let admittedCount = 0;
    let countedAt = -Infinity;
    let nextAt = -Infinity;

    function advance(now: number): void {
        admittedCount *= Math.exp(-Math.max(0, now - countedAt) / rateMs);
        countedAt = now;
    }

    /** Returns the wait until the next free return, and takes that return unless it is later than `latestMs`. */
    function scheduledWaitMs(backlogMs: number, latestMs: number, now: number): number {
        advance(now);
        const perSecond = Math.max(minReturnsPerSecond, returnShare * admittedCount / rateMs * 1_000);
        const at = Math.max(nextAt, now + backlogMs) + 1_000 / perSecond;
        nextAt = at - now <= latestMs ? at : nextAt;
        return at - now;
    }

    return {
        admitted(now) {
            advance(now);
            admittedCount += 1;
        },
        retryAfterSeconds({ backlogMs, remainingMs, objectiveSlackMs }, now) {
            const latestMs = Math.max(minWaitMs, remainingMs * maxRemainingShare);
            const scheduledMs = scheduledWaitMs(backlogMs, latestMs, now);
            // A request that can still be in time comes before the scheduled ones.
            const isUrgent = backlogMs + minWaitMs < objectiveSlackMs;
            const wantedMs = isUrgent ? Math.min(scheduledMs, objectiveSlackMs) : scheduledMs;
            const earliestMs = Math.max(minWaitMs, backlogMs);
            // Where the schedule is full, returns are spread evenly over the time that is left to them.
            const spreadMs = earliestMs + random() * Math.max(0, latestMs - earliestMs);
            const waitMs = wantedMs <= latestMs ? wantedMs * (1 - jitter * random()) : spreadMs;
            return Math.round(Math.max(minWaitMs, waitMs)) / 1_000;
        },
    };
}
