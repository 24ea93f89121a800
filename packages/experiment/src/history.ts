import type { Execution } from "@trefoilladder/stand-ins";

/** Rate limits of one organisation's plan. */
export interface OrganisationLimit {
    organisation: string;
    ratePerSecond: number;
    burst: number;
}

/** Ends of a submission, as the caller observes them. */
export const submissionEnd = {
    /** A complete response arrived. */
    response: "response",
    /** The connection attempt failed, so no bytes were sent. */
    connectFailed: "connect-failed",
    /** The connection closed after the request was sent and before the response was complete. */
    reset: "reset",
    /** No complete response arrived before the caller's timeout. */
    timeout: "timeout",
} as const;

/** End of a submission. */
export type SubmissionEnd = typeof submissionEnd[keyof typeof submissionEnd];

/** One submission of a request by a caller. Times are on the shared clock, in milliseconds. */
export interface Submission {
    requestId: string;
    /** Call that this submission belongs to; a caller may resubmit a call to another instance. */
    callId: string;
    organisation: string;
    /** Id of the key that was sent; undefined without a valid key. */
    keyId?: string;
    /** Whether the key entitles the organisation to the path, unless it is revoked. */
    isEntitled: boolean;
    instance: string;
    method: string;
    path: string;
    isIdempotent: boolean;
    idempotencyKey?: string;
    /** Token sent with the request, which the response must contain. */
    token: string;
    /** Whether the call is within the organisation's rate and burst. */
    isWithinRate: boolean;
    intendedAt: number;
    sentAt: number;
    deadlineMs: number;
    end: SubmissionEnd;
    endedAt: number;
    status?: number;
    outcome?: string;
    code?: string;
    /** Token and request id from the response body. */
    responseToken?: string;
    responseRequestId?: string;
}

/** Revocation of a key and the time at which it was accepted. */
export interface Revocation {
    keyId: string;
    at: number;
}

/** Departure of a target and the time of its first announcement. */
export interface TargetDeparture {
    target: string;
    at: number;
}

/** Planned stop of an instance, from the stop signal to the exit of the process. */
export interface PlannedStop {
    instance: string;
    at: number;
    endedAt: number;
}

/** Events recorded during a run. */
export interface History {
    limits: OrganisationLimit[];
    submissions: Submission[];
    executions: Execution[];
    revocations: Revocation[];
    departures: TargetDeparture[];
    stops: PlannedStop[];
}
