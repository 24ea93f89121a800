/**
 * Decisions of an instance on the limits that it owns, for its own requests and those of other instances.
 */

import type { LimitGroup } from "./limit-group";
import type { SharedLimit } from "./shared-limit";
import type { TokenDecision, TokenRequest, TokenResponse } from "./token-decision";

/** Decides on requests against this instance's copies of the limits. */
export interface TokenOwner {
    /** Decides on a request that may wait for its token for `maxDelayMs` milliseconds, 0 by default. */
    decide(name: string, maxDelayMs?: number): TokenDecision;
    /** Decides on another instance's request; a repeated one gets the decision of the first. */
    answer(request: TokenRequest): TokenResponse;
    /**
     * Records the share of known instances in contact, and whether this instance started together with the others. Decisions
     * begin once the limits are known and most instances are in contact, or after a time without them. In the time
     * `startDelayMs` for which the oldest instance ran before this one started, others may have decided.
     * @param startDelayMs 0 by default
     */
    updateContact(share: number, startedTogether: boolean, startDelayMs?: number): void;
    /** Returns the time in milliseconds until decisions begin at the latest; 0 once they have begun. */
    startsInMs(): number;
}

/** Age in milliseconds from which decisions begin when most known instances are in contact. */
const minStartMs = 300;
const minStartShare = 0.9;
/** Age in milliseconds at which decisions begin without most known instances. */
const maxStartMs = 1_500;
/** Age in milliseconds at which an instance without a configuration answers that it knows no limit, so that others decide. */
const maxUnconfiguredMs = 2_500;
/** Age in milliseconds by which requests no longer wait for tokens: buckets that begin empty have caught up by then. */
const reservationPhaseMs = 5_000;
/**
 * Longest time in milliseconds for which a request waits for its token. Counted by arrival, an organisation gets the tokens of
 * this time beyond a window's; with 800 ms they are covered by the outage before the start and the 10% that users accept.
 */
const maxReservationMs = 800;
/** Longest time in milliseconds that a caller is asked to wait. */
const maxRetryAfterMs = 5_000;
/** Time in milliseconds for which decisions are kept for repetitions of a request. */
const repetitionMs = 1_000;
/** Maximum number of decisions that are kept; the oldest are evicted first. */
const maxKeptDecisions = 4_096;

/** Returns for how many milliseconds a request may wait for its token at an instance of an age. */
export function reservationMs(ageMs: number): number {
    return Math.max(0, Math.min(maxReservationMs, reservationPhaseMs - ageMs));
}

interface KeptDecision {
    decision: TokenDecision;
    until: number;
}

/** Creates the decisions of an instance that starts now. */
export function createTokenOwner({ group, now }: { group: LimitGroup; now(): number; }): TokenOwner {
    const startedAt = now();
    const kept = new Map<string, KeptDecision>();
    /** Times at which rejected callers are expected back, the latest for each limit. */
    const returnsAt = new Map<string, number>();
    let isStarted = false;
    let contactShare = 0;

    /**
     * Returns whether this instance is still becoming acquainted with the others: one that starts before most of them is in contact with
     * all that it knows, decides, and then hears of the rest, with which it shares the limit until they have started.
     */
    function isDiscovering(): boolean {
        return contactShare < minStartShare && now() - startedAt < maxStartMs;
    }

    /** Returns the time in milliseconds until decisions begin at the latest. */
    function remainingStartMs(): number {
        return Math.max(0, startedAt + (group.isConfigured ? maxStartMs : maxUnconfiguredMs) - now());
    }

    function startingDecision(): TokenDecision {
        return { kind: "starting", remainingMs: remainingStartMs() };
    }

    /** Returns for how many milliseconds a request may wait for a token of a limit. */
    function allowedDelayMs(limit: SharedLimit, maxDelayMs: number): number {
        const allowedMs = Math.min(limit.maxReservationMs, reservationMs(now() - startedAt));
        return isDiscovering() ? 0 : Math.min(maxDelayMs, allowedMs);
    }

    /** Spreads rejected callers over the tokens to come, so that they do not return together. */
    function retryAfterMs(name: string, nextTokenMs: number, ratePerSecond: number): number {
        const earliest = now() + nextTokenMs;
        const previous = returnsAt.get(name) ?? -Infinity;
        const at = Math.min(now() + maxRetryAfterMs, Math.max(earliest, previous + 1_000 / ratePerSecond));
        returnsAt.set(name, at);
        return at - now();
    }

    function decide(name: string, maxDelayMs = 0): TokenDecision {
        const limit = group.get(name);
        if (limit === undefined && (isStarted || group.isConfigured)) {
            return { kind: "unknown" };
        }
        if (limit === undefined || !isStarted) {
            return startingDecision();
        }
        const allowedMs = allowedDelayMs(limit, maxDelayMs);
        const nextTokenMs = limit.take(now(), allowedMs);
        if (nextTokenMs <= allowedMs) {
            return nextTokenMs > 0 ? { kind: "granted", delayMs: nextTokenMs } : { kind: "granted" };
        }
        return isDiscovering()
            ? startingDecision()
            : {
                kind: "rejected",
                nextTokenMs,
                retryAfterMs: retryAfterMs(name, nextTokenMs, limit.ratePerSecond),
            };
    }

    function forgetOldDecisions(): void {
        for (const [id, { until }] of kept) {
            if (until > now() && kept.size <= maxKeptDecisions) {
                return;
            }
            kept.delete(id);
        }
    }

    return {
        decide,
        answer({ id, name, maxDelayMs }) {
            forgetOldDecisions();
            let decision = kept.get(id)?.decision;
            if (decision === undefined) {
                decision = decide(name, maxDelayMs);
                if (decision.kind !== "starting") {
                    kept.set(id, { decision, until: now() + repetitionMs });
                }
            }
            return { id, name, decision };
        },
        updateContact(share, startedTogether, startDelayMs = 0) {
            const ageMs = now() - startedAt;
            contactShare = share;
            if (
                isStarted || ageMs < minStartMs
                || remainingStartMs() > 0 && (share < minStartShare || !group.isConfigured)
            ) {
                return;
            }
            isStarted = true;
            // Nobody has admitted anything since this instance started, if all started with it. Those that started earlier
            // decide earlier, each for the limits that it takes for its own.
            const earnedMs = startedTogether ? Math.max(0, ageMs - startDelayMs) : 0;
            for (const [, limit] of group.all()) {
                limit.restart(now(), earnedMs);
            }
        },
        startsInMs: () => isStarted ? 0 : remainingStartMs(),
    };
}
