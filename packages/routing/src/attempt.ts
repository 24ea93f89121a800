import type { Dispatcher } from "undici";
import type { Target } from "./target";

/** Outcomes of an attempt on a target. */
export const attemptOutcome = {
    /** The proxy received the complete response. */
    completed: "completed",
    /** The target returned a 5xx status and did not shed the request. */
    failed: "failed",
    /** The target rejected the request before running it. */
    shed: "shed",
    /** The connection to the target could not be established. */
    connectFailed: "connect-failed",
    /** The connection failed before the response headers. */
    reset: "reset",
    /** No response headers, or no further body bytes, before the time limit. */
    stalled: "stalled",
    /** The response ended before its declared length. */
    truncated: "truncated",
    /** The caller disconnected. */
    cancelled: "cancelled",
} as const;

/** Outcome of an attempt. */
export type AttemptOutcome = typeof attemptOutcome[keyof typeof attemptOutcome];

/** Result of an attempt as reported to the router. */
export interface AttemptReport {
    outcome: AttemptOutcome;
    /** Time from sending to the response headers in milliseconds, if headers arrived. */
    headersMs?: number;
    /** Whether the response marks the target as draining. */
    draining?: boolean;
    /** Retry-After of a shed request in milliseconds. */
    retryAfterMs?: number;
}

/** A slot on a target, held until it is released. */
export interface Attempt {
    target: Target;
    dispatcher: Dispatcher;
    /** Releases the slot; must be called exactly once. */
    release(report: AttemptReport): void;
}

/** Request for a slot on a target of a service. */
export interface SlotRequest {
    service: string;
    /** Organisation that the slot counts for in fair sharing. */
    organisation: string;
    /** Monotonic time of the request's deadline in milliseconds. */
    deadlineAt: number;
    /** Ids of the targets that this request has already tried. */
    excludedTargets: ReadonlySet<string>;
    /** Aborts when the caller disconnects. */
    signal: AbortSignal;
    /**
     * Whether the request may run twice. Non-idempotent requests prefer targets that are past their slow start.
     * @default true
     */
    idempotent?: boolean;
}
