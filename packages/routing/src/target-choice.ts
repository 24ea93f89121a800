import type { RandomSource } from "./random-source";

/** A target with a free slot. */
export interface Choice {
    inFlight: number;
    slots: number;
    /** Share of a warm target's traffic, from 0 to 1. */
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
 * Draws two targets by their shares and takes the less used one. Two random choices avoid that all instances send to
 * the same least loaded target.
 */
export function chooseTarget<T extends Choice>(choices: readonly T[], random: RandomSource): T | undefined {
    const first = drawByShare(choices, random);
    const second = drawByShare(choices, random);
    if (first === undefined || second === undefined) {
        return undefined;
    }
    return second.inFlight / second.slots < first.inFlight / first.slots ? second : first;
}
