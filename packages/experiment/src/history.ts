import type { Execution } from "@trefoilladder/stand-ins";

/** A plan's limits for one organisation. */
export interface OrganisationLimit {
    organisation: string;
    ratePerSecond: number;
    burst: number;
}

/** How a submission of a request ended for its caller. */
export const submissionEnd = {
    /** A complete response arrived. */
    response: "response",
    /** No connection could be made, so no byte was sent. */
    connectFailed: "connect-failed",
    /** The connection broke after the request was sent, before the response was complete. */
    reset: "reset",
    /** No complete response within the caller's patience. */
    timeout: "timeout",
} as const;

/** How a submission ended. */
export type SubmissionEnd = typeof submissionEnd[keyof typeof submissionEnd];

/** One submission of a request by a caller. Times are on the shared clock, in milliseconds. */
export interface Submission {
    requestId: string;
    /** Call that this submission belongs to; a caller may submit a call again elsewhere. */
    callId: string;
    organisation: string;
    /** Id of the key that was sent; undefined when none was. */
    keyId?: string;
    /** Whether the key, when not revoked, entitles the organisation to the path. */
    isEntitled: boolean;
    instance: string;
    method: string;
    path: string;
    isIdempotent: boolean;
    idempotencyKey?: string;
    /** Token sent with the request; the response has to return it. */
    token: string;
    /** Whether the caller kept within the organisation's rate and burst. */
    isWithinRate: boolean;
    intendedAt: number;
    sentAt: number;
    deadlineMs: number;
    end: SubmissionEnd;
    endedAt: number;
    status?: number;
    outcome?: string;
    code?: string;
    /** Token, and request id in the body, of a response with status 200. */
    responseToken?: string;
    responseRequestId?: string;
}

/** A key that was revoked, and when the revocation was accepted. */
export interface Revocation {
    keyId: string;
    at: number;
}

/** First sign that a target leaves. */
export interface TargetLeaving {
    target: string;
    at: number;
}

/** Planned stop of an instance, from the signal to the exit of the process. */
export interface PlannedStop {
    instance: string;
    at: number;
    endedAt: number;
}

/** Everything recorded in a run. */
export interface History {
    limits: OrganisationLimit[];
    submissions: Submission[];
    executions: Execution[];
    revocations: Revocation[];
    leavings: TargetLeaving[];
    stops: PlannedStop[];
}
