import { create } from "@bufbuild/protobuf";
import type { Clock } from "@trefoilladder/clock";
import { shardOf } from "@trefoilladder/membership";
import type { ShardStateHolder } from "@trefoilladder/membership";
import {
    AcquireResponseSchema,
    AcquireVerdict,
    BucketStateSchema,
    DelegationSchema,
    HeldDelegationSchema,
} from "@trefoilladder/protocol";
import type { AcquireRequest, AcquireResponse, BucketState, Delegation } from "@trefoilladder/protocol";
import { limitBeforeShift, maxGrantShiftMs } from "./quota-options";
import type { QuotaLimit, ResolvedQuotaOptions } from "./quota-options";
import { createTokenBucket } from "./token-bucket";
import type { TokenBucket } from "./token-bucket";

/** Collaborators of the owner side of the quota. */
export interface QuotaOwnerParts {
    clock: Clock;
    /** Incarnation of this instance. */
    self(): string;
    /** Tells whether this instance owns a shard now. */
    owns(shard: number): boolean;
    /** Returns the incarnation to ask instead, when this one is not the owner. */
    presumedOwner(shard: number): string | undefined;
    isFenced(incarnation: string): boolean;
    /** Returns the limit of an organisation; undefined when the configuration does not have it. */
    limitOf(organisation: string): QuotaLimit | undefined;
    /** Returns a number that no other owner uses for a delegation to the same holder. */
    nextDelegationNumber(): bigint;
}

/** Bucket of an organisation as the status page shows it. */
export interface OwnedBucketDescription extends QuotaLimit {
    organisation: string;
    level: number;
    /** Number of delegations whose term has not ended. */
    delegations: number;
}

/** Owner side of the quota: the token buckets of the organisations whose shards this instance owns. */
export interface QuotaOwner extends ShardStateHolder {
    /** Answers a request for tokens. */
    acquire(request: AcquireRequest): AcquireResponse;
    /** Describes the buckets, for the status page. */
    describe(): OwnedBucketDescription[];
}

interface OwnedDelegation extends QuotaLimit {
    holder: string;
    number: bigint;
    /** Time at which the term has surely ended at the holder. */
    endsAt: number;
}

interface Demand {
    perSecond: number;
    reportedAt: number;
}

interface OwnedBucket {
    bucket: TokenBucket;
    delegations: Map<string, OwnedDelegation>;
    demands: Map<string, Demand>;
}

interface OwnedShard {
    installedAt: number;
    /** Whether the levels started at 0 because the previous owner was lost. */
    succeeded: boolean;
    buckets: Map<string, OwnedBucket>;
}

/** Allowance for the drift between two machines' monotonic clocks. */
const clockDriftFactor = 1.01;
const demandMemoryMs = 5_000;
const minDelegatedBurst = 2;
/** Burst that the owner never delegates, so that direct requests of small bursts still find a token. */
const minOwnBurst = 2;
/** Absorbs floating-point rounding when shares that add up to the whole are compared with it. */
const roundingSlack = 1e-9;
/** Delegations carry more than the present demand, since demand at one instance varies. */
const delegationHeadroom = 1.5;
const unknownOrganisationRetryMs = 200;
/** Largest number of tokens booked by one request; bounds the work of one call. */
export const maxTokensPerRequest = 64;
/** Longest time that fits the message's field and a caller's Retry-After sensibly: one day. */
const maxRetryAfterMs = 86_400_000;

