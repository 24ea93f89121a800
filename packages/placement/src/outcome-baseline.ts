/**
 * Baseline share of each outcome at the targets of a service.
 *
 * Load pattern: under load, or when a whole service sheds load, every target is late or rejects requests. Unhealthy targets
 * must still stand out, even when they are the majority of a service. A low quantile over the targets reflects what is
 * common to all of them and is not affected by the unhealthy ones.
 */

import { quantile } from "./quantile";
import type { Outcome } from "./target-health";
import { outcome } from "./target-health";

/** Outcome shares of the targets of one service. */
export interface OutcomeBaseline {
    /** Records an outcome at a target. */
    record(target: string, kind: Outcome): void;
    /** Returns the baseline share of an outcome, from 0 to 1. */
    share(kind: Outcome, now: number): number;
    remove(target: string): void;
}

/** Weight of the newest outcome in a target's shares. */
const newestWeight = 0.1;
/** Quantile over the targets that is the baseline; it is valid while fewer than three in four targets are unhealthy. */
const baselineQuantile = 0.25;
/** Time in milliseconds for which the baseline shares are cached. */
const refreshMs = 1_000;

const outcomes = Object.values(outcome);
const positionByOutcome = new Map(outcomes.map((kind, position) => [kind, position]));

/** Creates the baseline of a service without outcomes. */
export function createOutcomeBaseline(): OutcomeBaseline {
    /** Shares of each target, by the outcome's position. */
    const sharesByTarget = new Map<string, number[]>();
    let baselineShares = outcomes.map(() => 0);
    let refreshedAt = -Infinity;

    function refresh(now: number): void {
        refreshedAt = now;
        const targetShares = [...sharesByTarget.values()];
        baselineShares = outcomes.map((_, position) =>
            quantile(targetShares.map(shares => shares[position]!), baselineQuantile) ?? 0
        );
    }

    return {
        record(target, kind) {
            const shares = sharesByTarget.get(target) ?? outcomes.map(() => 0);
            sharesByTarget.set(target, shares);
            for (let position = 0; position < shares.length; position++) {
                shares[position]! *= 1 - newestWeight;
            }
            shares[positionByOutcome.get(kind)!]! += newestWeight;
        },
        share(kind, now) {
            if (now - refreshedAt >= refreshMs) {
                refresh(now);
            }
            return baselineShares[positionByOutcome.get(kind)!]!;
        },
        remove: target => void sharesByTarget.delete(target),
    };
}
