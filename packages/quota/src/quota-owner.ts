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
import { limitForUseDelay, maxGrantUseDelayMs } from "./quota-options";
import type { QuotaLimit, ResolvedQuotaOptions } from "./quota-options";
import { createTokenBucket } from "./token-bucket";
import type { TokenBucket } from "./token-bucket";

/** Collaborators of the owner side of the quota. */
export interface QuotaOwnerParts {
    clock: Clock;
    /** Incarnation of this instance. */
    self(): string;
    /** Returns whether this instance currently owns a shard. */
    owns(shard: number): boolean;
    /** Returns the incarnation to redirect to when this one is not the owner. */
    presumedOwner(shard: number): string | undefined;
    isFenced(incarnation: string): boolean;
    /** Returns the limit of an organisation; undefined when the configuration does not contain it. */
    limitOf(organisation: string): QuotaLimit | undefined;
    /** Returns a delegation number that no other owner uses for the same holder. */
    nextDelegationNumber(): bigint;
}

/** Bucket of an organisation as the status document shows it. */
export interface OwnedBucketDescription extends QuotaLimit {
    organisation: string;
    level: number;
    /** Number of delegations whose term has not ended. */
    delegations: number;
}

/** Owner side of the quota: the token buckets of the organisations whose shards this instance owns. */
export interface QuotaOwner extends ShardStateHolder {
    /** Handles an `Acquire` call. */
    acquire(request: AcquireRequest): AcquireResponse;
    /** Returns descriptions of the buckets for the status document. */
    describe(): OwnedBucketDescription[];
}

interface OwnedDelegation extends QuotaLimit {
    holder: string;
    number: bigint;
    /** Time by which the term has ended at the holder, with an allowance for clock drift. */
    endsAt: number;
}

interface ReportedDemand {
    perSecond: number;
    reportedAt: number;
}

interface OwnedBucket {
    bucket: TokenBucket;
    delegations: Map<string, OwnedDelegation>;
    demands: Map<string, ReportedDemand>;
}

interface OwnedShard {
    installedAt: number;
    /** Whether the levels started at 0, because the state was lost with the previous owner. */
    stateLost: boolean;
    buckets: Map<string, OwnedBucket>;
}

/** Allowance for the drift between two machines' monotonic clocks. */
const clockDriftFactor = 1.01;
const demandTtlMs = 5_000;
const minDelegatedBurst = 2;
/** Burst that the owner never delegates, so that tokens remain for direct requests when the burst is small. */
const minDirectBurst = 2;
/** Tolerates floating-point rounding when the sum of delegations is compared with the delegable limit. */
const roundingTolerance = 1e-9;
/** Largest ratio of delegated rate to current demand; above 1, since demand at one instance varies. */
const delegationHeadroom = 1.5;
const unknownOrganisationRetryMs = 200;
/** Largest number of tokens reserved per request; bounds the work of one call. */
export const maxTokensPerRequest = 64;
/** One day; fits the field of the message and is a reasonable maximum for a caller's Retry-After. */
const maxRetryAfterMs = 86_400_000;

