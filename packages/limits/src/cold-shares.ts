/**
 * Requests that this instance may send to cold targets, decided without a message.
 *
 * Load pattern: a target crashes when all instances together send it more than a few requests a second while it is cold, and a
 * whole failure domain of targets may become cold at once. For each cold target only the first instances of a rendezvous ranking send
 * to it, each a fixed share, so that the shares cannot add up to more than the bound. Instances may disagree about who is in
 * contact; even two disjoint views of the fleet stay within the bound.
 */

import { rankOwners, startedTogether } from "./limit-ownership";
import type { OwnerCandidate } from "./limit-ownership";

/** Shares of the requests to cold targets. */
export interface ColdShares {
    /** Returns whether a request may be sent to a cold target that handles `perSecond` requests per second. */
    mayTake(target: string, perSecond: number): boolean;
    /** Takes the token of a request that is sent to a cold target. */
    take(target: string, perSecond: number): void;
}

/** What the shares are decided from. */
export interface ColdShareOptions {
    /** Address of this instance among the candidates. */
    self(): string;
    /** Returns the monotonic time in milliseconds. */
    now(): number;
    /** Returns the monotonic time in milliseconds since which this instance runs without a pause. */
    runningSince(): number;
    /** Returns the instances in contact, this one included. */
    candidates(): readonly OwnerCandidate[];
    /** Returns whether other instances are configured, in contact or not. */
    hasOthers(): boolean;
    /** Returns the share of the known instances that are in contact, from 0 to 1. */
    contactShare(): number;
}

/** Number of instances that send to a cold target. */
const sendersPerTarget = 3;
/**
 * Share of the rate that a cold target handles which its senders use together. With 0.8, two disjoint views of the fleet exceed 1.5
 * times the rate and 8 requests at rates above 20 per second.
 */
const usedRateShare = 0.75;
/** Largest number of tokens for one target, of the instance's share of its requests. */
const burst = 1;
/** Contact share from which an instance knows the fleet. */
const minContactShare = 0.9;
/** Time in milliseconds without a pause after which an instance knows the fleet. */
const settledAgeMs = 5_000;
/**
 * The same time when the whole fleet started together. Digests of 293 instances take up to 0.6 s between two of them, and an instance
 * that knows a part of the fleet only ranks itself too high.
 */
const simultaneousAgeMs = 2_000;
/** Time in milliseconds for which a ranking is kept; contact changes more slowly. */
const rankingTtlMs = 200;
/** Maximum number of targets with a bucket; that of the target without a request for the longest time is evicted first. */
const maxBuckets = 4_096;

interface Bucket {
    tokens: number;
    updatedAt: number;
}

/** Creates the shares of an instance that has sent no request to a cold target. */
export function createColdShares(options: ColdShareOptions): ColdShares {
    const { self, now, contactShare } = options;
    const buckets = new Map<string, Bucket>();
    let senders = new Map<string, boolean>();
    let candidates: readonly OwnerCandidate[] = [];
    let rankedAt = -Infinity;

    function refreshCandidates(at: number): void {
        if (at - rankedAt >= rankingTtlMs) {
            senders = new Map();
            candidates = options.candidates();
            rankedAt = at;
        }
    }

    /** Returns whether this instance knows which others there are. */
    function knowsFleet(at: number): boolean {
        const runningSince = options.runningSince();
        const ageMs = at - runningSince;
        const isSettled = ageMs >= settledAgeMs
            || ageMs >= simultaneousAgeMs && startedTogether(runningSince, candidates);
        // Instances that do not respond are forgotten after a while, so that a lone one has a full contact share again.
        const isCutOff = candidates.length <= 1 && options.hasOthers();
        return isSettled && !isCutOff && contactShare() >= minContactShare;
    }

    function isSender(target: string, at: number): boolean {
        let known = senders.get(target);
        if (known === undefined) {
            known = rankOwners(`cold ${target}`, candidates, at).slice(0, sendersPerTarget).includes(self());
            senders.set(target, known);
        }
        return known;
    }

    function tokensOf(target: string, perSecond: number, at: number): number {
        const bucket = buckets.get(target);
        const ratePerMs = usedRateShare * perSecond / sendersPerTarget / 1_000;
        return bucket === undefined ? burst : Math.min(burst, bucket.tokens + (at - bucket.updatedAt) * ratePerMs);
    }

    return {
        mayTake(target, perSecond) {
            const at = now();
            refreshCandidates(at);
            return isSender(target, at) && tokensOf(target, perSecond, at) >= 1 && knowsFleet(at);
        },
        take(target, perSecond) {
            const at = now();
            const tokens = tokensOf(target, perSecond, at) - 1;
            buckets.delete(target);
            buckets.set(target, { tokens, updatedAt: at });
            const oldest = buckets.keys().next();
            if (buckets.size > maxBuckets && oldest.done !== true) {
                buckets.delete(oldest.value);
            }
        },
    };
}
