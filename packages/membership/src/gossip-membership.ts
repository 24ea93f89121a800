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

/** Dependencies of the membership. */
export interface MembershipParts {
    clock: Clock;
    telemetry: Telemetry;
    /** Returns the offset after the last configuration record that this instance has applied. */
    appliedOffset: () => number;
    roster: Pick<Roster, "appliedOffset" | "has" | "wasRemoved">;
    /**
     * Creates a client of the instance at an origin.
     * @default a Connect client over HTTP/1.1
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
     * Maximum age at which a row counts towards the lease.
     * @default 1500
     */
    leaseMs?: number;
    /**
     * Age of an incarnation's most recent row above which the incarnation is fenced.
     * @default 1500
     */
    fenceAfterMs?: number;
    /**
     * Interval between two pulls of one pull loop.
     * @default 200
     */
    pullIntervalMs?: number;
    /**
     * Number of concurrent pull loops.
     * @default 2
     */
    pullConcurrency?: number;
    /**
     * Timeout of one pull.
     * @default 400
     */
    pullTimeoutMs?: number;
    /**
     * Time during which a newly listed member or a new incarnation does not count towards the majority, and during
     * which a member that is no longer listed still counts as a member.
     * @default 30000
     */
    listingGraceMs?: number;
    /**
     * Duration of the startup phase, from the first lease on. New incarnations count at once during this phase, and
     * this instance claims no shard.
     * @default 2000
     */
    startupPhaseMs?: number;
    /**
     * Time during which this instance's row contains a fence; longer while the incarnation is on the roster.
     * @default 3600000
     */
    fenceRetentionMs?: number;
    /**
     * Time without the lease after which this process starts a new incarnation. It is less than `fenceRetentionMs`, so
     * that no incarnation outlives the record of its fence.
     * @default 1800000
     */
    maxLeaseLossMs?: number;
}

/** Membership with the operations for the process wiring and the shard ownership. */
export interface MembershipService extends Membership {
    /** Returns the state that this instance publishes. */
    state(): MemberState;
    /** Applies the platform's instance list. Callers skip the call when the list could not be read. */
    updateInstances(listed: readonly ListedInstance[]): void;
    /** Pulls rows, fences incarnations and monitors the lease until the signal aborts. */
    run(signal: AbortSignal): Promise<void>;
    /** Answers a peer's pull. */
    handlePullRows(request: PullRowsRequest): PullRowsResponse;
    /**
     * Registers a callback that discards the state of the current incarnation. It is called when the incarnation ends,
     * for example because it was fenced; the new incarnation starts after all returned promises have resolved.
     */
    onIncarnationEnd(release: () => void | Promise<void>): void;
    /** Registers a callback for each new incarnation of this process. */
    onIncarnationStart(start: (incarnation: string) => void): void;
    /** Adds an incarnation that was discovered other than through a row. */
    addIncarnation(incarnation: string): void;
    /**
     * Returns whether an incarnation can no longer hold a lease: it left, was removed, or a majority fenced it longer
     * ago than `leaseMs` plus the clock drift.
     */
    isExpired(incarnation: string): boolean;
    /** Returns the incarnations that are fenced here and have not expired; each may still hold a lease. */
    pendingFences(): string[];
    /** Returns whether the startup phase is over; this instance may claim shards from then on. */
    isStartupComplete(): boolean;
    /** Publishes the state `leaving` to all peers at once; this instance keeps its lease and owned shards. */
    startLeaving(): Promise<void>;
    /** Publishes the state `left` to all peers; this instance holds no lease from then on. */
    leave(): Promise<void>;
}

interface Listing {
    id: string;
    domain: string;
    origin: string;
    listedAt: number;
    /** Whether it was listed before the startup phase of this instance ended. */
    listedAtStartup: boolean;
    unlistedAt?: number;
}

interface KnownIncarnation {
    incarnation: string;
    instanceId: string;
    /** Latest monotonic time at which the incarnation is known to have been alive; -Infinity before the first row. */
    lastAliveAt: number;
    firstKnownAt: number;
    /** Whether it was known before the startup phase of this instance ended. */
    knownAtStartup: boolean;
    state: MemberState;
    appliedOffset: number;
    rosterOffset: number;
    fenced: Set<string>;
    domain: string;
    /** Start of the last probe that returned no new row of this incarnation. */
    failedProbeAt: number;
    probing: boolean;
}

interface PeerLink {
    origin: string;
    client: PeerClient;
    pulledAt: number;
    failures: number;
    retryAt: number;
}

