/**
 * Longest idle times of pooled connections that may carry a request.
 *
 * Load pattern: an instance of a large fleet sends a request to a given target every second or two, and three in ten are not
 * idempotent. Targets at times drop connections that were idle for about 300 ms without notice; a request that is sent on such a
 * connection is lost, and one that is not idempotent cannot be sent again. Such requests use connections with longer idle
 * times until some instance sees a target of the service reset one.
 */

import type { DecisionLog } from "@trefoilladder/telemetry";

/** Name in digests of the reset of a pooled connection before any byte of the response; it says nothing about health. */
export const idleReset = "idle_reset";

/** Idle times of the connections to each service's targets. */
export interface IdleLimits {
    /** Returns the longest idle time in milliseconds of a connection that may carry a request to a service. */
    maxIdleMs(service: string, isIdempotent: boolean): number;
    /**
     * Records that this or another instance saw an idle reset at a target; returns whether it shortens the limit, so that others
     * have to hear of it at once.
     */
    recordReset(service: string, target: string, source: string): boolean;
}

/** Dependencies of the limits. */
export interface IdleLimitParts {
    now(): number;
    log: Pick<DecisionLog, "stateChange">;
    /** Returns whether a service has so many targets that short idle times prevent most reuse. */
    hasManyTargets(service: string): boolean;
    /** Returns the time since which this instance runs without a pause. */
    runningSince(): number;
    /** Returns the same times of the other instances in contact; undefined while unknown. */
    peersRunningSince(): readonly (number | undefined)[];
}

const idempotentMaxIdleMs = 6_000;
const nonIdempotentMaxIdleMs = 4_000;
/** Longest idle time of a connection that carries a non-idempotent request where targets drop idle connections. */
const cautiousMaxIdleMs = 200;
/** Time in milliseconds for which a service's limit is short after an idle reset. */
const cautionMs = 30_000;
/** Difference in running time in milliseconds from which the other instances may have seen resets that this one missed. */
const maxMissedMs = 10_000;

/** Creates the limits without resets. */
export function createIdleLimits(parts: IdleLimitParts): IdleLimits {
    const { now, log } = parts;
    const resetAt = new Map<string, number>();

    /** Returns whether other instances may have seen resets before this one received their digests. */
    function mayHaveMissedResets(): boolean {
        const since = parts.runningSince();
        return now() - since < cautionMs
            && parts.peersRunningSince().some(peerSince => peerSince !== undefined && since - peerSince > maxMissedMs);
    }

    function hasRecentReset(service: string): boolean {
        return now() - (resetAt.get(service) ?? -Infinity) < cautionMs;
    }

    return {
        maxIdleMs(service, isIdempotent) {
            if (isIdempotent) {
                return idempotentMaxIdleMs;
            }
            const isCautious = hasRecentReset(service) || !parts.hasManyTargets(service) || mayHaveMissedResets();
            return isCautious ? cautiousMaxIdleMs : nonIdempotentMaxIdleMs;
        },
        recordReset(service, target, source) {
            const isNews = !hasRecentReset(service);
            if (isNews) {
                log.stateChange("idle_limit_shortened", { service, target, source, forMs: cautionMs });
            }
            resetAt.set(service, now());
            return isNews;
        },
    };
}
