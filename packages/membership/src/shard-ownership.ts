import type { BucketState } from "@trefoilladder/protocol";

/** Holds the state that moves with a shard. */
export interface ShardStateHolder {
    /** Releases a shard: it grants nothing more, and returns the state for the next owner. */
    release(shard: number): BucketState[];
    /** Installs a shard with the previous owner's state; undefined when that state is lost, and levels start at 0. */
    install(shard: number, buckets: BucketState[] | undefined): void;
}

/** Assigns each shard to at most one owning incarnation at any time. */
export interface ShardOwnership {
    /** Returns whether this instance owns the shard and holds its lease now. */
    owns(shard: number): boolean;
    /** Returns the probable owner of a shard: the first live candidate in this instance's view. */
    presumedOwner(shard: number): string | undefined;
    /** Hands every owned shard over to its next candidate; returns the shards that no candidate claimed. */
    handOverAll(signal: AbortSignal): Promise<number[]>;
}
