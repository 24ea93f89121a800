/**
 * Limit of one organisation that all instances enforce together.
 *
 * Every instance keeps a copy of the organisation's bucket. It takes from the copy what it admits itself and what other
 * instances report to have admitted, as running totals, so that a lost report is healed by the next one. While some
 * instances are silent, the copy refills at the share of those in contact, so that the groups of a partition together
 * admit no more than the limit.
 *
 * Load pattern: one organisation sends several times its rate through all instances at once, some of which cannot hear
 * the others.
 */

import { createPeerTotals } from "./peer-totals";

/** The limit as the request path uses it. */
export interface SharedLimit {
    /** Takes a token and returns 0, or returns the milliseconds until one is expected. */
    take(now: number): number;
    /** Returns tokens: the one of a request that did not run, or what a request earns. */
    giveBack(now: number, tokens?: number): void;
    /** Returns the tokens that are left in this instance's copy of the bucket. */
    level(now: number): number;
    /**
     * Takes what another instance has admitted since its previous total; of an instance of which none is known, what it has added since
     * it told it last.
     */
    observe(peer: string, total: number, now: number, added?: number): void;
    /** Sets the limit of a new configuration. */
    resize(ratePerSecond: number, burst: number, now: number): void;
    /** Sets the share of known instances that are in contact, above 0 and at most 1. */
    setContactShare(share: number, now: number): void;
    /** Running total of the tokens that this instance has taken, less those that it has returned. */
    readonly admitted: number;
}

/** Share of the burst with which a bucket starts; instances that restart together must not hand out a second burst. */
const initialBurstShare = 0.5;

/** Options of a limit. */
export interface SharedLimitOptions {
    ratePerSecond: number;
    burst: number;
    /** Monotonic time in milliseconds. */
    now: number;
    contactShare: number;
    /**
     * Returns when another instance was last heard, in milliseconds.
     * @default only with each total that it reports
     */
    heardAt?(peer: string): number;
}

/** Creates the limit of an organisation. */
export function createSharedLimit(limit: SharedLimitOptions): SharedLimit {
    let { ratePerSecond, burst, contactShare } = limit;
    let level = burst * initialBurstShare;
    let updatedAt = limit.now;
    let admitted = 0;
    const peers = createPeerTotals(limit.heardAt ?? (() => -Infinity));

    function refill(now: number): void {
        const elapsedMs = Math.max(0, now - updatedAt);
        level = Math.min(Math.max(1, burst * contactShare), level + elapsedMs * ratePerSecond * contactShare / 1_000);
        updatedAt = Math.max(updatedAt, now);
    }

    function currentLevel(now: number): number {
        refill(now);
        level -= peers.assume(now);
        return level;
    }

    return {
        level: currentLevel,
        take(now) {
            if (currentLevel(now) < 1) {
                return (1 - level) * 1_000 / (ratePerSecond * contactShare);
            }
            level -= 1;
            admitted += 1;
            return 0;
        },
        giveBack(now, tokens = 1) {
            refill(now);
            level += tokens;
            admitted -= tokens;
        },
        observe(peer, total, now, added = 0) {
            refill(now);
            level -= peers.report(peer, total, now, added);
        },
        resize(newRate, newBurst, now) {
            refill(now);
            ratePerSecond = newRate;
            burst = newBurst;
            level = Math.min(level, burst);
        },
        setContactShare(share, now) {
            refill(now);
            contactShare = share;
        },
        get admitted() {
            return admitted;
        },
    };
}
