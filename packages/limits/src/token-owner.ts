/**
 * Decisions of an instance on the limits that it owns, for its own requests and those of other instances.
 */

import type { LimitGroup } from "./limit-group";
import type { TokenDecision, TokenRequest, TokenResponse } from "./token-decision";

/** Decides on requests against this instance's copies of the limits. */
export interface TokenOwner {
    decide(name: string): TokenDecision;
    /** Decides on another instance's request; a repeated one gets the decision of the first. */
    answer(request: TokenRequest): TokenResponse;
    /**
     * Records the share of known instances in contact, and whether this instance started together with the others. Decisions
     * begin once most instances are in contact, or after a time without them.
     */
    updateContact(share: number, startedTogether: boolean): void;
    /** Returns the time in milliseconds until decisions begin at the latest; 0 once they have begun. */
    startsInMs(): number;
}

/** Age in milliseconds from which decisions begin when most known instances are in contact. */
const minStartMs = 300;
const minStartShare = 0.9;
/** Age in milliseconds at which decisions begin in any case. */
const maxStartMs = 1_500;
/** Longest time in milliseconds that a caller is asked to wait. */
const maxRetryAfterMs = 5_000;
/** Time in milliseconds for which decisions are kept for repetitions of a request. */
const repetitionMs = 1_000;
/** Maximum number of decisions that are kept; the oldest are evicted first. */
const maxKeptDecisions = 4_096;

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

    function startingDecision(): TokenDecision {
        return { kind: "starting", remainingMs: Math.max(0, startedAt + maxStartMs - now()) };
    }

    /** Spreads rejected callers over the tokens to come, so that they do not return together. */
    function retryAfterMs(name: string, nextTokenMs: number, ratePerSecond: number): number {
        const earliest = now() + nextTokenMs;
        const previous = returnsAt.get(name) ?? -Infinity;
        const at = Math.min(now() + maxRetryAfterMs, Math.max(earliest, previous + 1_000 / ratePerSecond));
        returnsAt.set(name, at);
        return at - now();
    }

    function decide(name: string): TokenDecision {
        const limit = group.get(name);
        if (limit === undefined) {
            return { kind: "unknown" };
        }
        if (!isStarted) {
            return startingDecision();
        }
        const nextTokenMs = limit.take(now());
        if (nextTokenMs > 0 && isDiscovering()) {
            return startingDecision();
        }
        return nextTokenMs <= 0
            ? { kind: "granted" }
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
        answer({ id, name }) {
            forgetOldDecisions();
            let decision = kept.get(id)?.decision;
            if (decision === undefined) {
                decision = decide(name);
                if (decision.kind !== "starting") {
                    kept.set(id, { decision, until: now() + repetitionMs });
                }
            }
            return { id, name, decision };
        },
        updateContact(share, startedTogether) {
            const ageMs = now() - startedAt;
            contactShare = share;
            if (isStarted || ageMs < minStartMs || share < minStartShare && ageMs < maxStartMs) {
                return;
            }
            isStarted = true;
            // Nobody has admitted anything since this instance started, if all started with it.
            const earnedMs = startedTogether ? ageMs : 0;
            for (const [, limit] of group.all()) {
                limit.restart(now(), earnedMs);
            }
        },
        startsInMs: () => isStarted ? 0 : Math.max(0, startedAt + maxStartMs - now()),
    };
}
