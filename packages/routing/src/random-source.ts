import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

/** Source of random numbers. */
export interface RandomSource {
    /** Returns a number from 0 (included) to 1 (excluded). */
    next(): number;
}

/** Creates a random source whose sequence is a function of the seed. */
export function createRandomSource(seed: number): RandomSource {
    const generator = xoroshiro128plus(seed);
    return { next: () => uniformFloat64(generator) };
}
