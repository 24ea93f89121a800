import type { RandomSource } from "./random-source";

/** Load of a target with a free slot. */
export interface Choice {
    inFlight: number;
    slots: number;
    /** Traffic relative to that of a warm target, from 0 to 1. */
    share: number;
}

function drawByShare<T extends Choice>(choices: readonly T[], random: RandomSource): T | undefined {
    const total = choices.reduce((sum, { share }) => sum + share, 0);
    let rest = random.next() * total;
    for (const choice of choices) {
        rest -= choice.share;
        if (rest < 0) {
            return choice;
        }
    }
    return choices.at(-1);
}

/**
 * Draws two targets with their shares as weights and returns the one with the lower utilisation. The power of two
 * choices prevents all instances from sending to the same least loaded target.
 */
export function chooseTarget<T extends Choice>(choices: readonly T[], random: RandomSource): T | undefined {
    const first = drawByShare(choices, random);
    const second = drawByShare(choices, random);
    if (first === undefined || second === undefined) {
        return undefined;
    }
    return second.inFlight / second.slots < first.inFlight / first.slots ? second : first;
}
