import { Failure } from "@trefoilladder/failures";

/** Reasons why a request with an idempotency key is neither run nor answered from the register. */
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