/** Creates the owner side of the quota. */
export function createQuotaOwner(parts: QuotaOwnerParts, options: ResolvedQuotaOptions): QuotaOwner {
    const { clock } = parts;
    const shards = new Map<number, OwnedShard>();

    function delegated(owned: OwnedBucket): QuotaLimit {
        const sum = { ratePerSecond: 0, burst: 0 };
        for (const delegation of owned.delegations.values()) {
            sum.ratePerSecond += delegation.ratePerSecond;
            sum.burst += delegation.burst;
        }
        return sum;
    }

    /** Returns the part of a limit that may be delegated; the owner keeps room for direct requests. */
    function delegable(limit: QuotaLimit): QuotaLimit {
        return {
            ratePerSecond: limit.ratePerSecond * options.delegableShare,
            burst: Math.min(limit.burst * options.delegableShare, limit.burst - minOwnBurst),
        };
    }

    /** Sizes the owner's own bucket to what is not delegated. */
    function resizeOwnBucket(owned: OwnedBucket, limit: QuotaLimit, now: number): void {
        const given = delegated(owned);
        const own = limitBeforeShift({
            // A vanishing rate instead of 0 keeps the arithmetic of the bucket finite.
            ratePerSecond: Math.max(1e-9, limit.ratePerSecond - given.ratePerSecond),
            burst: limit.burst - given.burst,
        }, maxGrantShiftMs(limit, options));
        const fits = limit.burst - given.burst >= 1;
        owned.bucket.resize(own.ratePerSecond, fits ? own.burst : 0, now);
    }

    function dropEndedDelegations(owned: OwnedBucket, now: number): void {
        for (const [holder, delegation] of owned.delegations) {
            if (delegation.endsAt <= now) {
                owned.delegations.delete(holder);
            }
        }
        for (const [holder, demand] of owned.demands) {
            if (demand.reportedAt + demandMemoryMs <= now) {
                owned.demands.delete(holder);
            }
        }
    }

    function bucketOf(organisation: string, shard: OwnedShard, limit: QuotaLimit, now: number): OwnedBucket {
        let owned = shard.buckets.get(organisation);
        if (owned === undefined) {
            // An organisation without a bucket has not spent anything since the shard was installed at level 0.
            const level = limit.ratePerSecond * (now - shard.installedAt) / 1000;
            owned = {
                bucket: createTokenBucket({ ...limit, now, level }),
                delegations: new Map(),
                demands: new Map(),
            };
            shard.buckets.set(organisation, owned);
        }
        dropEndedDelegations(owned, now);
        resizeOwnBucket(owned, limit, now);
        return owned;
    }

    function takeBack(owned: OwnedBucket, request: AcquireRequest, limit: QuotaLimit, now: number): void {
        const held = owned.delegations.get(request.incarnation);
        if (!request.returned || held?.number !== request.heldNumber) {
            return;
        }
        owned.delegations.delete(request.incarnation);
        resizeOwnBucket(owned, limit, now);
        owned.bucket.adjust(Math.min(Math.max(0, request.heldLevel ?? 0), held.burst), now);
    }

    function asMessage(delegation: OwnedDelegation, level: number): Delegation {
        return create(DelegationSchema, {
            number: delegation.number,
            ratePerSecond: delegation.ratePerSecond,
            burst: delegation.burst,
            level,
            termMs: options.delegationTermMs,
        });
    }

    function endOfTerm(now: number): number {
        return now + options.delegationTermMs * clockDriftFactor;
    }

    function extend(
        owned: OwnedBucket,
        request: AcquireRequest,
        limit: QuotaLimit,
        now: number,
    ): Delegation | undefined {
        const held = owned.delegations.get(request.incarnation);
        const given = delegated(owned);
        const most = delegable(limit);
        const fits = given.ratePerSecond <= most.ratePerSecond + roundingSlack
            && given.burst <= most.burst + roundingSlack;
        if (held === undefined || held.number !== request.heldNumber || !fits) {
            return undefined;
        }
        held.endsAt = endOfTerm(now);
        return asMessage(held, 0);
    }

    /** Splits a part of the bucket off for an instance whose demand is high. */
    function delegate(
        owned: OwnedBucket,
        request: AcquireRequest,
        limit: QuotaLimit,
        now: number,
    ): Delegation | undefined {
        if (
            owned.delegations.has(request.incarnation) || request.demandPerSecond < options.delegationThresholdPerSecond
        ) {
            return undefined;
        }
        const given = delegated(owned);
        const totalDemand = [...owned.demands.values()].reduce((sum, demand) => sum + demand.perSecond, 0);
        const most = delegable(limit);
        const fairShare = most.ratePerSecond * request.demandPerSecond
            / Math.max(totalDemand, request.demandPerSecond);
        const ratePerSecond = Math.min(
            request.demandPerSecond * delegationHeadroom,
            fairShare,
            most.ratePerSecond - given.ratePerSecond,
        );
        const burst = Math.min(
            limit.burst * ratePerSecond / limit.ratePerSecond,
            most.burst - given.burst,
        );
        const level = Math.min(burst, Math.max(0, owned.bucket.level(now)) * ratePerSecond / limit.ratePerSecond);
        if (ratePerSecond <= 0 || burst < minDelegatedBurst) {
            return undefined;
        }
        const delegation: OwnedDelegation = {
            holder: request.incarnation,
            number: parts.nextDelegationNumber(),
            ratePerSecond,
            burst,
            endsAt: endOfTerm(now),
        };
        // Debits the owner's bucket before the holder is told, so that a lost response cannot double the tokens.
        owned.delegations.set(request.incarnation, delegation);
        owned.bucket.adjust(-level, now);
        resizeOwnBucket(owned, limit, now);
        return asMessage(delegation, level);
    }

    function bookTokens(
        owned: OwnedBucket,
        tokens: number,
        now: number,
        maxDelayMs: number,
    ): { delaysMs: number[]; retryAfterMs: number; } {
        const delaysMs: number[] = [];
        while (delaysMs.length < Math.min(tokens, maxTokensPerRequest)) {
            const booking = owned.bucket.book(1, now, maxDelayMs);
            if (!booking.granted) {
                return { delaysMs, retryAfterMs: booking.retryAfterMs };
            }
            delaysMs.push(Math.ceil(booking.delayMs));
        }
        return { delaysMs, retryAfterMs: 0 };
    }

    function answer(shard: OwnedShard, request: AcquireRequest, limit: QuotaLimit): AcquireResponse {
        const now = clock.now();
        const owned = bucketOf(request.organisation, shard, limit, now);
        owned.demands.set(request.incarnation, { perSecond: request.demandPerSecond, reportedAt: now });
        takeBack(owned, request, limit, now);
        const { delaysMs, retryAfterMs } = bookTokens(owned, request.tokens, now, maxBookingDelay(shard, request, now));
        const delegation = extend(owned, request, limit, now) ?? delegate(owned, request, limit, now);
        return create(AcquireResponseSchema, {
            verdict: delaysMs.length === request.tokens ? AcquireVerdict.GRANTED : AcquireVerdict.REFUSED,
            delaysMs,
            retryAfterMs: Math.ceil(Math.min(retryAfterMs, maxRetryAfterMs)),
            delegation,
            grantedBy: parts.self(),
            useWithinMs: Math.floor(maxGrantShiftMs(limit, options)),
        });
    }

    function maxBookingDelay(shard: OwnedShard, request: AcquireRequest, now: number): number {
        const recovering = shard.succeeded && now - shard.installedAt < options.recoveryMs;
        return Math.min(request.maxDelayMs, recovering ? options.recoveryBookingDelayMs : options.maxBookingDelayMs);
    }

    function refuse(verdict: AcquireVerdict, fields: { owner?: string; retryAfterMs?: number; } = {}): AcquireResponse {
        return create(AcquireResponseSchema, { verdict, ...fields });
    }

    return {
        acquire(request) {
            const shardNumber = shardOf(request.organisation);
            const shard = shards.get(shardNumber);
            if (parts.isFenced(request.incarnation)) {
                return refuse(AcquireVerdict.FENCED);
            }
            if (shard === undefined || !parts.owns(shardNumber)) {
                return refuse(AcquireVerdict.NOT_OWNER, { owner: parts.presumedOwner(shardNumber) });
            }
            const limit = parts.limitOf(request.organisation);
            return limit === undefined
                ? refuse(AcquireVerdict.REFUSED, { retryAfterMs: unknownOrganisationRetryMs })
                : answer(shard, request, limit);
        },
        release(shardNumber) {
            const now = clock.now();
            const shard = shards.get(shardNumber);
            shards.delete(shardNumber);
            return [...shard?.buckets ?? []].map(([organisation, owned]) =>
                create(BucketStateSchema, {
                    organisation,
                    level: owned.bucket.level(now),
                    delegations: [...owned.delegations.values()].map(delegation =>
                        create(HeldDelegationSchema, {
                            holder: delegation.holder,
                            number: delegation.number,
                            ratePerSecond: delegation.ratePerSecond,
                            burst: delegation.burst,
                            remainingMs: Math.ceil(Math.max(0, delegation.endsAt - now) * clockDriftFactor),
                        })
                    ),
                })
            );
        },
        install(shardNumber, states) {
            const now = clock.now();
            const shard: OwnedShard = { installedAt: now, succeeded: states === undefined, buckets: new Map() };
            for (const state of states ?? []) {
                shard.buckets.set(state.organisation, installBucket(state, now));
            }
            shards.set(shardNumber, shard);
        },
        describe() {
            const now = clock.now();
            return [...shards.values()].flatMap(shard =>
                [...shard.buckets].map(([organisation, owned]) => ({
                    organisation,
                    ...(parts.limitOf(organisation) ?? { ratePerSecond: 0, burst: 0 }),
                    level: owned.bucket.level(now),
                    delegations: owned.delegations.size,
                }))
            );
        },
    };
}

function installBucket(state: BucketState, now: number): OwnedBucket {
    const delegations = new Map<string, OwnedDelegation>();
    for (const held of state.delegations) {
        // Counted from the arrival of the message, later than at the sender, so the term is never counted short.
        delegations.set(held.holder, { ...held, endsAt: now + held.remainingMs });
    }
    // The next request sizes the bucket to the plan; until then it neither refills nor cuts the level it came with.
    const bucket = createTokenBucket({
        ratePerSecond: 1e-9,
        burst: Math.max(0, state.level),
        now,
        level: state.level,
    });
    return { bucket, delegations, demands: new Map() };
}