/** Assumed upper bound of the ratio of the clock rates of two machines. */
const maxClockDriftRatio = 1.01;
const watchIntervalMs = 100;
/** Fraction of `fenceAfterMs` after which an incarnation without a new row is probed. */
const suspicionFraction = 0.8;
/** Row age above which every pull loop but the first prefers the peer with the oldest row. */
const staleRowMs = 600;
const maxProbes = 16;
const minBackoffMs = 200;
const maxBackoffMs = 3_000;
/** Rows older than this are not relayed. */
const maxRelayedAgeMs = 10_000;

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
        pullConcurrency = 2,
        pullTimeoutMs = 400,
        listingGraceMs = 30_000,
        startupPhaseMs = 2_000,
        fenceRetentionMs = 3_600_000,
        maxLeaseLossMs = 1_800_000,
    } = options;

    const listings = new Map<string, Listing>();
    const known = new Map<string, KnownIncarnation>();
    /** Fenced incarnations, with the time at which this instance recorded the fence. Entries are never removed. */
    const fences = new Map<string, number>();
    const left = new Set<string>();
    /** Ids of the instances that are known to have fenced each incarnation. */
    const fencedBy = new Map<string, Set<string>>();
    const expired = new Set<string>();
    const majorityFencedAt = new Map<string, number>();
    const links = new Map<string, PeerLink>();
    const endListeners: (() => void | Promise<void>)[] = [];
    const startListeners: ((incarnation: string) => void)[] = [];

    let self = createIncarnation(instanceId);
    let state: MemberState = MemberState.STARTING;
    let startedAt = clock.now();
    let firstLeaseAt: number | undefined;
    let startupComplete = false;
    let selfFenced = false;
    let leaseEndsAt = -Infinity;
    let lastLoggedHeld = false;
    let leaseLostAt = startedAt;
    let probes = 0;
    let runSignal: AbortSignal | undefined;

    // ---- majorities and the lease ----

    function countsAsMember(listing: Listing, now: number): boolean {
        return listing.unlistedAt === undefined || now - listing.unlistedAt < listingGraceMs;
    }

    /** Returns the ids of the members over which majorities are computed. */
    function memberIds(now: number): Set<string> {
        const ids = new Set([instanceId]);
        for (const listing of listings.values()) {
            if (countsAsMember(listing, now)) {
                ids.add(listing.id);
            }
        }
        for (const row of known.values()) {
            // A responding instance is a member even if it is no longer listed. One that was never listed counts as if
            // it had been unlisted when first seen, so that an outdated list cannot lead to too small a majority.
            const recent = row.lastAliveAt > now - leaseMs && row.state !== MemberState.LEFT;
            const neverListed = !listings.has(row.instanceId) && now - row.firstKnownAt < listingGraceMs;
            if (!fences.has(row.incarnation) && (recent || neverListed)) {
                ids.add(row.instanceId);
            }
        }
        return ids;
    }

    /** Returns whether rows of an incarnation count towards this instance's lease. */
    function countsTowardsLease(row: KnownIncarnation, now: number): boolean {
        const listing = listings.get(row.instanceId);
        if (fences.has(row.incarnation) || row.state === MemberState.LEFT || listing === undefined) {
            return false;
        }
        const listedLongEnough = listing.listedAtStartup || now - listing.listedAt >= listingGraceMs;
        const isUpToDate = row.knownAtStartup || row.state === MemberState.LIVE || row.state === MemberState.LEAVING
            || now - row.firstKnownAt >= listingGraceMs;
        return listedLongEnough && isUpToDate && !row.fenced.has(self);
    }

    function computeLease(now: number): number {
        if (selfFenced || state === MemberState.LEFT || !listings.has(instanceId)) {
            return -Infinity;
        }
        const ids = memberIds(now);
        const lastAlive = new Map<string, number>();
        for (const row of known.values()) {
            if (ids.has(row.instanceId) && row.instanceId !== instanceId && countsTowardsLease(row, now)) {
                lastAlive.set(row.instanceId, Math.max(lastAlive.get(row.instanceId) ?? -Infinity, row.lastAliveAt));
            }
        }
        const needed = majorityOf(ids.size) - 1;
        if (needed === 0) {
            return now + leaseMs;
        }
        const times = [...lastAlive.values()].sort((a, b) => b - a);
        return (times[needed - 1] ?? -Infinity) + leaseMs;
    }

    function leaseUntil(): number {
        return selfFenced || state === MemberState.LEFT ? -Infinity : leaseEndsAt;
    }

    function holdsLease(): boolean {
        return clock.now() < leaseUntil();
    }

    /** Recomputes the lease and the fences set by a majority; called when rows, the list or the time have changed. */
    function recompute(): void {
        const now = clock.now();
        leaseEndsAt = computeLease(now);
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
        if (!startupComplete && now < leaseEndsAt) {
            firstLeaseAt ??= now;
            startupComplete = now - firstLeaseAt >= startupPhaseMs;
        }
        if (state === MemberState.STARTING && isCaughtUp(now)) {
            state = MemberState.LIVE;
            telemetry.stateChange("member_live", { incarnation: self });
        }
    }

    /**
     * Returns whether this incarnation knows every fence and every accepted configuration of a majority of the others.
     * Its rows may then count for instances that started before it.
     */
    function isCaughtUp(now: number): boolean {
        if (now - startedAt >= listingGraceMs) {
            return now < leaseEndsAt;
        }
        const ids = memberIds(now);
        const upToDate = new Set<string>();
        let highestOffset = 0;
        for (const row of known.values()) {
            const recent = row.lastAliveAt > now - leaseMs && !fences.has(row.incarnation);
            if (recent && ids.has(row.instanceId) && row.instanceId !== instanceId) {
                highestOffset = Math.max(highestOffset, row.appliedOffset);
                if (row.state === MemberState.LIVE || row.state === MemberState.LEAVING) {
                    upToDate.add(row.instanceId);
                }
            }
        }
        return upToDate.size >= Math.min(majorityOf(ids.size), ids.size - 1) && appliedOffset() >= highestOffset;
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

    function isExpired(incarnation: string): boolean {
        if (expired.has(incarnation)) {
            return true;
        }
        const isFenced = fences.has(incarnation) || roster.wasRemoved(incarnation);
        if (isFenced && hasExpired(incarnation)) {
            expired.add(incarnation);
        }
        return expired.has(incarnation);
    }

    function hasExpired(incarnation: string): boolean {
        const fencedAt = majorityFencedAt.get(incarnation);
        // Only expired incarnations are removed from the roster, so a remove record proves the expiry. All instances
        // have dropped a fence as old as in the last condition from their rows: its majority is no longer observable.
        return left.has(incarnation) || roster.wasRemoved(incarnation)
            || (fencedAt !== undefined && clock.now() - fencedAt > leaseMs * maxClockDriftRatio)
            || clock.now() - (fences.get(incarnation) ?? Infinity) > fenceRetentionMs;
    }

    function addIncarnation(incarnation: string): KnownIncarnation | undefined {
        if (incarnation === self || fences.has(incarnation) || roster.wasRemoved(incarnation)) {
            return undefined;
        }
        let row = known.get(incarnation);
        if (row === undefined) {
            row = {
                incarnation,
                instanceId: instanceIdOf(incarnation),
                lastAliveAt: -Infinity,
                firstKnownAt: clock.now(),
                knownAtStartup: !startupComplete,
                state: MemberState.UNSPECIFIED,
                appliedOffset: 0,
                rosterOffset: 0,
                fenced: new Set(),
                domain: "",
                failedProbeAt: -Infinity,
                probing: false,
            };
            known.set(incarnation, row);
        }
        return row;
    }

    /** Applies the parts of a row that only grow: state, offsets and fences; also the domain. */
    function applyRow(received: Row): KnownIncarnation | undefined {
        const row = addIncarnation(received.incarnation);
        if (row === undefined) {
            return undefined;
        }
        row.state = Math.max(row.state, received.state);
        row.appliedOffset = Math.max(row.appliedOffset, Number(received.appliedOffset));
        row.rosterOffset = Math.max(row.rosterOffset, Number(received.rosterOffset));
        row.domain = received.domain === "" ? row.domain : received.domain;
        for (const incarnation of received.fenced) {
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

    /** Merges pulled rows. `sentAt` is the time at which the pull was sent, before the sender computed any row age. */
    function merge(rows: readonly Row[], sentAt: number): void {
        // The sender's own row comes first. Rows relayed by a fenced sender may lack fences that its own row would add.
        if (rows[0] === undefined || fences.has(rows[0].incarnation)) {
            return;
        }
        for (const received of rows) {
            const row = applyRow(received);
            if (row !== undefined) {
                row.lastAliveAt = Math.max(row.lastAliveAt, sentAt - received.ageMs);
            }
        }
        recompute();
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
            const lastSeenAt = Math.max(row.lastAliveAt, row.firstKnownAt);
            const age = now - lastSeenAt;
            const link = linkTo(row.instanceId);
            if (link !== undefined && age > fenceAfterMs * suspicionFraction && !row.probing && probes < maxProbes) {
                void probe(row, link);
            }
            const probeFailed = link === undefined || row.failedProbeAt > lastSeenAt;
            if (age > fenceAfterMs && probeFailed && holdsLease()) {
                fence(row.incarnation, "silent");
            }
        }
    }

    /** Pulls directly from an incarnation without a recent row, as the last check before it is fenced. */
    async function probe(row: KnownIncarnation, link: PeerLink): Promise<void> {
        row.probing = true;
        probes += 1;
        const sentAt = clock.now();
        await pull(row.instanceId, link);
        probes -= 1;
        row.probing = false;
        // A timeout that expired while this process was paused is no evidence about the peer.
        const paused = clock.now() - sentAt > pullTimeoutMs + watchIntervalMs;
        if (!paused && row.lastAliveAt < sentAt) {
            row.failedProbeAt = sentAt;
        }
    }

    // ---- pulls ----

    function linkTo(id: string): PeerLink | undefined {
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
                { timeoutMs: pullTimeoutMs, signal: runSignal },
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

    function choosePeer(loop: number): [string, PeerLink] | undefined {
        const now = clock.now();
        const ready: [string, PeerLink][] = [];
        for (const listing of listings.values()) {
            const link = countsAsMember(listing, now) ? linkTo(listing.id) : undefined;
            if (link !== undefined && link.retryAt <= now) {
                ready.push([listing.id, link]);
            }
        }
        if (loop > 0) {
            let stalest: [string, PeerLink] | undefined;
            let stalestAt = now - staleRowMs;
            for (const choice of ready) {
                const lastAliveAt = lastAliveOf(choice[0]);
                if (lastAliveAt < stalestAt && choice[1].pulledAt < now - staleRowMs) {
                    [stalest, stalestAt] = [choice, lastAliveAt];
                }
            }
            if (stalest !== undefined) {
                return stalest;
            }
        }
        return ready[Math.floor(random() * ready.length)];
    }

    function lastAliveOf(id: string): number {
        let lastAliveAt = -Infinity;
        for (const row of known.values()) {
            if (row.instanceId === id) {
                lastAliveAt = Math.max(lastAliveAt, row.lastAliveAt);
            }
        }
        return lastAliveAt;
    }

    async function runPullLoop(loop: number, signal: AbortSignal): Promise<void> {
        await clock.sleep(random() * pullIntervalMs, signal);
        while (!signal.aborted) {
            const roundStartedAt = clock.now();
            const choice = choosePeer(loop);
            if (choice !== undefined && state !== MemberState.LEFT) {
                // A failed pull is not retried here; a later round retries it after the peer's backoff.
                await pull(...choice);
            }
            const intervalMs = pullIntervalMs * (0.8 + 0.4 * random());
            await clock.sleep(Math.max(1, intervalMs - (clock.now() - roundStartedAt)), signal);
        }
    }

    /** Pulls once from every member; the request carries this instance's state. */
    async function announceState(): Promise<void> {
        const now = clock.now();
        const pulls: Promise<unknown>[] = [];
        for (const listing of listings.values()) {
            const link = countsAsMember(listing, now) ? linkTo(listing.id) : undefined;
            if (link !== undefined) {
                pulls.push(pull(listing.id, link));
            }
        }
        await Promise.all(pulls);
    }

    // ---- lifecycle ----

    async function rejoin(reason: string): Promise<void> {
        const old = self;
        selfFenced = true;
        await Promise.all(endListeners.map(release => release()));
        self = createIncarnation(instanceId);
        fences.set(old, clock.now());
        addVote(old, instanceId);
        startedAt = clock.now();
        firstLeaseAt = undefined;
        startupComplete = false;
        state = state === MemberState.LEAVING ? state : MemberState.STARTING;
        leaseEndsAt = -Infinity;
        leaseLostAt = startedAt;
        for (const row of known.values()) {
            row.knownAtStartup = true;
        }
        for (const listing of listings.values()) {
            listing.listedAtStartup = true;
        }
        selfFenced = false;
        recompute();
        telemetry.stateChange("member_rejoined", { old, incarnation: self, reason });
        startListeners.forEach(start => start(self));
    }

    async function watch(signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            const now = clock.now();
            recompute();
            checkFences(now);
            const held = holdsLease();
            if (held !== lastLoggedHeld) {
                lastLoggedHeld = held;
                telemetry.stateChange(held ? "lease_held" : "lease_lost", { incarnation: self });
                telemetry.gauge("membership.lease", held ? 1 : 0);
            }
            leaseLostAt = held ? Infinity : Math.min(leaseLostAt, now);
            if (selfFenced && state !== MemberState.LEFT) {
                await rejoin("fenced");
            }
            else if (state !== MemberState.LEFT && startupComplete && now - leaseLostAt > maxLeaseLossMs) {
                await rejoin("lapsed");
            }
            await clock.sleep(watchIntervalMs, signal);
        }
    }

    function updateInstances(listed: readonly ListedInstance[]): void {
        const now = clock.now();
        const seen = new Set<string>();
        for (const instance of listed) {
            if (instance.role !== "entry" || instance.innerPort === undefined) {
                continue;
            }
            seen.add(instance.id);
            const listing = listings.get(instance.id);
            // An instance that was not listed for longer than the grace period is a new member.
            const firstListing = listing !== undefined && countsAsMember(listing, now)
                ? listing
                : { listedAt: now, listedAtStartup: !startupComplete };
            listings.set(instance.id, {
                id: instance.id,
                domain: instance.domain,
                origin: `http://${instance.address}:${instance.innerPort}`,
                listedAt: firstListing.listedAt,
                listedAtStartup: firstListing.listedAtStartup,
            });
        }
        for (const listing of listings.values()) {
            if (seen.has(listing.id)) {
                continue;
            }
            const hasLeft = [...left].some(incarnation => instanceIdOf(incarnation) === listing.id)
                && ![...known.values()].some(row => row.instanceId === listing.id);
            if (hasLeft || !countsAsMember(listing, now)) {
                listings.delete(listing.id);
                links.get(listing.id)?.client.close();
                links.delete(listing.id);
            }
            else {
                listing.unlistedAt ??= now;
            }
        }
        recompute();
    }

    function handlePullRows(request: PullRowsRequest): PullRowsResponse {
        if (request.self !== undefined) {
            // The age of the caller's row is ignored: the request may have waited in a socket buffer while this
            // process was paused, so the local clock gives no bound on the time at which it was sent.
            applyRow(request.self);
            recompute();
        }
        const now = clock.now();
        const rows = [selfRow()];
        for (const row of known.values()) {
            const ageMs = Math.ceil(now - row.lastAliveAt);
            if (ageMs <= maxRelayedAgeMs) {
                rows.push(create(RowSchema, {
                    incarnation: row.incarnation,
                    ageMs,
                    appliedOffset: BigInt(row.appliedOffset),
                    rosterOffset: BigInt(row.rosterOffset),
                    state: row.state,
                    // The fence of an expired incarnation is not relayed; each member publishes it in its own row only.
                    fenced: [...row.fenced].filter(incarnation => !isExpired(incarnation)),
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
            ageMs: now - row.lastAliveAt,
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
        return known.has(incarnation) ? linkTo(instanceIdOf(incarnation))?.client.peer : undefined;
    }

    function majorityApplied(offset: number): boolean {
        const now = clock.now();
        const ids = memberIds(now);
        const applied = new Set<string>();
        if (appliedOffset() >= offset && !selfFenced) {
            applied.add(instanceId);
        }
        for (const row of known.values()) {
            if (ids.has(row.instanceId) && row.lastAliveAt > now - leaseMs && row.appliedOffset >= offset) {
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
        updateInstances,
        handlePullRows,
        onIncarnationEnd: release => void endListeners.push(release),
        onIncarnationStart: start => void startListeners.push(start),
        addIncarnation: incarnation => void addIncarnation(incarnation),
        isExpired,
        pendingFences: () => [...fences.keys()].filter(incarnation => !isExpired(incarnation)),
        isStartupComplete: () => startupComplete,
        async startLeaving() {
            if (state !== MemberState.LEFT) {
                state = MemberState.LEAVING;
                telemetry.stateChange("member_leaving", { incarnation: self });
                await announceState();
            }
        },
        async leave() {
            state = MemberState.LEFT;
            leaseEndsAt = -Infinity;
            telemetry.stateChange("member_left", { incarnation: self });
            await announceState();
        },
        async run(signal) {
            runSignal = signal;
            const pauses = createPauseDetector({ clock }, {
                onPause(pausedMs) {
                    telemetry.count("membership.pauses");
                    telemetry.stateChange("event_loop_paused", { pausedMs: Math.round(pausedMs) });
                },
            });
            const pullLoops = Array.from({ length: pullConcurrency }, (_, loop) => runPullLoop(loop, signal));
            await Promise.all([watch(signal), pauses.run(signal), ...pullLoops]);
            for (const link of links.values()) {
                link.client.close();
            }
            links.clear();
        },
    };
}
