import type { ServerResponse } from "node:http";
import { callerHeader, requestOutcome } from "./caller-interface";
import type { RequestOutcome } from "./caller-interface";
import { closeAfterUnreadBody } from "./unread-body";

/** Stable codes of the errors that the proxy returns, with their HTTP status. */
export const problemStatus = {
    request_malformed: 400,
    path_invalid: 400,
    header_repeated: 400,
    request_id_invalid: 400,
    deadline_invalid: 400,
    idempotency_key_not_issued: 400,
    idempotency_key_expired: 400,
    key_missing: 401,
    key_invalid: 401,
    route_unknown: 404,
    method_unsupported: 405,
    request_too_slow: 408,
    deadline_passed: 408,
    request_running: 409,
    response_not_stored: 409,
    outcome_unknown: 409,
    body_too_large: 413,
    expectation_unknown: 417,
    idempotency_key_reused: 422,
    rate_exceeded: 429,
    headers_too_large: 431,
    internal_error: 500,
    cancelled: 499,
    target_unreachable: 502,
    target_reset: 502,
    response_incomplete: 502,
    quota_unavailable: 503,
    instance_isolated: 503,
    configuration_stale: 503,
    idempotency_register_full: 503,
    no_target: 503,
    queue_full: 503,
    target_busy: 503,
    deadline_too_short: 503,
    deadline_exceeded: 504,
} as const;

/** Code of an error that the proxy returns. */
export type ProblemCode = keyof typeof problemStatus;

/** An error that the proxy returns to the caller. */
export interface Problem {
    code: ProblemCode;
    outcome: RequestOutcome;
    detail: string;
    /** Delay in milliseconds after which the caller should retry. */
    retryAfterMs?: number;
}

/** Creates a problem for a request that has not run. */
export function notRun(code: ProblemCode, detail: string, retryAfterMs?: number): Problem {
    return { code, outcome: requestOutcome.notRun, detail, retryAfterMs };
}

/** Creates a problem for a request that may have run. */
export function unknownOutcome(code: ProblemCode, detail: string): Problem {
    return { code, outcome: requestOutcome.unknown, detail };
}

/** Returns the problem document (RFC 9457) and its headers as alternating names and values. */
export function renderProblem(
    problem: Problem,
    requestId: string,
): { status: number; headers: string[]; body: string; } {
    const status = problemStatus[problem.code];
    const body = JSON.stringify({ type: "about:blank", status, code: problem.code, detail: problem.detail });
    const headers = [
        "content-type",
        "application/problem+json",
        "content-length",
        String(Buffer.byteLength(body)),
        callerHeader.requestId,
        requestId,
        callerHeader.outcome,
        problem.outcome,
    ];
    if (problem.retryAfterMs !== undefined) {
        headers.push("retry-after", String(Math.max(1, Math.ceil(problem.retryAfterMs / 1000))));
    }
    return { status, headers, body };
}

/** Sends a problem document as the complete response. */
export function sendProblem(
    response: ServerResponse,
    problem: Problem,
    requestId: string,
    extraHeaders: readonly string[] = [],
): void {
    if (response.destroyed || response.headersSent) {
        return;
    }
    const { status, headers, body } = renderProblem(problem, requestId);
    headers.push(...extraHeaders);
    closeAfterUnreadBody(response);
    response.writeHead(status, headers).end(body);
}
