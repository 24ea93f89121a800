export { splitAddress } from "./address";
export { decodeDigest, decodePushedRecords, encodeDigest, encodePushedRecords } from "./digest";
export type { Digest, PushedRecords, TargetDigest } from "./digest";
export { createMesh } from "./mesh";
export type { Mesh, News } from "./mesh";
export { createPeers } from "./peers";
export type { Peer } from "./peers";
