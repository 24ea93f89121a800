import { create } from "@bufbuild/protobuf";
import { Code, ConnectError } from "@connectrpc/connect";
import type { HandlerContext } from "@connectrpc/connect";
import type { Clock } from "@trefoilladder/clock";
import { HandoverResponseSchema, MemberState, ShardStateSchema } from "@trefoilladder/protocol";
import type { BucketState, HandoverRequest, HandoverResponse, ShardState } from "@trefoilladder/protocol";
import type { Telemetry } from "@trefoilladder/telemetry";
import { instanceIdOf } from "./incarnation";
import { membershipFailure } from "./membership-failure";
import type { MembershipService } from "./membership-service";
import { compareRank } from "./roster";
import type { Roster } from "./roster";
import { shardCount } from "./shard";
import type { ShardOwnership, ShardStateHolder } from "./shard-ownership";

/** Dependencies of the shard ownership. */
export interface ShardOwnershipParts {
    membership: MembershipService;
    roster: Roster;
    /** Holders of per-shard state; each installs and releases its own part. */
    holders: readonly ShardStateHolder[];
    clock: Clock;
    telemetry: Telemetry;
}

/** Options of the shard ownership. Times are in milliseconds. */
export interface ShardOwnershipOptions {
    /**
     * Interval between two rounds of claims.
     * @default 200
     */
    claimIntervalMs?: number;
    /**
     * Timeout of one Handover call. A later response is discarded, including the state in it.
     * @default 600
     */
    handoverTimeoutMs?: number;
    /**
     * Time after which a remove record that has not been read back from the roster stream is appended again.
     * @default 2000
     */
    removeRepeatMs?: number;
}

/** Shard ownership with the operations for the process wiring. */
export interface ShardOwnershipService extends ShardOwnership {
    /** Answers a peer that claims shards; `context` contains the header with the incarnation that the peer expects. */
    handleHandover(request: HandoverRequest, context: Pick<HandlerContext, "requestHeader">): HandoverResponse;
    /** Claims shards and removes expired incarnations from the roster until the signal aborts. */
    run(signal: AbortSignal): Promise<void>;
}

/**
 * Request header with the incarnation that a Handover call expects. Another incarnation at the same address rejects the
 * call, since its answer would say nothing about the state of its predecessor.
 */
export const expectedIncarnationHeader = "trefoilladder-incarnation";

/** Attempt to become the owner of a shard. Each attempt is a new object, so late answers to an old one are detected. */
interface Claim {
    /** Incarnations that answered "not owner" or sent the state. */
    confirmedBy: Set<string>;
}

/** State that the previous owner has released and no owner has installed yet. */
type PendingState = BucketState[];

