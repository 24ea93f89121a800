import type { BucketState } from "@trefoilladder/protocol";

/** Holder of the state that moves with a shard. */
export interface ShardStateHolder {
    /** Gives up a shard: no grant follows, and the state goes to the next owner. */
    release(shard: number): BucketState[];
    /** Takes a shard over with the state of the previous owner; undefined after a succession, when levels start at 0. */
    install(shard: number, buckets: BucketState[] | undefined): void;
}

/** Decides which incarnation owns a shard; at most one does at any time. */
export interface ShardOwnership {
    /** Tells whether this instance owns the shard and holds its contact lease now. */
    owns(shard: number): boolean;
    /** Returns the incarnation to ask for a shard: the first live candidate as far as this instance knows. */
    presumedOwner(shard: number): string | undefined;
    /** Hands every owned shard to its next candidate; returns the shards that nobody took. */
    handOverAll(signal: AbortSignal): Promise<number[]>;
}
