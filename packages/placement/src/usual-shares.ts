/**
 * Shares of outcomes that are usual for the targets of a service.
 *
 * Load pattern: under load, or when a whole service sheds, every target is late or turns requests away; sick targets must
 * still stand out, also when they are the greater part of a service. A low quantile over the targets holds the first and is
 * not moved by the second.
 */

import { quantile } from "./quantile";
import type { Outcome } from "./target-health";
import { outcome } from "./target-health";

/** Outcome shares of the targets of one service. */
export interface UsualShares {
    /** Notes an outcome at a target. */
    note(target: string, kind: Outcome): void;
    /** Returns the share of an outcome at the targets where it is rare, from 0 to 1. */
    usual(kind: Outcome, now: number): number;
    forget(target: string): void;
}

/** Weight of the newest outcome in a target's share. */
const newestWeight = 0.1;
/** Quantile over the targets that counts as usual; it holds while fewer than three in four are sick. */
const usualQuantile = 0.25;
/** Time for which quantiles are kept, in milliseconds. */
const refreshMs = 1_000;

const kinds = Object.values(outcome);
const positions = new Map(kinds.map((kind, position) => [kind, position]));

/** Creates the shares of a service without outcomes. */
export function createUsualShares(): UsualShares {
    /** Share of each kind by its position. */
    const targets = new Map<string, number[]>();
    let quantiles = kinds.map(() => 0);
    let refreshedAt = -Infinity;

    function refresh(now: number): void {
        refreshedAt = now;
        const all = [...targets.values()];
        quantiles = kinds.map((_, position) => quantile(all.map(shares => shares[position]!), usualQuantile) ?? 0);
    }

    return {
        note(target, observed) {
            const shares = targets.get(target) ?? kinds.map(() => 0);
            targets.set(target, shares);
            for (let position = 0; position < shares.length; position++) {
                shares[position]! *= 1 - newestWeight;
            }
            shares[positions.get(observed)!]! += newestWeight;
        },
        usual(kind, now) {
            if (now - refreshedAt >= refreshMs) {
                refresh(now);
            }
            return quantiles[positions.get(kind)!]!;
        },
        forget: target => void targets.delete(target),
    };
}
