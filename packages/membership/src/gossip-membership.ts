import { create } from "@bufbuild/protobuf";
import { createPauseDetector } from "@trefoilladder/clock";
import type { Clock } from "@trefoilladder/clock";
import type { ListedInstance } from "@trefoilladder/platform";
import { MemberState, PullRowsResponseSchema, RowSchema } from "@trefoilladder/protocol";
import type { PullRowsRequest, PullRowsResponse, Row } from "@trefoilladder/protocol";
import type { Telemetry } from "@trefoilladder/telemetry";
import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";
import { createIncarnation, instanceIdOf } from "./incarnation";
import type { Member, Membership, MembershipPeer } from "./membership";
import { membershipFailure } from "./membership-failure";
import type { MembershipFailure } from "./membership-failure";
import { createPeerClient } from "./peer-client";
import type { PeerClient } from "./peer-client";
import type { Roster } from "./roster";

/** What the membership needs from the rest of the process. */
export interface MembershipParts {
    clock: Clock;
    telemetry: Telemetry;
    /** Offset after the last configuration record applied here. */
    appliedOffset: () => number;
    roster: Pick<Roster, "appliedOffset" | "has" | "wasRemoved">;
    /**
     * Creates a client of the instance at an origin.
     * @default a connect client over HTTP/1.1
     */
    connect?: (origin: string) => PeerClient;
    /**
     * Source of uniform numbers in [0, 1).
     * @default Math.random
     */
    random?: () => number;
}

/** Options of the membership. Times are in milliseconds. */
export interface MembershipOptions {
    instanceId: string;
    domain: string;
    /**
     * Age up to which a row counts towards the contact lease (F).
     * @default 1500
     */
    leaseMs?: number;
    /**
     * Age of the freshest row from which an incarnation is fenced (D).
     * @default 1500
     */
    fenceAfterMs?: number;
    /**
     * Time between two pulls of one slot.
     * @default 200
     */
    pullIntervalMs?: number;
    /**
     * Pulls that run side by side.
     * @default 2
     */
    pullSlots?: number;
    /**
     * Deadline of one pull.
     * @default 400
     */
    pullTimeoutMs?: number;
    /**
     * Time that a newly listed member or an unknown incarnation does not count towards the majority, and that a
     * vanished member stays in the total.
     * @default 30000
     */
    listingGraceMs?: number;
    /**
     * Time after the first lease during which newly seen incarnations still count at once; no shard is claimed in it.
     * @default 2000
     */
    settleMs?: number;
    /**
     * Time that a fence stays in this instance's row; longer while the incarnation is on the roster.
     * @default 3600000
     */
    fenceRetentionMs?: number;
    /**
     * Time without the lease after which this incarnation is given up; below `fenceRetentionMs`, so that no incarnation
     * outlives the memory of its fence.
     * @default 1800000
     */
    maxLapseMs?: number;
}

/** The membership with what only the wiring and the shard ownership use. */
export interface MembershipService extends Membership {
    /** State that this instance publishes. */
    state(): MemberState;
    /** Takes over the platform's list; a list that could not be read is not passed. */
    update(listed: readonly ListedInstance[]): void;
    /** Pulls, fences and watches the lease until the signal aborts. */
    run(signal: AbortSignal): Promise<void>;
    /** Answers a peer's pull. */
    handlePullRows(request: PullRowsRequest): PullRowsResponse;
    /**
     * Registers a holder of state of the current incarnation. When the incarnation was fenced, every holder is called
     * and must have discarded its state when the returned promise resolves; the new incarnation starts after all have.
     */
    onIncarnationEnd(release: () => void | Promise<void>): void;
    /** Registers a function that is called with each new incarnation of this process. */
    onIncarnationStart(start: (incarnation: string) => void): void;
    /** Remembers an incarnation that was heard of other than through a row. */
    learn(incarnation: string): void;
    /** Returns whether an incarnation can hold no lease any more: it left, or a majority's fence is F plus drift old. */
    isCleared(incarnation: string): boolean;
    /** Incarnations that are fenced here and not cleared yet; each may still hold a lease. */
    pendingFences(): string[];
    /** Returns whether the start phase is over, after which this instance may claim shards. */
    isSettled(): boolean;
    /** Publishes the state `leaving` and tells it to the peers at once; the lease and owned shards are kept. */
    startLeaving(): Promise<void>;
    /** Publishes the state `left` and tells it to the peers; from then on no lease is held. */
    leave(): Promise<void>;
}

