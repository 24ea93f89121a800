import { createHash } from "node:crypto";

/** Number of shards that organisations and services are hashed into. */
export const shardCount = 256;

/** Returns the shard of an organisation or a service. */
export function shardOf(name: string): number {
    return createHash("sha256").update(name).digest().readUInt16BE(0) % shardCount;
}
