/**
 * Targets of a service that an instance prefers.
 *
 * Load pattern: 118 instances send four requests per second each to a service with 90 targets, which close connections that
 * are idle for ten seconds. An instance that chooses among all of them opens a connection for most of its requests, and two in
 * three requests leave its failure domain. Each instance prefers a few targets, in its own failure domain if it has enough of
 * them. The set widens while its targets are busy or unhealthy, so that it is never the cause of a queue.
 */

import { hashText, mixBits } from "@trefoilladder/limits";
import type { Candidate } from "./placement";

/** An instance or a target, with its failure domain. */
export interface DomainMember {
    id: string;
    domain: string;
}

/** Targets in the order in which an instance prefers them. */
export interface TargetRanking {
    /** Positions in the list of targets. */
    order: number[];
    /** Number of leading targets for which this instance is among those that keep the target in use. */
    coveredCount: number;
}

/** Number of targets of a service up to which an instance prefers none. */
export const maxUnrankedTargets = 24;
/** Smallest number of targets in a set, and the number of targets beyond the concurrent requests of the instance. */
const minSetSize = 6;
const headroomTargets = 4;
/** Number of instances at least whose sets contain a target, whatever the size of the fleet. */
const minCoveringInstances = 3;
/**
 * Number of free targets at least in a set, and the utilisation from which a target does not count as free; below it, the target
 * counts in part.
 */
const minFreeTargets = 2.5;
const busyUtilisation = 0.85;
/**
 * Largest number of sets that contain a target of a small failure domain, in proportion to the mean over all targets. The other
 * instances of the domain prefer targets of all domains.
 */
const maxCoverRatio = 1.5;

/**
 * Number of instances that keep a target in use or in reserve, in proportion to those that keep it in use. If all instances of a
 * domain had all of its targets in reserve, they would all send to the few sound ones while the others fail.
 */
const reserveRatio = 2;

/** Tiers of the ranking. */
const tier = {
    /** The instance is among those that keep the target in use. */
    covered: 0,
    /** The target is in the failure domain and follows when the others are busy or unhealthy. */
    reserve: 1,
    other: 2,
} as const;

/** Returns the rendezvous hashing weight of a pair; one text is hashed once for many pairs. */
function pairWeight(instanceHash: number, targetHash: number): number {
    return mixBits(mixBits(instanceHash) ^ targetHash);
}

function groupByDomain<T extends DomainMember>(members: readonly T[]): Map<string, T[]> {
    const groups = new Map<string, T[]>();
    for (const member of members) {
        const group = groups.get(member.domain) ?? [];
        group.push(member);
        groups.set(member.domain, group);
    }
    return groups;
}

/** Returns the size of a set from the mean number of concurrent requests of the instance. */
export function targetSetSize(concurrentRequests: number): number {
    return Math.max(minSetSize, Math.ceil(concurrentRequests) + headroomTargets);
}

/**
 * Ranks the targets of a service for an instance: first those that it has to keep in use, then those of its failure domain
 * unless the domain has few targets for its instances, then the others. Each target is kept in use by the instances of its
 * failure domain with the highest weights, as many as give the instances sets of the usual size. Instances with the same view
 * of the fleet cover all targets without a message.
 */
export function rankTargets(
    self: DomainMember,
    instances: readonly DomainMember[],
    targets: readonly DomainMember[],
    setSize: number,
): TargetRanking {
    const hashesByDomain = new Map(
        [...groupByDomain(instances)].map(([domain, group]) => [domain, group.map(({ id }) => hashText(id))]),
    );
    const allHashes = [...hashesByDomain.values()].flat();
    const targetsByDomain = groupByDomain(targets);
    const ownHash = hashText(self.id);
    const maxCount = maxCoverRatio * setSize * instances.length / targets.length;
    const localCount = setSize * (hashesByDomain.get(self.domain)?.length ?? 0)
        / (targetsByDomain.get(self.domain)?.length ?? 1);
    const prefersDomain = localCount <= maxCount;

    /** Returns the number of instances that the target prefers to this one, up to a maximum. */
    function rankOfSelf(rivals: readonly number[], targetHash: number, ownWeight: number, max: number): number {
        let rank = 0;
        for (const rival of rivals) {
            rank += pairWeight(rival, targetHash) > ownWeight ? 1 : 0;
            if (rank >= max) {
                return max;
            }
        }
        return rank;
    }

    function tierOf({ domain }: DomainMember, targetHash: number, ownWeight: number): number {
        const local = hashesByDomain.get(domain);
        if (local === undefined) {
            const isCovering =
                rankOfSelf(allHashes, targetHash, ownWeight, minCoveringInstances) < minCoveringInstances;
            return isCovering ? tier.covered : tier.other;
        }
        if (domain !== self.domain) {
            return tier.other;
        }
        const coverCount = Math.max(minCoveringInstances, Math.floor(Math.min(localCount, maxCount)));
        const reserveCount = prefersDomain ? reserveRatio * coverCount : coverCount;
        const rank = rankOfSelf(local, targetHash, ownWeight, reserveCount);
        return rank < coverCount ? tier.covered : rank < reserveCount ? tier.reserve : tier.other;
    }

    const ranked = targets.map((target, position) => {
        const targetHash = hashText(target.id);
        const weight = pairWeight(ownHash, targetHash);
        return { position, weight, tier: tierOf(target, targetHash, weight) };
    });
    if (prefersDomain) {
        // An instance that few targets prefer fills its set with targets of its failure domain as well.
        ranked.filter(({ position }) => targets[position]!.domain === self.domain)
            .sort((a, b) => b.weight - a.weight)
            .slice(0, setSize)
            .forEach(nearest => nearest.tier = Math.min(nearest.tier, tier.reserve));
    }
    ranked.sort((a, b) => a.tier - b.tier || b.weight - a.weight || a.position - b.position);
    return {
        order: ranked.map(({ position }) => position),
        coveredCount: ranked.filter(target => target.tier === tier.covered).length,
    };
}

/**
 * Returns how many of the candidates, in the order of the ranking, are in the set: at least `minLength`, and enough of them
 * for some free slots at targets that are not suspected.
 */
export function targetSetLength(
    candidates: readonly Pick<Candidate, "unhealthyProbability" | "pathFailureProbability" | "utilisation">[],
    minLength: number,
): number {
    let free = 0;
    for (const [index, { unhealthyProbability, pathFailureProbability, utilisation }] of candidates.entries()) {
        if (index >= minLength && free >= minFreeTargets) {
            return index;
        }
        const freeShare = Math.max(0, 1 - utilisation / busyUtilisation);
        free += (1 - unhealthyProbability) * (1 - pathFailureProbability) * freeShare;
    }
    return candidates.length;
}
