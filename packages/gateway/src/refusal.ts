import type { LogFields } from "@trefoilladder/telemetry";

/** Reason for which this instance responds to a request itself. */
export type RefusalCode =
    | "malformed_request"
    | "route_unknown"
    | "key_unknown"
    | "header_too_large"
    | "too_many_headers"
    | "body_too_large"
    | "memory_short"
    | "too_many_running"
    | "body_timeout"
    | "no_configuration"
    | "stopping"
    | "over_limit"
    | "limit_unavailable"
    | "no_target"
    | "overloaded"
    | "shed"
    | "unreachable"
    | "not_run_in_time"
    | "target_failed"
    | "outcome_unknown"
    | "timed_out";

/** A response that this instance generates itself. */
export interface Refusal {
    code: RefusalCode;
    status: number;
    /** Seconds after which the caller may retry; only for requests that have not run. */
    retryAfterSeconds: number | undefined;
    /** Values that led to the refusal, for the log. */
    inputs: LogFields;
    /** Priority of the request; only for refusals that depend on it. */
    priority: number | undefined;
}

/** Creates a refusal. */
export function refusal(
    code: RefusalCode,
    status: number,
    options: { retryAfterSeconds?: number; inputs?: LogFields; priority?: number; } = {},
): Refusal {
    const { retryAfterSeconds, inputs = {}, priority } = options;
    return { code, status, retryAfterSeconds, inputs, priority };
}