interface Listing {
    id: string;
    domain: string;
    origin: string;
    listedAt: number;
    /** Whether it was listed before this instance settled. */
    atStart: boolean;
    vanishedAt?: number;
}

interface KnownIncarnation {
    incarnation: string;
    instanceId: string;
    /** Monotonic time at which the incarnation was surely alive; -Infinity before the first row. */
    freshAt: number;
    firstKnownAt: number;
    /** Whether it was known before this instance settled. */
    atStart: boolean;
    state: MemberState;
    appliedOffset: number;
    rosterOffset: number;
    fenced: Set<string>;
    domain: string;
    /** Start of the last direct pull that ended without a fresh row of this incarnation. */
    missedAt: number;
    probing: boolean;
}

interface PeerLink {
    origin: string;
    client: PeerClient;
    pulledAt: number;
    failures: number;
    retryAt: number;
}

/** Clocks of two machines are assumed to differ by at most this factor. */
const driftFactor = 1.01;
const watchIntervalMs = 100;
/** Share of D after which an incarnation without a fresh row is pulled directly. */
const suspicionShare = 0.8;
/** Age above which the second slot prefers the peer with the oldest row. */
const oldRowMs = 600;
const maxProbes = 16;
const minBackoffMs = 200;
const maxBackoffMs = 3_000;
/** Rows older than this are not passed on. */
const maxToldAgeMs = 10_000;

function majorityOf(total: number): number {
    return Math.floor(total / 2) + 1;
}

