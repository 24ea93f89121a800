import { Failure } from "@trefoilladder/failures";
import type { Result } from "neverthrow";

/** Reasons why the quota refuses a request. */
export type QuotaRefusalCode = "rate_exceeded" | "quota_unavailable" | "instance_isolated" | "cancelled";

/** Refusal of a request by its organisation's quota. */
export class QuotaRefusal extends Failure<QuotaRefusalCode> {
    /** Time until a token is expected to be available, in milliseconds. */
    readonly retryAfterMs: number;

    constructor(code: QuotaRefusalCode, message: string, retryAfterMs: number) {
        super(code, message);
        this.retryAfterMs = retryAfterMs;
    }
}

/** Request for one token of an organisation. */
export interface QuotaRequest {
    organisation: string;
    ratePerSecond: number;
    burst: number;
    /** Monotonic time in milliseconds after which a token is useless to the request. */
    deadlineAt: number;
    signal: AbortSignal;
}

/** Admits requests within each organisation's rate and burst. */
export interface Quota {
    /** Takes a token; waits briefly for one that is about to become available. */
    admit(request: QuotaRequest): Promise<Result<void, QuotaRefusal>>;
}
