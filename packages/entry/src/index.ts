export { createOwnerCall } from "./owner-call";
export type { OwnerCall, OwnerCallParts } from "./owner-call";
