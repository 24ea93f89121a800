import { createHash } from "node:crypto";
import { shardCount } from "./shard";

const bytesPerWeight = 4;
/** Size of the weight cache. A fleet has about 50 incarnations; evicted weights are recomputed on demand. */
const maxCachedIncarnations = 1_024;
const cache = new Map<string, Uint32Array>();

/** Returns an incarnation's rendezvous hashing weight for each shard; one SHAKE256 digest yields all of them. */
export function rendezvousWeights(incarnation: string): Uint32Array {
    const cached = cache.get(incarnation);
    if (cached !== undefined) {
        return cached;
    }
    const digest = createHash("shake256", { outputLength: shardCount * bytesPerWeight }).update(incarnation).digest();
    const weights = new Uint32Array(shardCount);
    for (let shard = 0; shard < shardCount; shard++) {
        weights[shard] = digest.readUInt32BE(shard * bytesPerWeight);
    }
    if (cache.size >= maxCachedIncarnations) {
        cache.clear();
    }
    cache.set(incarnation, weights);
    return weights;
}
