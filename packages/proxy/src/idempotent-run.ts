import type { IdempotencyFailure, IdempotencyFailureCode, Run } from "@trefoilladder/idempotency";
import type { Result } from "neverthrow";
import { requestOutcome } from "./caller-interface";
import type { RequestOutcome } from "./caller-interface";
import type { Problem } from "./problem";
import type { SentResponse } from "./sent-response";

const outcomeByFailure: Record<IdempotencyFailureCode, RequestOutcome> = {
    idempotency_key_not_issued: requestOutcome.notRun,
    // The key may have been used before its record was deleted.
    idempotency_key_expired: requestOutcome.unknown,
    idempotency_key_reused: requestOutcome.notRun,
    idempotency_register_full: requestOutcome.notRun,
    response_not_stored: requestOutcome.ran,
    outcome_unknown: requestOutcome.unknown,
    request_running: requestOutcome.unknown,
};

/** Maps a failure of the idempotency register to the problem for the response. */
export function problemOfIdempotencyFailure(failure: IdempotencyFailure): Problem {
    return { code: failure.code, outcome: outcomeByFailure[failure.code], detail: failure.message };
}

const settleByOutcome: Record<RequestOutcome, (run: Run) => void> = {
    [requestOutcome.notRun]: run => run.recordNotRun(),
    [requestOutcome.unknown]: run => run.recordUnknown(),
    [requestOutcome.ran]: run => run.recordResponse(undefined),
};

/** Records the result of a run for its idempotency key. */
export function settleRun(run: Run, result: Result<SentResponse, Problem>): void {
    if (result.isErr()) {
        settleByOutcome[result.error.outcome](run);
    }
    else if (result.value.complete) {
        run.recordResponse(result.value.copy);
    }
    else {
        run.recordUnknown();
    }
}
