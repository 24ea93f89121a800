import type { Dispatcher } from "undici";
import type { Target } from "./target";

/** Ways in which an attempt on a target ends. */
export const attemptOutcome = {
    /** The whole response arrived. */
    completed: "completed",
    /** The target answered with a 5xx status other than a shed request. */
    failed: "failed",
    /** The target refused the request before running it. */
    shed: "shed",
    /** No connection could be made. */
    connectFailed: "connect-failed",
    /** The connection broke before the response headers. */
    reset: "reset",
    /** No response headers, or no further body bytes, before the time limit. */
    stalled: "stalled",
    /** The response ended before its announced length. */
    truncated: "truncated",
    /** The caller went away. */
    cancelled: "cancelled",
} as const;

/** Way in which an attempt ended. */
export type AttemptOutcome = typeof attemptOutcome[keyof typeof attemptOutcome];

/** What the router learns from an attempt. */
export interface AttemptReport {
    outcome: AttemptOutcome;
    /** Time from sending to the response headers in milliseconds, when headers arrived. */
    headersMs?: number;
    /** Whether the response said that the target is draining. */
    draining?: boolean;
    /** Retry-After of a shed request in milliseconds. */
    retryAfterMs?: number;
}

/** A slot on a target, held until it is released. */
export interface Attempt {
    target: Target;
    dispatcher: Dispatcher;
    /** Gives the slot back; must be called exactly once. */
    release(report: AttemptReport): void;
}

/** Request for a slot on a target of a service. */
export interface SlotRequest {
    service: string;
    /** Organisation for fair sharing of slots. */
    organisation: string;
    /** Monotonic time in milliseconds at which the request's deadline ends. */
    deadlineAt: number;
    /** Ids of targets that this request has tried already. */
    excluded: ReadonlySet<string>;
    /** Aborts when the caller goes away. */
    signal: AbortSignal;
    /**
     * Whether the request may run twice. Others avoid targets that are cold or have just returned.
     * @default true
     */
    idempotent?: boolean;
}
