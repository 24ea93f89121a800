import { Failure } from "@trefoilladder/failures";

/** Reasons why the register neither allows a request to run nor returns a stored response. */
export type IdempotencyFailureCode =
    | "idempotency_key_not_issued"
    | "idempotency_key_expired"
    | "idempotency_key_reused"
    | "idempotency_register_full"
    | "response_not_stored"
    | "outcome_unknown"
    | "request_running";

/** Failure of the idempotency register. */
export class IdempotencyFailure extends Failure<IdempotencyFailureCode> {}
