import type { RequestOutcome } from "./caller-interface";
import type { Problem } from "./problem";

/** A complete response of a target. */
export interface TargetResponse {
    status: number;
    /** End-to-end headers, names and values in turn. */
    headers: string[];
    body: Buffer;
    outcome: RequestOutcome;
    retryAfterMs?: number;
}

/** Result of one attempt on a target. */
export type AttemptResult =
    /** The whole response arrived and nothing of it has been sent to the caller. */
    | { kind: "held"; response: TargetResponse; }
    /** The target refused the request before running it. */
    | { kind: "refused"; response: TargetResponse; }
    /** The whole response has been sent to the caller; `copy` is there when it was asked for and is small enough. */
    | { kind: "streamed"; copy?: TargetResponse; }
    /** The response broke off after a part of it had been sent to the caller. */
    | { kind: "interrupted"; }
    /** No response has been sent to the caller. */
    | { kind: "failed"; problem: Problem; sent: boolean; };
