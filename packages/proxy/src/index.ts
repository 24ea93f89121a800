export { callerHeader, requestOutcome } from "./caller-interface";
export { createProxy } from "./proxy";
export type { ProxyParts } from "./proxy";
