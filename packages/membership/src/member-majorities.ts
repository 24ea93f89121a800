/**
 * Majorities of the members, and the lease and configuration offsets that they confirm. Times are monotonic and in milliseconds.
 */

import { MemberState } from "@trefoilladder/protocol";
import type { KnownIncarnation, Listing, MemberTable } from "./member-table";

/** Dependencies of the majorities. */
export interface MajorityParts extends MemberTable {
    instanceId: string;
    leaseMs: number;
    listingGraceMs: number;
    fences: { has(incarnation: string): boolean; };
}

/** Majorities of the members. */
export interface MemberMajorities {
    /** Returns whether a listed instance, or one that was listed recently, counts as a member. */
    countsAsMember(listing: Listing, now: number): boolean;
    /** Returns the ids of the members over which majorities are computed. */
    memberIds(now: number): Set<string>;
    /** Returns the end of the lease that the rows of a majority give to the incarnation of this process. */
    leaseUntil(self: string, now: number): number;
    /** Returns whether enough other members are up to date and this instance has applied what they have. */
    isUpToDate(appliedOffset: () => number, now: number): boolean;
    /** Returns whether a majority has applied the configuration up to an offset. */
    haveApplied(offset: number, hasAppliedItself: boolean, now: number): boolean;
}

/** Returns the number of members that are a majority of a total. */
export function majorityOf(total: number): number {
    return Math.floor(total / 2) + 1;
}

/** Creates the majorities over the members of a table. */
export function createMemberMajorities(parts: MajorityParts): MemberMajorities {
    const { instanceId, leaseMs, listingGraceMs, listings, known, fences } = parts;

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
    function countsTowardsLease(row: KnownIncarnation, self: string, now: number): boolean {
        const listing = listings.get(row.instanceId);
        if (fences.has(row.incarnation) || row.state === MemberState.LEFT || listing === undefined) {
            return false;
        }
        const listedLongEnough = listing.listedAtStartup || now - listing.listedAt >= listingGraceMs;
        const isUpToDate = row.knownAtStartup || row.state === MemberState.LIVE || row.state === MemberState.LEAVING
            || now - row.firstKnownAt >= listingGraceMs;
        return listedLongEnough && isUpToDate && !row.fenced.has(self);
    }

    function leaseUntil(self: string, now: number): number {
        const ids = memberIds(now);
        const lastAlive = new Map<string, number>();
        for (const row of known.values()) {
            if (ids.has(row.instanceId) && row.instanceId !== instanceId && countsTowardsLease(row, self, now)) {
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

    function isUpToDate(appliedOffset: () => number, now: number): boolean {
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

    function haveApplied(offset: number, hasAppliedItself: boolean, now: number): boolean {
        const ids = memberIds(now);
        const applied = new Set<string>();
        if (hasAppliedItself) {
            applied.add(instanceId);
        }
        for (const row of known.values()) {
            if (ids.has(row.instanceId) && row.lastAliveAt > now - leaseMs && row.appliedOffset >= offset) {
                applied.add(row.instanceId);
            }
        }
        return applied.size >= majorityOf(ids.size);
    }

    return { countsAsMember, memberIds, leaseUntil, isUpToDate, haveApplied };
}