/** Creates the shard ownership of this process. */
export function createShardOwnership(
    parts: ShardOwnershipParts,
    options: ShardOwnershipOptions = {},
): ShardOwnershipService {
    const { membership, roster, holders, clock, telemetry } = parts;
    const { claimIntervalMs = 200, handoverTimeoutMs = 600, removeRepeatMs = 2_000 } = options;

    const owned = new Set<number>();
    const claims = new Map<number, Claim>();
    /** Incarnations with a Handover call in flight. */
    const pendingCalls = new Set<string>();
    const pendingStates = new Map<number, PendingState>();
    /** Last incarnation, for each shard, to which this one answered "not owner" or sent the state. */
    const lastClaimant = new Map<number, string>();
    const removedAt = new Map<string, number>();
    let incarnationEnded = false;

    function releaseAll(): void {
        for (const shard of owned) {
            holders.forEach(holder => void holder.release(shard));
        }
        owned.clear();
        claims.clear();
        pendingStates.clear();
    }

    membership.onIncarnationEnd(() => {
        releaseAll();
        incarnationEnded = true;
    });
    membership.onIncarnationStart(incarnation => {
        incarnationEnded = isLeaving();
        roster.keepJoined(incarnationEnded ? undefined : incarnation);
    });

    function isLeaving(): boolean {
        return membership.state() === MemberState.LEAVING || membership.state() === MemberState.LEFT;
    }

    /** Returns whether the ranking must skip an incarnation because it has expired or is leaving. */
    function isIneligible(incarnation: string, leaving: ReadonlySet<string>): boolean {
        return leaving.has(incarnation) || membership.isExpired(incarnation);
    }

    function leavingMembers(): Set<string> {
        return new Set(
            membership.members().filter(member => member.state >= MemberState.LEAVING).map(member =>
                member.incarnation
            ),
        );
    }

    function firstCandidate(shard: number, leaving: ReadonlySet<string>): string | undefined {
        return roster.candidates(shard).find(incarnation => !isIneligible(incarnation, leaving));
    }

    // ---- answers to claims ----

    /** Releases a shard: it grants nothing more. The caller takes over the returned state. */
    function release(shard: number): BucketState[] {
        owned.delete(shard);
        const buckets = holders.flatMap(holder => holder.release(shard));
        telemetry.count("ownership.released");
        return buckets;
    }

    /** Answers a claim for one shard. "Not owner" is a commitment: a later claim from here calls that caller first. */
    function answerClaim(shard: number, caller: string): ShardState {
        const self = membership.self();
        const outranked = compareRank(shard, caller, self) < 0 || isLeaving();
        if ((owned.has(shard) || claims.has(shard)) && !outranked) {
            return create(ShardStateSchema, { shard, refused: true, owner: self });
        }
        const last = lastClaimant.get(shard);
        const owner = last === undefined || last === caller || membership.isExpired(last) ? "" : last;
        lastClaimant.set(shard, caller);
        claims.delete(shard);
        if (owned.has(shard)) {
            return create(ShardStateSchema, { shard, wasOwner: true, buckets: release(shard) });
        }
        const state = pendingStates.get(shard);
        if (state !== undefined) {
            pendingStates.delete(shard);
            return create(ShardStateSchema, { shard, wasOwner: true, buckets: state, owner });
        }
        return create(ShardStateSchema, { shard, owner });
    }

    function handleHandover(
        request: HandoverRequest,
        context: Pick<HandlerContext, "requestHeader">,
    ): HandoverResponse {
        const self = membership.self();
        if (incarnationEnded || context.requestHeader.get(expectedIncarnationHeader) !== self) {
            throw new ConnectError("the request is meant for another incarnation", Code.FailedPrecondition);
        }
        const caller = request.incarnation;
        if (membership.isFenced(caller) || membership.isFenced(self) || caller === self) {
            throw new ConnectError("the caller or this incarnation is fenced", Code.PermissionDenied);
        }
        membership.addIncarnation(caller);
        const shards = new Set(request.shards.filter(shard => shard < shardCount));
        return create(HandoverResponseSchema, { shards: [...shards].map(shard => answerClaim(shard, caller)) });
    }

    // ---- claims ----

    /** Returns the incarnations that may own or claim a shard: all that are known and have not expired. */
    function requiredConfirmations(): string[] {
        const self = membership.self();
        return membership.members()
            .map(member => member.incarnation)
            .filter(incarnation => incarnation !== self && !membership.isExpired(incarnation))
            .concat(membership.pendingFences());
    }

    /** Returns the probable owner of a claimed shard: the first other candidate that has not expired. */
    function probableOwner(shard: number): string | undefined {
        const self = membership.self();
        return roster.candidates(shard).find(candidate => candidate !== self && !membership.isExpired(candidate));
    }

    /**
     * Returns whether an incarnation may be called about a shard now. The probable owner is called last and serves the
     * shard until then, so that the shard has no owner for one call only, not for the slowest of all calls.
     */
    function mayCall(incarnation: string, shard: number, claim: Claim, required: readonly string[]): boolean {
        return incarnation !== probableOwner(shard)
            || required.every(other => other === incarnation || claim.confirmedBy.has(other));
    }

    /** Starts and drops claims according to the current roster and members. */
    function updateClaims(): void {
        const self = membership.self();
        const leaving = leavingMembers();
        const mayClaim = !incarnationEnded && !isLeaving() && roster.hasSynced() && membership.isStartupComplete()
            && !membership.isFenced(self);
        for (let shard = 0; shard < shardCount; shard++) {
            const isFirst = mayClaim && firstCandidate(shard, leaving) === self;
            if (isFirst && !owned.has(shard) && !claims.has(shard)) {
                claims.set(shard, { confirmedBy: new Set() });
            }
            else if (!isFirst) {
                claims.delete(shard);
            }
        }
    }

    /** Calls one incarnation about every claimed shard that it has not confirmed yet. */
    async function requestHandover(incarnation: string, signal: AbortSignal): Promise<void> {
        const peer = membership.peer(incarnation);
        const requestedClaims = new Map<number, Claim>();
        const required = requiredConfirmations();
        for (const [shard, claim] of claims) {
            if (!claim.confirmedBy.has(incarnation) && mayCall(incarnation, shard, claim, required)) {
                requestedClaims.set(shard, claim);
            }
        }
        if (peer === undefined || requestedClaims.size === 0 || pendingCalls.has(incarnation)) {
            return;
        }
        pendingCalls.add(incarnation);
        try {
            const response = await peer.handover(
                { incarnation: membership.self(), shards: [...requestedClaims.keys()] },
                { timeoutMs: handoverTimeoutMs, signal, headers: { [expectedIncarnationHeader]: incarnation } },
            );
            for (const state of response.shards) {
                const claim = requestedClaims.get(state.shard);
                // An answer to a claim that was dropped in the meantime is discarded; the state in it is lost.
                if (claim !== undefined && claims.get(state.shard) === claim) {
                    processAnswer(claim, state, incarnation);
                }
                else if (state.wasOwner) {
                    telemetry.count("ownership.states_lost");
                }
            }
        }
        catch (thrown) {
            const failure = membershipFailure(thrown, instanceIdOf(incarnation));
            telemetry.count("ownership.handover_failures", { code: failure.code });
        }
        finally {
            pendingCalls.delete(incarnation);
        }
        // The roster or the members may have changed during the call, and this process may have been paused.
        updateClaims();
        completeClaims();
    }

    function processAnswer(claim: Claim, state: ShardState, from: string): void {
        if (state.owner !== "" && state.owner !== membership.self()) {
            membership.addIncarnation(state.owner);
        }
        if (state.refused) {
            telemetry.count("ownership.refusals");
            return;
        }
        if (state.wasOwner) {
            pendingStates.set(state.shard, state.buckets);
        }
        claim.confirmedBy.add(from);
    }

    /** Becomes the owner of each claimed shard that every required incarnation has confirmed. */
    function completeClaims(): void {
        if (incarnationEnded || !membership.holdsLease() || membership.isFenced(membership.self())) {
            return;
        }
        const required = requiredConfirmations();
        for (const [shard, claim] of claims) {
            if (required.every(incarnation => claim.confirmedBy.has(incarnation))) {
                const buckets = pendingStates.get(shard);
                claims.delete(shard);
                pendingStates.delete(shard);
                owned.add(shard);
                holders.forEach(holder => holder.install(shard, buckets));
                telemetry.count("ownership.installed", { state: buckets === undefined ? "none" : "handed" });
            }
        }
        telemetry.gauge("ownership.shards", owned.size);
    }

    async function runClaims(signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            for (const incarnation of roster.incarnations()) {
                membership.addIncarnation(incarnation);
            }
            updateClaims();
            if (claims.size > 0) {
                requiredConfirmations().forEach(incarnation => void requestHandover(incarnation, signal));
                completeClaims();
            }
            await clock.sleep(claimIntervalMs, signal);
        }
    }

    // ---- roster ----

    /** Removes expired incarnations from the roster while this instance is the first eligible candidate of shard 0. */
    async function removeExpiredIncarnations(signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            const now = clock.now();
            const leaving = leavingMembers();
            for (const incarnation of [...roster.incarnations()]) {
                const due = now - (removedAt.get(incarnation) ?? -Infinity) > removeRepeatMs;
                const first = roster.candidates(0).find(candidate => !isIneligible(candidate, leaving));
                if (
                    due && first === membership.self() && membership.isExpired(incarnation)
                    && membership.holdsLease()
                ) {
                    removedAt.set(incarnation, now);
                    await roster.remove(incarnation);
                }
            }
            await clock.sleep(claimIntervalMs * 2, signal);
        }
    }

    async function handOverAll(signal: AbortSignal): Promise<number[]> {
        roster.keepJoined(undefined);
        await membership.startLeaving();
        claims.clear();
        const hasSuccessor = () => {
            const leaving = leavingMembers();
            return [...roster.incarnations()].some(incarnation =>
                !isIneligible(incarnation, leaving) && !membership.isFenced(incarnation)
            );
        };
        while (owned.size + pendingStates.size > 0 && !signal.aborted && hasSuccessor()) {
            await clock.sleep(claimIntervalMs / 4, signal);
        }
        const remaining = [...owned, ...pendingStates.keys()];
        // No candidate claimed these shards. They are released so that the instance owns none in the state `left`.
        releaseAll();
        return remaining;
    }

    return {
        owns: shard => owned.has(shard) && membership.holdsLease(),
        presumedOwner(shard) {
            if (!incarnationEnded && owned.has(shard)) {
                return membership.self();
            }
            const claimant = lastClaimant.get(shard);
            if (isLeaving() && claimant !== undefined && !membership.isExpired(claimant)) {
                return claimant;
            }
            // A leaving owner serves a shard until its successor has claimed it, and then returns the successor.
            return roster.candidates(shard).find(candidate =>
                !membership.isExpired(candidate) && !membership.isFenced(candidate)
                && !(candidate === membership.self() && isLeaving())
            );
        },
        handOverAll,
        handleHandover,
        async run(signal) {
            roster.keepJoined(membership.self());
            await Promise.all([runClaims(signal), removeExpiredIncarnations(signal)]);
        },
    };
}
