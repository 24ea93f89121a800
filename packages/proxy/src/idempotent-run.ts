import type { IdempotencyFailure, IdempotencyFailureCode, Run } from "@trefoilladder/idempotency";
import type { Result } from "neverthrow";
import { requestOutcome } from "./caller-interface";
import type { RequestOutcome } from "./caller-interface";
import type { Delivery } from "./delivery";
import type { Problem } from "./problem";

const failureOutcome: Record<IdempotencyFailureCode, RequestOutcome> = {
    idempotency_key_not_issued: requestOutcome.notRun,
    // The key may have been used before its record was dropped.
    idempotency_key_expired: requestOutcome.unknown,
    idempotency_key_reused: requestOutcome.notRun,
    idempotency_register_full: requestOutcome.notRun,
    response_not_stored: requestOutcome.ran,
    outcome_unknown: requestOutcome.unknown,
    request_running: requestOutcome.unknown,
};

/** Returns the problem that a failure of the register is answered with. */
export function problemOfKey(failure: IdempotencyFailure): Problem {
    return { code: failure.code, outcome: failureOutcome[failure.code], detail: failure.message };
}

const settleByProblem: Record<RequestOutcome, (run: Run) => void> = {
    [requestOutcome.notRun]: run => run.notRun(),
    [requestOutcome.unknown]: run => run.unknown(),
    [requestOutcome.ran]: run => run.answered(undefined),
};

/** Records the end of a run under its key. */
export function settleRun(run: Run, result: Result<Delivery, Problem>): void {
    if (result.isErr()) {
        settleByProblem[result.error.outcome](run);
    }
    else if (result.value.complete) {
        run.answered(result.value.copy);
    }
    else {
        run.unknown();
    }
}
