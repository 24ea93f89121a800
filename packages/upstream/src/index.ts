export { createConnectionPool } from "./connection-pool";
export type { ConnectionPool, Exchange, TargetAddress } from "./connection-pool";
export type { ResponseHead } from "./response-parser";
export { isFinalStatus } from "./response-status";
export { ExchangeFailure, exchangeFailureCode, headerValue } from "./target-connection";
export type { BodyWriter, ExchangeListener, OutgoingRequest } from "./target-connection";
