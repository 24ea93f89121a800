import { MemberState } from "@trefoilladder/protocol";
import { instanceIdOf } from "./incarnation";

/** An instance of the platform's list. */
export interface Listing {
    id: string;
    domain: string;
    origin: string;
    listedAt: number;
    /** Whether it was listed before the startup phase of this instance ended. */
    listedAtStartup: boolean;
    unlistedAt?: number;
}

/** What this instance knows of an incarnation. */
export interface KnownIncarnation {
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

/** Members of the fleet as this instance knows them. */
export interface MemberTable {
    /** By instance id. */
    listings: Map<string, Listing>;
    /** Incarnations of other instances that are not fenced. */
    known: Map<string, KnownIncarnation>;
}

/** Creates the entry of an incarnation without rows. */
export function createKnownIncarnation(
    incarnation: string,
    firstKnownAt: number,
    knownAtStartup: boolean,
): KnownIncarnation {
    return {
        incarnation,
        instanceId: instanceIdOf(incarnation),
        lastAliveAt: -Infinity,
        firstKnownAt,
        knownAtStartup,
        state: MemberState.UNSPECIFIED,
        appliedOffset: 0,
        rosterOffset: 0,
        fenced: new Set(),
        domain: "",
        failedProbeAt: -Infinity,
        probing: false,
    };
}

/** Returns the latest monotonic time at which any incarnation of an instance is known to have been alive; -Infinity without one. */
export function lastAliveOf({ known }: Pick<MemberTable, "known">, id: string): number {
    let lastAliveAt = -Infinity;
    for (const row of known.values()) {
        if (row.instanceId === id) {
            lastAliveAt = Math.max(lastAliveAt, row.lastAliveAt);
        }
    }
    return lastAliveAt;
}
