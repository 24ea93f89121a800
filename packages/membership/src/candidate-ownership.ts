import { create } from "@bufbuild/protobuf";
import { Code, ConnectError } from "@connectrpc/connect";
import type { HandlerContext } from "@connectrpc/connect";
import type { Clock } from "@trefoilladder/clock";
import { HandoverResponseSchema, MemberState, ShardStateSchema } from "@trefoilladder/protocol";
import type { BucketState, HandoverRequest, HandoverResponse, ShardState } from "@trefoilladder/protocol";
import type { Telemetry } from "@trefoilladder/telemetry";
import type { MembershipService } from "./gossip-membership";
import { instanceIdOf } from "./incarnation";
import { membershipFailure } from "./membership-failure";
import { compareRank } from "./roster";
import type { Roster } from "./roster";
import { shardCount } from "./shard";
import type { ShardOwnership, ShardStateHolder } from "./shard-ownership";

/** What the shard ownership needs from the rest of the process. */
export interface ShardOwnershipParts {
    membership: MembershipService;
    roster: Roster;
    /** Holders of state by shard; each installs and releases its own part. */
    holders: readonly ShardStateHolder[];
    clock: Clock;
    telemetry: Telemetry;
}

/** Options of the shard ownership. Times are in milliseconds. */
export interface ShardOwnershipOptions {
    /**
     * Time between two rounds of claims.
     * @default 200
     */
    claimIntervalMs?: number;
    /**
     * Deadline of one Handover call. A response that comes later is discarded with the state in it.
     * @default 600
     */
    handoverTimeoutMs?: number;
    /**
     * Time after which a remove record that has not shown up on the roster is written again.
     * @default 2000
     */
    removeRepeatMs?: number;
}

/** The shard ownership with what only the wiring uses. */
export interface ShardOwnershipService extends ShardOwnership {
    /** Answers a peer that claims shards; `context` carries the incarnation that the peer means to ask. */
    handleHandover(request: HandoverRequest, context: Pick<HandlerContext, "requestHeader">): HandoverResponse;
    /** Claims shards and keeps the roster in order until the signal aborts. */
    run(signal: AbortSignal): Promise<void>;
}

/**
 * Request header with the incarnation that a Handover is meant for. Another incarnation at the same address refuses:
 * its answer would say nothing about the state of the one before it.
 */
export const addresseeHeader = "trefoilladder-incarnation";

/** An attempt to become the owner of a shard. A new attempt is a new object, so late answers to an old one are known. */
interface Claim {
    /** Incarnations that answered "not owner" or with the state. */
    answered: Set<string>;
}

/** State that the previous owner has given up and that no owner has installed yet. */
type ParkedState = BucketState[];

