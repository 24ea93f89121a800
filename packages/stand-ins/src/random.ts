import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

/** Seeded source of random numbers. */
export interface Random {
    /** Uniform in [0, 1). */
    uniform(): number;
    /** Returns true with this probability. */
    chance(probability: number): boolean;
    /** Exponentially distributed with this mean. */
    exponential(mean: number): number;
    /** Log-normally distributed with this median and shape. */
    logNormal(median: number, sigma: number): number;
    /** One element of a non-empty list. */
    pick<Value>(values: readonly Value[]): Value;
}

/** Creates a source; the same seed gives the same sequence. */
export function createRandom(seed: number): Random {
    const generator = xoroshiro128plus(seed);
    const uniform = () => uniformFloat64(generator);
    return {
        uniform,
        chance: probability => probability > 0 && uniform() < probability,
        exponential: mean => -mean * Math.log(1 - uniform()),
        logNormal(median, sigma) {
            const normal = Math.sqrt(-2 * Math.log(1 - uniform())) * Math.cos(2 * Math.PI * uniform());
            return median * Math.exp(sigma * normal);
        },
        pick: values => values[Math.floor(uniform() * values.length)]!,
    };
}
