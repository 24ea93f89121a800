export type { Member, Membership, MembershipPeer } from "./membership";
export { shardCount, shardOf } from "./shard";
export type { ShardOwnership, ShardStateHolder } from "./shard-ownership";