/** Creates the decision who owns a shard. */
export function createShardOwnership(
    parts: ShardOwnershipParts,
    options: ShardOwnershipOptions = {},
): ShardOwnershipService {
    const { membership, roster, holders, clock, telemetry } = parts;
    const { claimIntervalMs = 200, handoverTimeoutMs = 600, removeRepeatMs = 2_000 } = options;

    const owned = new Set<number>();
    const claims = new Map<number, Claim>();
    /** Members with a Handover call under way. */
    const asking = new Set<string>();
    const parked = new Map<number, ParkedState>();
    /** Last incarnation that this one answered with "not owner" or with the state of a shard. */
    const lastClaimant = new Map<number, string>();
    const removedAt = new Map<string, number>();
    let ended = false;

    function releaseAll(): void {
        for (const shard of owned) {
            holders.forEach(holder => void holder.release(shard));
        }
        owned.clear();
        claims.clear();
        parked.clear();
    }

    membership.onIncarnationEnd(() => {
        releaseAll();
        ended = true;
    });
    membership.onIncarnationStart(incarnation => {
        ended = isLeaving();
        roster.keepJoined(ended ? undefined : incarnation);
    });

    function isLeaving(): boolean {
        return membership.state() === MemberState.LEAVING || membership.state() === MemberState.LEFT;
    }

    /** Returns whether an incarnation must be passed over in the ranking: it is void, or stops. */
    function passedOver(incarnation: string, leaving: ReadonlySet<string>): boolean {
        return leaving.has(incarnation) || membership.isCleared(incarnation);
    }

    function leavingMembers(): Set<string> {
        return new Set(
            membership.members().filter(member => member.state >= MemberState.LEAVING).map(member =>
                member.incarnation
            ),
        );
    }

    function firstCandidate(shard: number, leaving: ReadonlySet<string>): string | undefined {
        return roster.candidates(shard).find(incarnation => !passedOver(incarnation, leaving));
    }

    // ---- answering ----

    /** Gives up a shard: no grant follows the release, and the state goes to whoever gets the returned value. */
    function release(shard: number): BucketState[] {
        owned.delete(shard);
        const buckets = holders.flatMap(holder => holder.release(shard));
        telemetry.count("ownership.released");
        return buckets;
    }

    /** Answers a claim for one shard. "Not owner" is a promise: a later claim of this instance asks the caller first. */
    function answer(shard: number, caller: string): ShardState {
        const self = membership.self();
        const outranked = compareRank(shard, caller, self) < 0 || isLeaving();
        if ((owned.has(shard) || claims.has(shard)) && !outranked) {
            return create(ShardStateSchema, { shard, refused: true, owner: self });
        }
        const last = lastClaimant.get(shard);
        const owner = last === undefined || last === caller || membership.isCleared(last) ? "" : last;
        lastClaimant.set(shard, caller);
        claims.delete(shard);
        if (owned.has(shard)) {
            return create(ShardStateSchema, { shard, wasOwner: true, buckets: release(shard) });
        }
        const state = parked.get(shard);
        if (state !== undefined) {
            parked.delete(shard);
            return create(ShardStateSchema, { shard, wasOwner: true, buckets: state, owner });
        }
        return create(ShardStateSchema, { shard, owner });
    }

    function handleHandover(
        request: HandoverRequest,
        context: Pick<HandlerContext, "requestHeader">,
    ): HandoverResponse {
        const self = membership.self();
        if (ended || context.requestHeader.get(addresseeHeader) !== self) {
            throw new ConnectError("the request is meant for another incarnation", Code.FailedPrecondition);
        }
        const caller = request.incarnation;
        if (membership.isFenced(caller) || membership.isFenced(self) || caller === self) {
            throw new ConnectError("the caller or this incarnation is fenced", Code.PermissionDenied);
        }
        membership.learn(caller);
        const shards = new Set(request.shards.filter(shard => shard < shardCount));
        return create(HandoverResponseSchema, { shards: [...shards].map(shard => answer(shard, caller)) });
    }

    // ---- claiming ----

    /** Incarnations that may own a shard or claim one: all that are known and not void. */
    function requiredAnswers(): string[] {
        const self = membership.self();
        return membership.members()
            .map(member => member.incarnation)
            .filter(incarnation => incarnation !== self && !membership.isCleared(incarnation))
            .concat(membership.pendingFences());
    }

    /** Returns the incarnation that probably owns a claimed shard: the first other candidate that is not void. */
    function probableOwner(shard: number): string | undefined {
        const self = membership.self();
        return roster.candidates(shard).find(candidate => candidate !== self && !membership.isCleared(candidate));
    }

    /**
     * Returns whether a member may be asked about a shard now. The probable owner is asked last and goes on serving until
     * then, so that the time without an owner is one call and not the slowest of all.
     */
    function mayAsk(incarnation: string, shard: number, claim: Claim, required: readonly string[]): boolean {
        return incarnation !== probableOwner(shard)
            || required.every(other => other === incarnation || claim.answered.has(other));
    }

    /** Opens and drops claims after the roster or the members have changed. */
    function updateClaims(): void {
        const self = membership.self();
        const leaving = leavingMembers();
        const mayClaim = !ended && !isLeaving() && roster.established() && membership.isSettled()
            && !membership.isFenced(self);
        for (let shard = 0; shard < shardCount; shard++) {
            const isFirst = mayClaim && firstCandidate(shard, leaving) === self;
            if (isFirst && !owned.has(shard) && !claims.has(shard)) {
                claims.set(shard, { answered: new Set() });
            }
            else if (!isFirst) {
                claims.delete(shard);
            }
        }
    }

    /** Asks one member about every claimed shard that it has not answered yet. */
    async function ask(incarnation: string, signal: AbortSignal): Promise<void> {
        const peer = membership.peer(incarnation);
        const asked = new Map<number, Claim>();
        const required = requiredAnswers();
        for (const [shard, claim] of claims) {
            if (!claim.answered.has(incarnation) && mayAsk(incarnation, shard, claim, required)) {
                asked.set(shard, claim);
            }
        }
        if (peer === undefined || asked.size === 0 || asking.has(incarnation)) {
            return;
        }
        asking.add(incarnation);
        try {
            const response = await peer.handover(
                { incarnation: membership.self(), shards: [...asked.keys()] },
                { timeoutMs: handoverTimeoutMs, signal, headers: { [addresseeHeader]: incarnation } },
            );
            for (const state of response.shards) {
                const claim = asked.get(state.shard);
                // The answer to a claim that was dropped in the meantime is void, and the state in it is lost.
                if (claim !== undefined && claims.get(state.shard) === claim) {
                    accept(claim, state, incarnation);
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
            asking.delete(incarnation);
        }
        // The answer may have arrived after a pause, or together with changes of the roster.
        updateClaims();
        completeClaims();
    }

    function accept(claim: Claim, state: ShardState, from: string): void {
        if (state.owner !== "" && state.owner !== membership.self()) {
            membership.learn(state.owner);
        }
        if (state.refused) {
            telemetry.count("ownership.refusals");
            return;
        }
        if (state.wasOwner) {
            parked.set(state.shard, state.buckets);
        }
        claim.answered.add(from);
    }

    /** Becomes the owner of each claimed shard that every required member has answered. */
    function completeClaims(): void {
        if (ended || !membership.holdsLease() || membership.isFenced(membership.self())) {
            return;
        }
        const required = requiredAnswers();
        for (const [shard, claim] of claims) {
            if (required.every(incarnation => claim.answered.has(incarnation))) {
                const buckets = parked.get(shard);
                claims.delete(shard);
                parked.delete(shard);
                owned.add(shard);
                holders.forEach(holder => holder.install(shard, buckets));
                telemetry.count("ownership.installed", { state: buckets === undefined ? "none" : "handed" });
            }
        }
        telemetry.gauge("ownership.shards", owned.size);
    }

    async function claim(signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            for (const incarnation of roster.incarnations()) {
                membership.learn(incarnation);
            }
            updateClaims();
            if (claims.size > 0) {
                requiredAnswers().forEach(incarnation => void ask(incarnation, signal));
                completeClaims();
            }
            await clock.sleep(claimIntervalMs, signal);
        }
    }

    // ---- roster ----

    /** Appends remove records for void incarnations, when this instance is the first live one in rank for the record. */
    async function cleanRoster(signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            const now = clock.now();
            const leaving = leavingMembers();
            for (const incarnation of [...roster.incarnations()]) {
                const repeat = now - (removedAt.get(incarnation) ?? -Infinity) > removeRepeatMs;
                const first = roster.candidates(0).find(candidate => !passedOver(candidate, leaving));
                if (
                    repeat && first === membership.self() && membership.isCleared(incarnation)
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
                !passedOver(incarnation, leaving) && !membership.isFenced(incarnation)
            );
        };
        while (owned.size + parked.size > 0 && !signal.aborted && hasSuccessor()) {
            await clock.sleep(claimIntervalMs / 4, signal);
        }
        const remaining = [...owned, ...parked.keys()];
        // Nobody took these: they are given up here, so that the state `left` is true.
        releaseAll();
        return remaining;
    }

    return {
        owns: shard => owned.has(shard) && membership.holdsLease(),
        presumedOwner(shard) {
            if (!ended && owned.has(shard)) {
                return membership.self();
            }
            const claimant = lastClaimant.get(shard);
            if (isLeaving() && claimant !== undefined && !membership.isCleared(claimant)) {
                return claimant;
            }
            // A leaving owner serves until its successor has taken the shard, and then names the successor.
            return roster.candidates(shard).find(candidate =>
                !membership.isCleared(candidate) && !membership.isFenced(candidate)
                && !(candidate === membership.self() && isLeaving())
            );
        },
        handOverAll,
        handleHandover,
        async run(signal) {
            roster.keepJoined(membership.self());
            await Promise.all([claim(signal), cleanRoster(signal)]);
        },
    };
}
