import type { ServerResponse } from "node:http";
import { callerHeader } from "./caller-interface";
import type { RequestOutcome } from "./caller-interface";

/** Stable codes of responses made by the proxy, with their HTTP status. */
export const problemStatus = {
    key_missing: 401,
    key_invalid: 401,
    route_unknown: 404,
    deadline_invalid: 400,
    deadline_passed: 408,
    rate_exceeded: 429,
    quota_unavailable: 503,
    instance_isolated: 503,
    no_target: 503,
    queue_full: 503,
    deadline_too_short: 503,
    target_unreachable: 502,
    response_incomplete: 502,
    deadline_exceeded: 504,
    cancelled: 499,
} as const;

/** Code of a response made by the proxy. */
export type ProblemCode = keyof typeof problemStatus;

/** A response made by the proxy itself. */
export interface Problem {
    code: ProblemCode;
    outcome: RequestOutcome;
    detail: string;
    /** Time after which a retry makes sense, in milliseconds. */
    retryAfterMs?: number;
}

/** Writes a problem document (RFC 9457) as the whole response. */
export function sendProblem(response: ServerResponse, problem: Problem, requestId: string): void {
    const status = problemStatus[problem.code];
    const body = JSON.stringify({ type: "about:blank", status, code: problem.code, detail: problem.detail });
    const headers: Record<string, string | number> = {
        "content-type": "application/problem+json",
        "content-length": Buffer.byteLength(body),
        [callerHeader.requestId]: requestId,
        [callerHeader.outcome]: problem.outcome,
    };
    if (problem.retryAfterMs !== undefined) {
        headers["retry-after"] = Math.max(1, Math.ceil(problem.retryAfterMs / 1000));
    }
    response.writeHead(status, headers).end(body);
}
