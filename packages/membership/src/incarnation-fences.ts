/**
 * Fences of incarnations: which ones this instance has fenced, the votes of the other members, and when a fenced incarnation can
 * no longer hold a lease.
 */

import type { Clock } from "@trefoilladder/clock";
import type { Telemetry } from "@trefoilladder/telemetry";
import { instanceIdOf } from "./incarnation";
import { majorityOf } from "./member-majorities";
import type { Roster } from "./roster";

/** Dependencies of the fences. Times are in milliseconds. */
export interface FenceParts {
    clock: Clock;
    telemetry: Telemetry;
    roster: Pick<Roster, "has" | "wasRemoved">;
    instanceId: string;
    leaseMs: number;
    fenceRetentionMs: number;
    listingGraceMs: number;
}

/** Fences of incarnations. */
export interface IncarnationFences {
    has(incarnation: string): boolean;
    /** Fences an incarnation of another instance; returns false when it is fenced already. */
    add(incarnation: string, reason: string): boolean;
    /** Fences the previous incarnation of this process. */
    addPrevious(incarnation: string): void;
    /** Records that an instance has fenced an incarnation. */
    addVote(incarnation: string, voter: string): void;
    /** Records the incarnations that a majority of the members has fenced by now. */
    countVotes(memberIds: ReadonlySet<string>, now: number): void;
    /** Records that an incarnation has left. */
    recordLeft(incarnation: string): void;
    /** Returns whether any incarnation of an instance has left. */
    hasLeft(instanceId: string): boolean;
    /** Returns whether an incarnation left, was removed, or was fenced by a majority so long ago that its lease has expired. */
    isExpired(incarnation: string): boolean;
    /** Returns the fenced incarnations that have not expired. */
    pending(): string[];
    /** Returns the fenced incarnations that the row of this instance contains. */
    published(now: number): string[];
}

/** Assumed upper bound of the ratio of the clock rates of two machines. */
const maxClockDriftRatio = 1.01;

/** Creates the fences of an instance that has fenced no incarnation. */
export function createIncarnationFences(parts: FenceParts): IncarnationFences {
    const { clock, telemetry, roster, instanceId, leaseMs, fenceRetentionMs, listingGraceMs } = parts;
    /** Fenced incarnations, with the time at which this instance recorded the fence. Entries are never removed. */
    const fencedAt = new Map<string, number>();
    const left = new Set<string>();
    /** Ids of the instances that are known to have fenced each incarnation. */
    const fencedBy = new Map<string, Set<string>>();
    const expired = new Set<string>();
    const majorityFencedAt = new Map<string, number>();

    function addPrevious(incarnation: string): void {
        fencedAt.set(incarnation, clock.now());
        addVote(incarnation, instanceId);
    }

    function addVote(incarnation: string, voter: string): void {
        let voters = fencedBy.get(incarnation);
        if (voters === undefined) {
            voters = new Set();
            fencedBy.set(incarnation, voters);
        }
        voters.add(voter);
    }

    function isExpired(incarnation: string): boolean {
        if (expired.has(incarnation)) {
            return true;
        }
        const isFenced = fencedAt.has(incarnation) || roster.wasRemoved(incarnation);
        if (isFenced && hasExpired(incarnation)) {
            expired.add(incarnation);
        }
        return expired.has(incarnation);
    }

    function hasExpired(incarnation: string): boolean {
        const majorityAt = majorityFencedAt.get(incarnation);
        // Only expired incarnations are removed from the roster, so a remove record proves the expiry. All instances
        // have dropped a fence as old as in the last condition from their rows: its majority is no longer observable.
        return left.has(incarnation) || roster.wasRemoved(incarnation)
            || (majorityAt !== undefined && clock.now() - majorityAt > leaseMs * maxClockDriftRatio)
            || clock.now() - (fencedAt.get(incarnation) ?? Infinity) > fenceRetentionMs;
    }

    return {
        has: incarnation => fencedAt.has(incarnation),
        add(incarnation, reason) {
            if (fencedAt.has(incarnation)) {
                return false;
            }
            addPrevious(incarnation);
            telemetry.count("membership.fences", { reason });
            telemetry.stateChange("member_fenced", { incarnation, reason });
            return true;
        },
        addPrevious,
        addVote,
        countVotes(memberIds, now) {
            const needed = majorityOf(memberIds.size);
            for (const [incarnation, voters] of fencedBy) {
                if (majorityFencedAt.has(incarnation)) {
                    continue;
                }
                let votes = 0;
                for (const voter of voters) {
                    votes += memberIds.has(voter) ? 1 : 0;
                }
                if (votes >= needed) {
                    majorityFencedAt.set(incarnation, now);
                }
            }
        },
        recordLeft: incarnation => void left.add(incarnation),
        hasLeft: id => [...left].some(incarnation => instanceIdOf(incarnation) === id),
        isExpired,
        pending: () => [...fencedAt.keys()].filter(incarnation => !isExpired(incarnation)),
        published(now) {
            const fenced: string[] = [];
            for (const [incarnation, at] of fencedAt) {
                const retentionMs = left.has(incarnation) ? listingGraceMs : fenceRetentionMs;
                if (now - at < retentionMs || roster.has(incarnation)) {
                    fenced.push(incarnation);
                }
            }
            return fenced;
        },
    };
}
