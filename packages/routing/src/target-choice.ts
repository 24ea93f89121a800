import type { RandomSource } from "./random-source";

/** Load of a target with a free slot. */
export interface TargetLoad {
    inFlight: number;
    slots: number;
    /** Traffic relative to that of a warm target, from 0 to 1. */
    share: number;
}

function drawByShare<T extends TargetLoad>(candidates: readonly T[], random: RandomSource): T | undefined {
    const total = candidates.reduce((sum, { share }) => sum + share, 0);
    let remainingShare = random.next() * total;
    for (const candidate of candidates) {
        remainingShare -= candidate.share;
        if (remainingShare < 0) {
            return candidate;
        }
    }
    return candidates.at(-1);
}

/**
 * Draws two targets with their shares as weights and returns the one with the lower utilisation. The power of two
 * choices prevents all instances from sending to the same least loaded target.
 */
export function chooseTarget<T extends TargetLoad>(candidates: readonly T[], random: RandomSource): T | undefined {
    const first = drawByShare(candidates, random);
    const second = drawByShare(candidates, random);
    if (first === undefined || second === undefined) {
        return undefined;
    }
    return second.inFlight / second.slots < first.inFlight / first.slots ? second : first;
}
