import { create } from "@bufbuild/protobuf";
import { createPauseDetector } from "@trefoilladder/clock";
import type { Clock } from "@trefoilladder/clock";
import type { ListedInstance } from "@trefoilladder/platform";
import { MemberState, PullRowsResponseSchema, RowSchema } from "@trefoilladder/protocol";
import type { PullRowsRequest, PullRowsResponse, Row } from "@trefoilladder/protocol";
import type { Telemetry } from "@trefoilladder/telemetry";
import { createIncarnation, instanceIdOf } from "./incarnation";
import { createIncarnationFences } from "./incarnation-fences";
import { createMemberMajorities } from "./member-majorities";
import { createKnownIncarnation } from "./member-table";
import type { KnownIncarnation, MemberTable } from "./member-table";
import type { Member, MembershipPeer } from "./membership";
import type { MembershipOptions, MembershipService } from "./membership-service";
import { createPeerClient } from "./peer-client";
import type { PeerClient } from "./peer-client";
import { createPeerLinks } from "./peer-links";
import type { PeerLink } from "./peer-links";
import { createPeerPulls } from "./peer-pulls";
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

const watchIntervalMs = 100;
/** Fraction of `fenceAfterMs` after which an incarnation without a new row is probed. */
const suspicionFraction = 0.8;
const maxProbes = 16;
/** Rows older than this are not relayed. */
const maxRelayedAgeMs = 10_000;

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

    const listings: MemberTable["listings"] = new Map();
    const known: MemberTable["known"] = new Map();
    const fences = createIncarnationFences({
        clock,
        telemetry,
        roster,
        instanceId,
        leaseMs,
        fenceRetentionMs,
        listingGraceMs,
    });
    const majorities = createMemberMajorities({ instanceId, leaseMs, listingGraceMs, listings, known, fences });
    const links = createPeerLinks(connect, id => id === instanceId ? undefined : listings.get(id)?.origin);
    const pulls = createPeerPulls({
        clock,
        telemetry,
        listings,
        known,
        links,
        pullIntervalMs,
        pullConcurrency,
        pullTimeoutMs,
        random,
        countsAsMember: majorities.countsAsMember,
        hasLeft: () => state === MemberState.LEFT,
        selfRow,
        merge,
    });
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

    // ---- the lease ----

    function computeLease(now: number): number {
        if (selfFenced || state === MemberState.LEFT || !listings.has(instanceId)) {
            return -Infinity;
        }
        return majorities.leaseUntil(self, now);
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
        fences.countVotes(majorities.memberIds(now), now);
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
        return majorities.isUpToDate(appliedOffset, now);
    }

    // ---- fences ----

    function fence(incarnation: string, reason: string): void {
        if (incarnation === self) {
            if (!selfFenced) {
                selfFenced = true;
                telemetry.count("membership.fenced_self");
                telemetry.fault("member_fenced_self", { incarnation, reason });
            }
            return;
        }
        if (fences.add(incarnation, reason)) {
            known.delete(incarnation);
        }
    }

    function addIncarnation(incarnation: string): KnownIncarnation | undefined {
        if (incarnation === self || fences.has(incarnation) || roster.wasRemoved(incarnation)) {
            return undefined;
        }
        let row = known.get(incarnation);
        if (row === undefined) {
            row = createKnownIncarnation(incarnation, clock.now(), !startupComplete);
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
                fences.addVote(incarnation, row.instanceId);
                fence(incarnation, "adopted");
            }
        }
        if (row.state === MemberState.LEFT) {
            fences.recordLeft(row.incarnation);
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
            const link = links.to(row.instanceId);
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
        await pulls.pull(row.instanceId, link);
        probes -= 1;
        row.probing = false;
        // A timeout that expired while this process was paused is no evidence about the peer.
        const paused = clock.now() - sentAt > pullTimeoutMs + watchIntervalMs;
        if (!paused && row.lastAliveAt < sentAt) {
            row.failedProbeAt = sentAt;
        }
    }

    function selfRow(): Row {
        return create(RowSchema, {
            incarnation: self,
            ageMs: 0,
            appliedOffset: BigInt(appliedOffset()),
            rosterOffset: BigInt(roster.appliedOffset()),
            state,
            fenced: fences.published(clock.now()),
            domain,
        });
    }

    // ---- lifecycle ----

    async function rejoin(reason: string): Promise<void> {
        const old = self;
        selfFenced = true;
        await Promise.all(endListeners.map(release => release()));
        self = createIncarnation(instanceId);
        fences.addPrevious(old);
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
            const firstListing = listing !== undefined && majorities.countsAsMember(listing, now)
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
            const hasLeft = fences.hasLeft(listing.id)
                && ![...known.values()].some(row => row.instanceId === listing.id);
            if (hasLeft || !majorities.countsAsMember(listing, now)) {
                listings.delete(listing.id);
                links.remove(listing.id);
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
                    fenced: [...row.fenced].filter(incarnation => !fences.isExpired(incarnation)),
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
        return known.has(incarnation) ? links.to(instanceIdOf(incarnation))?.client.peer : undefined;
    }

    function majorityApplied(offset: number): boolean {
        return majorities.haveApplied(offset, appliedOffset() >= offset && !selfFenced, clock.now());
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
        isExpired: fences.isExpired,
        pendingFences: fences.pending,
        isStartupComplete: () => startupComplete,
        async startLeaving() {
            if (state !== MemberState.LEFT) {
                state = MemberState.LEAVING;
                telemetry.stateChange("member_leaving", { incarnation: self });
                await pulls.announce();
            }
        },
        async leave() {
            state = MemberState.LEFT;
            leaseEndsAt = -Infinity;
            telemetry.stateChange("member_left", { incarnation: self });
            await pulls.announce();
        },
        async run(signal) {
            const pauses = createPauseDetector({ clock }, {
                onPause(pausedMs) {
                    telemetry.count("membership.pauses");
                    telemetry.stateChange("event_loop_paused", { pausedMs: Math.round(pausedMs) });
                },
            });
            const pulling = pulls.run(signal);
            await Promise.all([watch(signal), pauses.run(signal), pulling]);
            links.close();
        },
    };
}
