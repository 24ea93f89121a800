/**
 * Copy of an organisation's token bucket on one instance.
 *
 * The copy takes tokens for its own admissions and for those that other instances report as running totals, so that the next
 * report makes up for a lost one. The limit's owner decides by its copy; the others keep theirs to take over. While some
 * instances are unreachable, the copy refills in proportion to the share in contact, so that the sides of a partition
 * together admit no more than the limit.
 *
 * Load pattern: one organisation sends several times its rate through all instances at once, some of which are
 * partitioned from the others.
 */

import { createPeerTotals } from "./peer-totals";
import type { PeerNews } from "./peer-totals";

/** What this instance knows of a limit, for logs and metrics. */
export interface LimitState extends PeerNews {
    /** Number of tokens left in this instance's copy of the bucket. */
    level: number;
    burst: number;
    contactShare: number;
    /** Running total of the tokens that this instance has taken, less those that it has put back. */
    admitted: number;
    /** Number of requests that this instance has rejected. */
    rejected: number;
}

/** Limit of one organisation. */
export interface SharedLimit {
    /**
     * Returns the milliseconds until a token is expected, 0 when there is one, and takes it when that is at most
     * `maxDelayMs`.
     * @param maxDelayMs 0 by default
     */
    take(now: number, maxDelayMs?: number): number;
    /** Puts tokens back: that of a request that was not executed, or those that a request earns. */
    refund(now: number, tokens?: number): void;
    /** Returns the number of tokens left in this instance's copy of the bucket. */
    level(now: number): number;
    /**
     * Takes the tokens that another instance has admitted since its previous total. When no previous total of that
     * instance is known, takes `increment`, the tokens admitted since the total that it sent before. Returns the number of
     * tokens by which the total has fallen, 0 when it has not.
     */
    applyPeerTotal(peer: string, total: number, now: number, increment?: number): number;
    /** Records that another instance has ended, so that no further admissions of it are assumed. */
    removePeer(peer: string, now: number): void;
    /**
     * Discards what is known of the tokens left and of other instances' totals, and begins with the tokens that a time
     * earns.
     */
    restart(now: number, earnedMs: number): void;
    /** Sets the rate and burst of a new configuration. */
    resize(ratePerSecond: number, burst: number, now: number): void;
    /** Sets the share of known instances that are in contact, greater than 0 and at most 1. */
    setContactShare(share: number, now: number): void;
    /**
     * Records that the process was paused until now. The tokens that were refilled meanwhile are withheld until the other
     * instances have reported what they admitted of them.
     */
    recordPause(pausedMs: number, now: number): void;
    /**
     * Longest time in milliseconds for which requests may wait for tokens: that in which the rate earns the part of the burst
     * which the last restart did not give.
     */
    readonly maxReservationMs: number;
    /** Running total of the tokens that this instance has taken, less those that it has put back. */
    readonly admitted: number;
    readonly ratePerSecond: number;
    readonly burst: number;
    state(now: number): LimitState;
}

/** Time in milliseconds after a pause within which all instances in contact have reported their totals. */
const reportsDueMs = 1_200;

/** Options of a limit. */
export interface SharedLimitOptions {
    ratePerSecond: number;
    burst: number;
    /** Monotonic time in milliseconds. */
    now: number;
    contactShare: number;
    /**
     * Number of tokens at the start. A process does not know which tokens the fleet has used up before.
     * @default 0
     */
    initialLevel?: number;
    /**
     * Returns the time of the last contact with another instance in milliseconds.
     * @default the time of its last reported total
     */
    lastContactAt?(peer: string): number;
    /**
     * Whether the first report of an instance may return tokens that the limit's owner granted to it.
     * @default false
     */
    creditsFirstRefund?: boolean;
}

/** Creates the limit of an organisation. */
export function createSharedLimit(limit: SharedLimitOptions): SharedLimit {
    let { ratePerSecond, burst, contactShare } = limit;
    let level = limit.initialLevel ?? 0;
    let updatedAt = limit.now;
    let admitted = 0;
    let rejected = 0;
    /** Part of the burst that the last restart did not give. */
    let missingBurst = 0;
    /** Tokens refilled during a pause that may have been admitted by other instances, and when all of these have reported. */
    let withheld = 0;
    let withheldUntil = -Infinity;
    const peers = createPeerTotals(limit.lastContactAt ?? (() => -Infinity), limit);

    function refill(now: number): void {
        if (now >= withheldUntil) {
            withheld = 0;
        }
        const elapsedMs = Math.max(0, now - updatedAt);
        const capacity = Math.max(1, burst * contactShare) + withheld;
        level = Math.min(capacity, level + elapsedMs * ratePerSecond * contactShare / 1_000);
        updatedAt = Math.max(updatedAt, now);
    }

    /** Takes the tokens that others have admitted, first from those that were withheld for them. */
    function takeAdmitted(tokens: number): void {
        level -= tokens;
        withheld = Math.max(0, withheld - Math.max(0, tokens));
    }

    function currentLevel(now: number): number {
        refill(now);
        level -= peers.assume(now);
        return level - withheld;
    }

    return {
        level: currentLevel,
        take(now, maxDelayMs = 0) {
            const missing = Math.max(0, 1 - currentLevel(now));
            // A bucket without a rate, such as one of retries, earns no token by waiting.
            const delayMs = missing === 0 ? 0 : missing * 1_000 / (ratePerSecond * contactShare);
            if (delayMs > maxDelayMs) {
                rejected += 1;
                return delayMs;
            }
            level -= 1;
            admitted += 1;
            return delayMs;
        },
        refund(now, tokens = 1) {
            refill(now);
            level += tokens;
            admitted -= tokens;
        },
        applyPeerTotal(peer, total, now, increment = 0) {
            refill(now);
            const { unaccounted, fallenBy } = peers.report(peer, total, now, increment);
            takeAdmitted(unaccounted);
            return fallenBy;
        },
        removePeer(peer, now) {
            refill(now);
            level += peers.remove(peer);
        },
        restart(now, earnedMs) {
            refill(now);
            level = Math.min(burst * contactShare, earnedMs * ratePerSecond * contactShare / 1_000);
            missingBurst = Math.max(0, burst * contactShare - level);
            withheld = 0;
            peers.clear();
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
            // Below one token, the share is earned at the reduced rate: a whole token at each of many instances that are cut off
            // at once would exceed the burst.
            level = Math.min(level, burst * share + withheld);
        },
        recordPause(pausedMs, now) {
            refill(now - pausedMs);
            const refilled = Math.max(0, now - updatedAt) * ratePerSecond * contactShare / 1_000;
            withheld += refilled;
            level += refilled;
            withheldUntil = now + reportsDueMs;
            updatedAt = now;
        },
        get maxReservationMs() {
            return missingBurst * 1_000 / (ratePerSecond * contactShare);
        },
        get admitted() {
            return admitted;
        },
        get ratePerSecond() {
            return ratePerSecond;
        },
        get burst() {
            return burst;
        },
        state: now => ({ level: currentLevel(now), burst, contactShare, admitted, rejected, ...peers.news(now) }),
    };
}