/** Creates the owner side of the quota. */
export function createQuotaOwner(parts: QuotaOwnerParts, options: ResolvedQuotaOptions): QuotaOwner {
    const { clock } = parts;
    const shards = new Map<number, OwnedShard>();

    function sumDelegated(owned: OwnedBucket): QuotaLimit {
        const sum = { ratePerSecond: 0, burst: 0 };
        for (const delegation of owned.delegations.values()) {
            sum.ratePerSecond += delegation.ratePerSecond;
            sum.burst += delegation.burst;
        }
        return sum;
    }

    /** Returns the part of a limit that may be delegated; the owner keeps the rest for direct requests. */
    function delegableLimit(limit: QuotaLimit): QuotaLimit {
        return {
            ratePerSecond: limit.ratePerSecond * options.delegableShare,
            burst: Math.min(limit.burst * options.delegableShare, limit.burst - minDirectBurst),
        };
    }

    /** Resizes the owner's bucket to the rate and burst that are not delegated. */
    function resizeOwnBucket(owned: OwnedBucket, limit: QuotaLimit, now: number): void {
        const delegated = sumDelegated(owned);
        const own = limitForUseDelay({
            // A tiny rate instead of 0 keeps the bucket's arithmetic finite.
            ratePerSecond: Math.max(1e-9, limit.ratePerSecond - delegated.ratePerSecond),
            burst: limit.burst - delegated.burst,
        }, maxGrantUseDelayMs(limit, options));
        const hasWholeToken = limit.burst - delegated.burst >= 1;
        owned.bucket.resize(own.ratePerSecond, hasWholeToken ? own.burst : 0, now);
    }

    function dropExpired(owned: OwnedBucket, now: number): void {
        for (const [holder, delegation] of owned.delegations) {
            if (delegation.endsAt <= now) {
                owned.delegations.delete(holder);
            }
        }
        for (const [holder, demand] of owned.demands) {
            if (demand.reportedAt + demandTtlMs <= now) {
                owned.demands.delete(holder);
            }
        }
    }

    function getOrCreateBucket(organisation: string, shard: OwnedShard, limit: QuotaLimit, now: number): OwnedBucket {
        let owned = shard.buckets.get(organisation);
        if (owned === undefined) {
            // An organisation without a bucket has used no tokens since the shard was installed at level 0.
            const level = limit.ratePerSecond * (now - shard.installedAt) / 1000;
            owned = {
                bucket: createTokenBucket({ ...limit, now, level }),
                delegations: new Map(),
                demands: new Map(),
            };
            shard.buckets.set(organisation, owned);
        }
        dropExpired(owned, now);
        resizeOwnBucket(owned, limit, now);
        return owned;
    }

    function acceptReturn(owned: OwnedBucket, request: AcquireRequest, limit: QuotaLimit, now: number): void {
        const held = owned.delegations.get(request.incarnation);
        if (!request.returned || held?.number !== request.heldNumber) {
            return;
        }
        owned.delegations.delete(request.incarnation);
        resizeOwnBucket(owned, limit, now);
        owned.bucket.adjust(Math.min(Math.max(0, request.heldLevel ?? 0), held.burst), now);
    }

    function toMessage(delegation: OwnedDelegation, level: number): Delegation {
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

    function extendDelegation(
        owned: OwnedBucket,
        request: AcquireRequest,
        limit: QuotaLimit,
        now: number,
    ): Delegation | undefined {
        const held = owned.delegations.get(request.incarnation);
        const delegated = sumDelegated(owned);
        const delegable = delegableLimit(limit);
        const withinDelegable = delegated.ratePerSecond <= delegable.ratePerSecond + roundingTolerance
            && delegated.burst <= delegable.burst + roundingTolerance;
        if (held === undefined || held.number !== request.heldNumber || !withinDelegable) {
            return undefined;
        }
        held.endsAt = endOfTerm(now);
        return toMessage(held, 0);
    }

    /** Delegates a part of the bucket to an instance with high demand. */
    function createDelegation(
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
        const delegated = sumDelegated(owned);
        const totalDemand = [...owned.demands.values()].reduce((sum, demand) => sum + demand.perSecond, 0);
        const delegable = delegableLimit(limit);
        const fairShare = delegable.ratePerSecond * request.demandPerSecond
            / Math.max(totalDemand, request.demandPerSecond);
        const ratePerSecond = Math.min(
            request.demandPerSecond * delegationHeadroom,
            fairShare,
            delegable.ratePerSecond - delegated.ratePerSecond,
        );
        const burst = Math.min(
            limit.burst * ratePerSecond / limit.ratePerSecond,
            delegable.burst - delegated.burst,
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
        // Debits the owner's bucket before responding to the holder, so that a lost response cannot double the tokens.
        owned.delegations.set(request.incarnation, delegation);
        owned.bucket.adjust(-level, now);
        resizeOwnBucket(owned, limit, now);
        return toMessage(delegation, level);
    }

    function reserveTokens(
        owned: OwnedBucket,
        tokens: number,
        now: number,
        maxDelayMs: number,
    ): { delaysMs: number[]; retryAfterMs: number; } {
        const delaysMs: number[] = [];
        while (delaysMs.length < Math.min(tokens, maxTokensPerRequest)) {
            const reservation = owned.bucket.reserve(1, now, maxDelayMs);
            if (!reservation.granted) {
                return { delaysMs, retryAfterMs: reservation.retryAfterMs };
            }
            delaysMs.push(Math.ceil(reservation.delayMs));
        }
        return { delaysMs, retryAfterMs: 0 };
    }

    function decide(shard: OwnedShard, request: AcquireRequest, limit: QuotaLimit): AcquireResponse {
        const now = clock.now();
        const owned = getOrCreateBucket(request.organisation, shard, limit, now);
        owned.demands.set(request.incarnation, { perSecond: request.demandPerSecond, reportedAt: now });
        acceptReturn(owned, request, limit, now);
        const { delaysMs, retryAfterMs } = reserveTokens(
            owned,
            request.tokens,
            now,
            maxReservationDelayMs(shard, request, now),
        );
        const delegation = extendDelegation(owned, request, limit, now) ?? createDelegation(owned, request, limit, now);
        return create(AcquireResponseSchema, {
            verdict: delaysMs.length === request.tokens ? AcquireVerdict.GRANTED : AcquireVerdict.REFUSED,
            delaysMs,
            retryAfterMs: Math.ceil(Math.min(retryAfterMs, maxRetryAfterMs)),
            delegation,
            grantedBy: parts.self(),
            useWithinMs: Math.floor(maxGrantUseDelayMs(limit, options)),
        });
    }

    function maxReservationDelayMs(shard: OwnedShard, request: AcquireRequest, now: number): number {
        const recovering = shard.stateLost && now - shard.installedAt < options.recoveryMs;
        return Math.min(
            request.maxDelayMs,
            recovering ? options.recoveryReservationDelayMs : options.maxReservationDelayMs,
        );
    }

    function createRefusal(
        verdict: AcquireVerdict,
        fields: { owner?: string; retryAfterMs?: number; } = {},
    ): AcquireResponse {
        return create(AcquireResponseSchema, { verdict, ...fields });
    }

    return {
        acquire(request) {
            const shardNumber = shardOf(request.organisation);
            const shard = shards.get(shardNumber);
            if (parts.isFenced(request.incarnation)) {
                return createRefusal(AcquireVerdict.FENCED);
            }
            if (shard === undefined || !parts.owns(shardNumber)) {
                return createRefusal(AcquireVerdict.NOT_OWNER, { owner: parts.presumedOwner(shardNumber) });
            }
            const limit = parts.limitOf(request.organisation);
            return limit === undefined
                ? createRefusal(AcquireVerdict.REFUSED, { retryAfterMs: unknownOrganisationRetryMs })
                : decide(shard, request, limit);
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
            const shard: OwnedShard = { installedAt: now, stateLost: states === undefined, buckets: new Map() };
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
        // Counts the term from the arrival of the message, which is later than at the sender, so it never ends too early.
        delegations.set(held.holder, { ...held, endsAt: now + held.remainingMs });
    }
    // The next request resizes the bucket to the plan; until then the bucket neither refills nor caps the received level.
    const bucket = createTokenBucket({
        ratePerSecond: 1e-9,
        burst: Math.max(0, state.level),
        now,
        level: state.level,
    });
    return { bucket, delegations, demands: new Map() };
}
