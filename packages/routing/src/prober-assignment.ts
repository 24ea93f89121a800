import { createHash } from "node:crypto";

/** An entry instance that can probe targets. */
export interface ProbingMember {
    id: string;
    domain: string;
}

function rendezvousScore(target: string, member: string): string {
    return createHash("sha256").update(`${target}\n${member}`).digest("hex");
}

/**
 * Assigns the probers of a target by rendezvous hashing: the member with the best score and the next one in another
 * failure domain, so that a partition of one domain does not cut off both.
 */
export function assignProbers(target: string, members: readonly ProbingMember[]): ProbingMember[] {
    const ranked = members
        .map(member => ({ member, score: rendezvousScore(target, member.id) }))
        .sort((a, b) => a.score < b.score ? -1 : 1)
        .map(({ member }) => member);
    const first = ranked[0];
    const second = ranked.find(({ domain }) => domain !== first?.domain) ?? ranked[1];
    return [first, second].filter(member => member !== undefined);
}

/** Returns whether a target that is ejected, cold or without recent traffic is due for its next probe. */
export function isProbeDue(
    state: { ejected: boolean; cold: boolean; lastTrafficAt: number; lastProbeAt: number; },
    now: number,
    probeIntervalMs: number,
): boolean {
    const needed = state.ejected || state.cold || now - state.lastTrafficAt >= probeIntervalMs;
    return needed && now - state.lastProbeAt >= probeIntervalMs;
}
