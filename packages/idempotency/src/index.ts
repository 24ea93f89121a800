export { IdempotencyFailure } from "./idempotency-failure";
export type { IdempotencyFailureCode } from "./idempotency-failure";
export { createIdempotencyRegister } from "./idempotency-register";
export type { IdempotencyRegister, IdempotencyRegisterOptions } from "./idempotency-register";
export type { IssuedKey } from "./issued-key";
export type { Claim, Run, StoredResponse } from "./run";