/** Creates the membership of this process. */
export function createMembership(parts: MembershipParts, options: MembershipOptions): MembershipService {
    const { clock, telemetry, appliedOffset, roster, connect = createPeerClient, random = Math.random } = parts;
    const {
        instanceId,
        domain,
        leaseMs = 1_500,
        fenceAfterMs = 1_500,
        pullIntervalMs = 200,
        pullSlots = 2,
        pullTimeoutMs = 400,
        listingGraceMs = 30_000,
        settleMs = 2_000,
        fenceRetentionMs = 3_600_000,
        maxLapseMs = 1_800_000,
    } = options;

    const listings = new Map<string, Listing>();
    const known = new Map<string, KnownIncarnation>();
    /** Fenced incarnations and when this instance learned of it. Entries are never removed. */
    const fences = new Map<string, number>();
    const left = new Set<string>();
    /** Instances known to have fenced an incarnation. */
    const fencedBy = new Map<string, Set<string>>();
    const cleared = new Set<string>();
    const majorityFencedAt = new Map<string, number>();
    const links = new Map<string, PeerLink>();
    const endListeners: (() => void | Promise<void>)[] = [];
    const startListeners: ((incarnation: string) => void)[] = [];

    let self = createIncarnation(instanceId);
    let state: MemberState = MemberState.STARTING;
    let startedAt = clock.now();
    let firstLeaseAt: number | undefined;
    let settled = false;
    let selfFenced = false;
    let until = -Infinity;
    let leaseLogged = false;
    let lapsedSince = startedAt;
    let probes = 0;
    let running: AbortSignal | undefined;

    // ---- counting ----

    function inTotal(listing: Listing, now: number): boolean {
        return listing.vanishedAt === undefined || now - listing.vanishedAt < listingGraceMs;
    }

    /** Ids of the members that majorities are counted over. */
    function memberIds(now: number): Set<string> {
        const ids = new Set([instanceId]);
        for (const listing of listings.values()) {
            if (inTotal(listing, now)) {
                ids.add(listing.id);
            }
        }
        for (const row of known.values()) {
            // An instance that answers is a member even when the list has lost it. One that was never listed counts
            // like a member that vanished when it was first heard of; a list that lags cannot make a small majority.
            const recent = row.freshAt > now - leaseMs && row.state !== MemberState.LEFT;
            const unlisted = !listings.has(row.instanceId) && now - row.firstKnownAt < listingGraceMs;
            if (!fences.has(row.incarnation) && (recent || unlisted)) {
                ids.add(row.instanceId);
            }
        }
        return ids;
    }

    /** Returns whether rows of an incarnation count towards this instance's majority. */
    function countable(row: KnownIncarnation, now: number): boolean {
        const listing = listings.get(row.instanceId);
        if (fences.has(row.incarnation) || row.state === MemberState.LEFT || listing === undefined) {
            return false;
        }
        const listedLongEnough = listing.atStart || now - listing.listedAt >= listingGraceMs;
        const informed = row.atStart || row.state === MemberState.LIVE || row.state === MemberState.LEAVING
            || now - row.firstKnownAt >= listingGraceMs;
        return listedLongEnough && informed && !row.fenced.has(self);
    }

    function computeLease(now: number): number {
        if (selfFenced || state === MemberState.LEFT || !listings.has(instanceId)) {
            return -Infinity;
        }
        const ids = memberIds(now);
        const freshest = new Map<string, number>();
        for (const row of known.values()) {
            if (ids.has(row.instanceId) && row.instanceId !== instanceId && countable(row, now)) {
                freshest.set(row.instanceId, Math.max(freshest.get(row.instanceId) ?? -Infinity, row.freshAt));
            }
        }
        const needed = majorityOf(ids.size) - 1;
        if (needed === 0) {
            return now + leaseMs;
        }
        const times = [...freshest.values()].sort((a, b) => b - a);
        return (times[needed - 1] ?? -Infinity) + leaseMs;
    }

    function leaseUntil(): number {
        return selfFenced || state === MemberState.LEFT ? -Infinity : until;
    }

    function holdsLease(): boolean {
        return clock.now() < leaseUntil();
    }

    /** Recomputes the lease and the majority's fences after rows, the list or time have changed. */
    function recount(): void {
        const now = clock.now();
        until = computeLease(now);
        const ids = memberIds(now);
        const needed = majorityOf(ids.size);
        for (const [incarnation, voters] of fencedBy) {
            if (majorityFencedAt.has(incarnation)) {
                continue;
            }
            let votes = 0;
            for (const voter of voters) {
                votes += ids.has(voter) ? 1 : 0;
            }
            if (votes >= needed) {
                majorityFencedAt.set(incarnation, now);
            }
        }
        if (!settled && now < until) {
            firstLeaseAt ??= now;
            settled = now - firstLeaseAt >= settleMs;
        }
        if (state === MemberState.STARTING && isInformed(now)) {
            state = MemberState.LIVE;
            telemetry.stateChange("member_live", { incarnation: self });
        }
    }

    /**
     * Returns whether this incarnation knows every fence and every accepted configuration of a majority of the others,
     * so that its rows may count for instances that are older than it.
     */
    function isInformed(now: number): boolean {
        if (now - startedAt >= listingGraceMs) {
            return now < until;
        }
        const ids = memberIds(now);
        const informed = new Set<string>();
        let highestOffset = 0;
        for (const row of known.values()) {
            const recent = row.freshAt > now - leaseMs && !fences.has(row.incarnation);
            if (recent && ids.has(row.instanceId) && row.instanceId !== instanceId) {
                highestOffset = Math.max(highestOffset, row.appliedOffset);
                if (row.state === MemberState.LIVE || row.state === MemberState.LEAVING) {
                    informed.add(row.instanceId);
                }
            }
        }
        return informed.size >= Math.min(majorityOf(ids.size), ids.size - 1) && appliedOffset() >= highestOffset;
    }

    // ---- fences ----

    function addVote(incarnation: string, voter: string): void {
        let voters = fencedBy.get(incarnation);
        if (voters === undefined) {
            voters = new Set();
            fencedBy.set(incarnation, voters);
        }
        voters.add(voter);
    }

    function fence(incarnation: string, reason: string): void {
        if (incarnation === self) {
            if (!selfFenced) {
                selfFenced = true;
                telemetry.count("membership.fenced_self");
                telemetry.fault("member_fenced_self", { incarnation, reason });
            }
            return;
        }
        if (fences.has(incarnation)) {
            return;
        }
        fences.set(incarnation, clock.now());
        addVote(incarnation, instanceId);
        known.delete(incarnation);
        telemetry.count("membership.fences", { reason });
        telemetry.stateChange("member_fenced", { incarnation, reason });
    }

    function isCleared(incarnation: string): boolean {
        if (cleared.has(incarnation)) {
            return true;
        }
        const isFenced = fences.has(incarnation) || roster.wasRemoved(incarnation);
        if (isFenced && isVoid(incarnation)) {
            cleared.add(incarnation);
        }
        return cleared.has(incarnation);
    }

    function isVoid(incarnation: string): boolean {
        const fencedAt = majorityFencedAt.get(incarnation);
        // Only a cleared incarnation is removed from the roster, so a remove record says the same. Everyone has dropped
        // a fence as old as the last condition from its row, so no majority for it can be seen any more.
        return left.has(incarnation) || roster.wasRemoved(incarnation)
            || (fencedAt !== undefined && clock.now() - fencedAt > leaseMs * driftFactor)
            || clock.now() - (fences.get(incarnation) ?? Infinity) > fenceRetentionMs;
    }

    function learn(incarnation: string): KnownIncarnation | undefined {
        if (incarnation === self || fences.has(incarnation) || roster.wasRemoved(incarnation)) {
            return undefined;
        }
        let row = known.get(incarnation);
        if (row === undefined) {
            row = {
                incarnation,
                instanceId: instanceIdOf(incarnation),
                freshAt: -Infinity,
                firstKnownAt: clock.now(),
                atStart: !settled,
                state: MemberState.UNSPECIFIED,
                appliedOffset: 0,
                rosterOffset: 0,
                fenced: new Set(),
                domain: "",
                missedAt: -Infinity,
                probing: false,
            };
            known.set(incarnation, row);
        }
        return row;
    }

    /** Takes in what a row says that stays true for ever: state, offsets and fences. */
    function adoptContent(told: Row): KnownIncarnation | undefined {
        const row = learn(told.incarnation);
        if (row === undefined) {
            return undefined;
        }
        row.state = Math.max(row.state, told.state);
        row.appliedOffset = Math.max(row.appliedOffset, Number(told.appliedOffset));
        row.rosterOffset = Math.max(row.rosterOffset, Number(told.rosterOffset));
        row.domain = told.domain === "" ? row.domain : told.domain;
        for (const incarnation of told.fenced) {
            if (!row.fenced.has(incarnation)) {
                row.fenced.add(incarnation);
                addVote(incarnation, row.instanceId);
                fence(incarnation, "adopted");
            }
        }
        if (row.state === MemberState.LEFT) {
            left.add(row.incarnation);
            fence(row.incarnation, "left");
        }
        return row;
    }

    /** Merges pulled rows; `sentAt` is when the pull was sent, before any of the told ages was measured. */
    function merge(rows: readonly Row[], sentAt: number): void {
        // The sender's own row comes first. A fenced sender's relayed rows may lack fences that its own row would add.
        if (rows[0] === undefined || fences.has(rows[0].incarnation)) {
            return;
        }
        for (const told of rows) {
            const row = adoptContent(told);
            if (row !== undefined) {
                row.freshAt = Math.max(row.freshAt, sentAt - told.ageMs);
            }
        }
        recount();
    }

    function checkFences(now: number): void {
        if (roster.wasRemoved(self)) {
            fence(self, "removed");
        }
        for (const row of [...known.values()]) {
            if (roster.wasRemoved(row.incarnation)) {
                fence(row.incarnation, "removed");
                continue;
            }
            const knownSince = Math.max(row.freshAt, row.firstKnownAt);
            const age = now - knownSince;
            const link = linkOf(row.instanceId);
            if (link !== undefined && age > fenceAfterMs * suspicionShare && !row.probing && probes < maxProbes) {
                void probe(row, link);
            }
            const missed = link === undefined || row.missedAt > knownSince;
            if (age > fenceAfterMs && missed && holdsLease()) {
                fence(row.incarnation, "silent");
            }
        }
    }

    /** Pulls directly from an incarnation without a fresh row, as the last check before a fence. */
    async function probe(row: KnownIncarnation, link: PeerLink): Promise<void> {
        row.probing = true;
        probes += 1;
        const sentAt = clock.now();
        await pull(row.instanceId, link);
        probes -= 1;
        row.probing = false;
        // A deadline that ran out while this process did not run says nothing about the peer.
        const paused = clock.now() - sentAt > pullTimeoutMs + watchIntervalMs;
        if (!paused && row.freshAt < sentAt) {
            row.missedAt = sentAt;
        }
    }

    // ---- pulls ----

    function linkOf(id: string): PeerLink | undefined {
        const listing = listings.get(id);
        if (listing === undefined || id === instanceId) {
            return undefined;
        }
        let link = links.get(id);
        if (link === undefined || link.origin !== listing.origin) {
            link?.client.close();
            link = {
                origin: listing.origin,
                client: connect(listing.origin),
                pulledAt: -Infinity,
                failures: 0,
                retryAt: -Infinity,
            };
            links.set(id, link);
        }
        return link;
    }

    function selfRow(): Row {
        const now = clock.now();
        const fenced: string[] = [];
        for (const [incarnation, fencedAt] of fences) {
            const retentionMs = left.has(incarnation) ? listingGraceMs : fenceRetentionMs;
            if (now - fencedAt < retentionMs || roster.has(incarnation)) {
                fenced.push(incarnation);
            }
        }
        return create(RowSchema, {
            incarnation: self,
            ageMs: 0,
            appliedOffset: BigInt(appliedOffset()),
            rosterOffset: BigInt(roster.appliedOffset()),
            state,
            fenced,
            domain,
        });
    }

    async function pull(id: string, link: PeerLink): Promise<Result<void, MembershipFailure>> {
        const sentAt = clock.now();
        link.pulledAt = sentAt;
        try {
            const response = await link.client.peer.pullRows(
                { self: selfRow() },
                { timeoutMs: pullTimeoutMs, signal: running },
            );
            link.failures = 0;
            link.retryAt = -Infinity;
            merge(response.rows, sentAt);
            return ok();
        }
        catch (thrown) {
            const failure = membershipFailure(thrown, id);
            telemetry.count("membership.pull_failures", { code: failure.code });
            link.failures += 1;
            const backoff = Math.min(minBackoffMs * 2 ** link.failures, maxBackoffMs);
            link.retryAt = clock.now() + backoff * (0.5 + random());
            return err(failure);
        }
    }

    function choosePeer(slot: number): [string, PeerLink] | undefined {
        const now = clock.now();
        const ready: [string, PeerLink][] = [];
        for (const listing of listings.values()) {
            const link = inTotal(listing, now) ? linkOf(listing.id) : undefined;
            if (link !== undefined && link.retryAt <= now) {
                ready.push([listing.id, link]);
            }
        }
        if (slot > 0) {
            let oldest: [string, PeerLink] | undefined;
            let oldestAt = now - oldRowMs;
            for (const choice of ready) {
                const freshAt = freshestOf(choice[0]);
                if (freshAt < oldestAt && choice[1].pulledAt < now - oldRowMs) {
                    [oldest, oldestAt] = [choice, freshAt];
                }
            }
            if (oldest !== undefined) {
                return oldest;
            }
        }
        return ready[Math.floor(random() * ready.length)];
    }

    function freshestOf(id: string): number {
        let freshAt = -Infinity;
        for (const row of known.values()) {
            if (row.instanceId === id) {
                freshAt = Math.max(freshAt, row.freshAt);
            }
        }
        return freshAt;
    }

    async function runSlot(slot: number, signal: AbortSignal): Promise<void> {
        await clock.sleep(random() * pullIntervalMs, signal);
        while (!signal.aborted) {
            const begunAt = clock.now();
            const choice = choosePeer(slot);
            if (choice !== undefined && state !== MemberState.LEFT) {
                // A failed call is not repeated here: the next round, after the peer's backoff, is the retry.
                await pull(...choice);
            }
            const intervalMs = pullIntervalMs * (0.8 + 0.4 * random());
            await clock.sleep(Math.max(1, intervalMs - (clock.now() - begunAt)), signal);
        }
    }

    /** Pulls once from every reachable peer, which tells all of them this instance's state. */
    async function tellEveryone(): Promise<void> {
        const now = clock.now();
        const pulls: Promise<unknown>[] = [];
        for (const listing of listings.values()) {
            const link = inTotal(listing, now) ? linkOf(listing.id) : undefined;
            if (link !== undefined) {
                pulls.push(pull(listing.id, link));
            }
        }
        await Promise.all(pulls);
    }

    // ---- life cycle ----

    async function rejoin(reason: string): Promise<void> {
        const old = self;
        selfFenced = true;
        await Promise.all(endListeners.map(release => release()));
        self = createIncarnation(instanceId);
        fences.set(old, clock.now());
        addVote(old, instanceId);
        startedAt = clock.now();
        firstLeaseAt = undefined;
        settled = false;
        state = state === MemberState.LEAVING ? state : MemberState.STARTING;
        until = -Infinity;
        lapsedSince = startedAt;
        for (const row of known.values()) {
            row.atStart = true;
        }
        for (const listing of listings.values()) {
            listing.atStart = true;
        }
        selfFenced = false;
        recount();
        telemetry.stateChange("member_rejoined", { old, incarnation: self, reason });
        startListeners.forEach(start => start(self));
    }

    async function watch(signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            const now = clock.now();
            recount();
            checkFences(now);
            const held = holdsLease();
            if (held !== leaseLogged) {
                leaseLogged = held;
                telemetry.stateChange(held ? "lease_held" : "lease_lost", { incarnation: self });
                telemetry.gauge("membership.lease", held ? 1 : 0);
            }
            lapsedSince = held ? Infinity : Math.min(lapsedSince, now);
            if (selfFenced && state !== MemberState.LEFT) {
                await rejoin("fenced");
            }
            else if (state !== MemberState.LEFT && settled && now - lapsedSince > maxLapseMs) {
                await rejoin("lapsed");
            }
            await clock.sleep(watchIntervalMs, signal);
        }
    }

    function update(listed: readonly ListedInstance[]): void {
        const now = clock.now();
        const seen = new Set<string>();
        for (const instance of listed) {
            if (instance.role !== "entry" || instance.innerPort === undefined) {
                continue;
            }
            seen.add(instance.id);
            const listing = listings.get(instance.id);
            // An id that was away for longer than the grace period is a new member.
            const since = listing !== undefined && inTotal(listing, now)
                ? listing
                : { listedAt: now, atStart: !settled };
            listings.set(instance.id, {
                id: instance.id,
                domain: instance.domain,
                origin: `http://${instance.address}:${instance.innerPort}`,
                listedAt: since.listedAt,
                atStart: since.atStart,
            });
        }
        for (const listing of listings.values()) {
            if (seen.has(listing.id)) {
                continue;
            }
            const hasLeft = [...left].some(incarnation => instanceIdOf(incarnation) === listing.id)
                && ![...known.values()].some(row => row.instanceId === listing.id);
            if (hasLeft || !inTotal(listing, now)) {
                listings.delete(listing.id);
                links.get(listing.id)?.client.close();
                links.delete(listing.id);
            }
            else {
                listing.vanishedAt ??= now;
            }
        }
        recount();
    }

    function handlePullRows(request: PullRowsRequest): PullRowsResponse {
        if (request.self !== undefined) {
            // The age of the caller's row is not used: the request may have waited in a socket buffer while this
            // process was paused, and no reading of the local clock bounds when it was sent.
            adoptContent(request.self);
            recount();
        }
        const now = clock.now();
        const rows = [selfRow()];
        for (const row of known.values()) {
            const ageMs = Math.ceil(now - row.freshAt);
            if (ageMs <= maxToldAgeMs) {
                rows.push(create(RowSchema, {
                    incarnation: row.incarnation,
                    ageMs,
                    appliedOffset: BigInt(row.appliedOffset),
                    rosterOffset: BigInt(row.rosterOffset),
                    state: row.state,
                    // Once an incarnation is cleared its fence travels in each member's own row only.
                    fenced: [...row.fenced].filter(incarnation => !isCleared(incarnation)),
                    domain: row.domain,
                }));
            }
        }
        return create(PullRowsResponseSchema, { rows });
    }

    function toMember(row: KnownIncarnation, now: number): Member {
        const listing = listings.get(row.instanceId);
        return {
            incarnation: row.incarnation,
            instanceId: row.instanceId,
            domain: listing?.domain ?? row.domain,
            origin: listing?.origin ?? "",
            state: row.state,
            ageMs: now - row.freshAt,
            appliedOffset: row.appliedOffset,
            fenced: false,
        };
    }

    function members(): Member[] {
        const now = clock.now();
        const listing = listings.get(instanceId);
        const own: Member = {
            incarnation: self,
            instanceId,
            domain,
            origin: listing?.origin ?? "",
            state,
            ageMs: 0,
            appliedOffset: appliedOffset(),
            fenced: selfFenced,
        };
        return [own, ...[...known.values()].map(row => toMember(row, now))];
    }

    function peer(incarnation: string): MembershipPeer | undefined {
        return known.has(incarnation) ? linkOf(instanceIdOf(incarnation))?.client.peer : undefined;
    }

    function majorityApplied(offset: number): boolean {
        const now = clock.now();
        const ids = memberIds(now);
        const applied = new Set<string>();
        if (appliedOffset() >= offset && !selfFenced) {
            applied.add(instanceId);
        }
        for (const row of known.values()) {
            if (ids.has(row.instanceId) && row.freshAt > now - leaseMs && row.appliedOffset >= offset) {
                applied.add(row.instanceId);
            }
        }
        return applied.size >= majorityOf(ids.size);
    }

    return {
        self: () => self,
        state: () => state,
        holdsLease,
        leaseUntil,
        isFenced: incarnation => fences.has(incarnation) || (incarnation === self && selfFenced),
        members,
        peer,
        majorityApplied,
        update,
        handlePullRows,
        onIncarnationEnd: release => void endListeners.push(release),
        onIncarnationStart: start => void startListeners.push(start),
        learn: incarnation => void learn(incarnation),
        isCleared,
        pendingFences: () => [...fences.keys()].filter(incarnation => !isCleared(incarnation)),
        isSettled: () => settled,
        async startLeaving() {
            if (state !== MemberState.LEFT) {
                state = MemberState.LEAVING;
                telemetry.stateChange("member_leaving", { incarnation: self });
                await tellEveryone();
            }
        },
        async leave() {
            state = MemberState.LEFT;
            until = -Infinity;
            telemetry.stateChange("member_left", { incarnation: self });
            await tellEveryone();
        },
        async run(signal) {
            running = signal;
            const pauses = createPauseDetector({ clock }, {
                onPause(pausedMs) {
                    telemetry.count("membership.pauses");
                    telemetry.stateChange("event_loop_paused", { pausedMs: Math.round(pausedMs) });
                },
            });
            const slots = Array.from({ length: pullSlots }, (_, slot) => runSlot(slot, signal));
            await Promise.all([watch(signal), pauses.run(signal), ...slots]);
            for (const link of links.values()) {
                link.client.close();
            }
            links.clear();
        },
    };
}
