import { createHash } from "node:crypto";
import { shardCount } from "./shard";

const bytesPerWeight = 4;
/** Incarnations whose weights are kept; a cell has about 50, and replaced ones are recomputed when asked for. */
const maxCached = 1_024;
const cache = new Map<string, Uint32Array>();

/** Returns the rendezvous weight of an incarnation for each shard; one SHAKE256 call yields all of them. */
export function rendezvousWeights(incarnation: string): Uint32Array {
    const known = cache.get(incarnation);
    if (known !== undefined) {
        return known;
    }
    const digest = createHash("shake256", { outputLength: shardCount * bytesPerWeight }).update(incarnation).digest();
    const weights = new Uint32Array(shardCount);
    for (let shard = 0; shard < shardCount; shard++) {
        weights[shard] = digest.readUInt32BE(shard * bytesPerWeight);
    }
    if (cache.size >= maxCached) {
        cache.clear();
    }
    cache.set(incarnation, weights);
    return weights;
}
