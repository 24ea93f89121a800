import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

/** Source of uniformly distributed random numbers. */
export interface RandomSource {
    /** Returns a number from 0 (inclusive) to 1 (exclusive). */
    next(): number;
}

/** Creates a deterministic random source from a seed. */
export function createRandomSource(seed: number): RandomSource {
    const generator = xoroshiro128plus(seed);
    return { next: () => uniformFloat64(generator) };
}
