export { createLimitGroup } from "./limit-group";
export type { LimitGroup, NamedTotal } from "./limit-group";
export { createSharedLimit } from "./shared-limit";
export type { LimitState, SharedLimit, SharedLimitOptions } from "./shared-limit";
