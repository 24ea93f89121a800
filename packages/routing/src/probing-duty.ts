import { createHash } from "node:crypto";

/** An entry instance that can probe. */
export interface ProbingMember {
    id: string;
    domain: string;
}

function rank(target: string, member: string): string {
    return createHash("sha256").update(`${target}\n${member}`).digest("hex");
}

/**
 * Returns the probers of a target: the first member in rendezvous order and the next one of another failure domain,
 * so that a partition of one domain does not blind both.
 */
export function probersOf(target: string, members: readonly ProbingMember[]): ProbingMember[] {
    const ranked = members
        .map(member => ({ member, score: rank(target, member.id) }))
        .sort((a, b) => a.score < b.score ? -1 : 1)
        .map(({ member }) => member);
    const first = ranked[0];
    const second = ranked.find(({ domain }) => domain !== first?.domain) ?? ranked[1];
    return [first, second].filter(member => member !== undefined);
}

/** Tells whether a prober probes a target now. */
export function probeIsDue(
    state: { ejected: boolean; cold: boolean; lastTrafficAt: number; lastProbeAt: number; },
    now: number,
    probeIntervalMs: number,
): boolean {
    const needed = state.ejected || state.cold || now - state.lastTrafficAt >= probeIntervalMs;
    return needed && now - state.lastProbeAt >= probeIntervalMs;
}
