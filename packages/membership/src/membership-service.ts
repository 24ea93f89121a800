import type { ListedInstance } from "@trefoilladder/platform";
import type { MemberState, PullRowsRequest, PullRowsResponse } from "@trefoilladder/protocol";
import type { Membership } from "./membership";

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
