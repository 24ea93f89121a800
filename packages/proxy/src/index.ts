export { callerHeader, idempotencyKeysPath, relayPath, requestOutcome, targetHeader } from "./caller-interface";
export { callerServerOptions, createCallerServer, handleProtocolErrors } from "./caller-server";
export { problemStatus } from "./problem";
export type { ProblemCode } from "./problem";
export { createProxy } from "./proxy";
export type { Admission, IdempotencyParts, Proxy, ProxyParts } from "./proxy";
export type { ProxyOptions } from "./proxy-options";
