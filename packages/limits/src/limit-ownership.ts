/**
 * Selection of the instance that decides on an organisation's requests, its owner.
 *
 * Every instance ranks the instances in contact for each limit by rendezvous hashing, so that all agree without a message, and the
 * loss of one instance moves only the limits that it owned.
 */

import { hashText, mixBits } from "./rendezvous-hash";

/** An instance that may own limits. */
export interface OwnerCandidate {
    /** Address by which requests reach the instance. */
    address: string;
    /** Monotonic time in milliseconds, on the clock of the instance that ranks, since which the candidate runs without a pause. */
    runningSince: number;
}

/** Age in milliseconds from which an instance owns limits: its copies of the buckets have been refilled and corrected. */
const settledAgeMs = 5_000;
/** Difference in age in milliseconds up to which instances count as started together. */
const simultaneousStartMs = 2_000;

/** Returns the time in milliseconds since which the oldest of the candidates runs. */
function oldestStart(candidates: readonly OwnerCandidate[]): number {
    return Math.min(...candidates.map(({ runningSince }) => runningSince));
}

/** Returns for how many milliseconds the oldest of the candidates ran before an instance started. */
export function startDelayMs(runningSince: number, candidates: readonly OwnerCandidate[]): number {
    return Math.max(0, runningSince - oldestStart(candidates));
}

/** Returns whether an instance started together with the oldest of the candidates. */
export function startedTogether(runningSince: number, candidates: readonly OwnerCandidate[]): boolean {
    return startDelayMs(runningSince, candidates) <= simultaneousStartMs;
}

/**
 * Returns the addresses of the instances that may own a limit, the owner first. A restarted instance's copies are behind, so it
 * owns none while older instances are in contact; after a restart of all instances, those that started together own the limits
 * at once.
 */
export function rankOwners(name: string, candidates: readonly OwnerCandidate[], now: number): string[] {
    const latestOwnerStart = Math.max(now - settledAgeMs, oldestStart(candidates) + simultaneousStartMs);
    const nameHash = hashText(name);
    return candidates.filter(({ runningSince }) => runningSince <= latestOwnerStart)
        .map(({ address }) => ({ address, score: mixBits(nameHash ^ mixBits(hashText(address))) }))
        .sort((a, b) => b.score - a.score || (a.address < b.address ? -1 : 1))
        .map(({ address }) => address);
}
