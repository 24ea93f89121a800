export { createAcquireRpc } from "./acquire-rpc";
export type { AcquireRpc, AcquireRpcParts } from "./acquire-rpc";
