import type { Clock } from "@trefoilladder/clock";
import { attemptOutcome } from "@trefoilladder/routing";
import type { Attempt, AttemptOutcome, AttemptReport } from "@trefoilladder/routing";
import type { Result } from "neverthrow";
import type { IncomingHttpHeaders } from "node:http";
import type { Dispatcher } from "undici";
import type { AttemptResult, TargetResponse } from "./attempt-result";
import { callerHeader, requestOutcome, targetHeader } from "./caller-interface";
import type { RequestOutcome } from "./caller-interface";
import type { CallerRequest } from "./caller-request";
import { resetCaller } from "./exchange";
import type { Exchange } from "./exchange";
import type { LatencyEstimate } from "./latency-estimate";
import { notRun, unknownOutcome } from "./problem";
import type { Problem } from "./problem";
import type { ResolvedProxyOptions } from "./proxy-options";
import type { RecentRequests } from "./recent-requests";
import type { RequestBody } from "./request-body";
import { startResponse } from "./response-relay";
import { requestHeaders, responseHeaders } from "./target-headers";

/** Request data, services and callbacks that one attempt uses. */
export interface ForwardingContext {
    exchange: Exchange;
    request: CallerRequest;
    body: RequestBody;
    clock: Clock;
    options: ResolvedProxyOptions;
    latency: LatencyEstimate;
    recentRequests: RecentRequests;
    /** Called immediately before the first byte is sent; an error cancels the attempt. */
    checkBeforeSend(): Result<void, Problem>;
    /** Returns whether the request may be retried on another target. */
    mayRetry(): boolean;
    /**
     * Reserves a slot on another target for the next attempt. Resolves to false if there is none or if it is no longer
     * needed.
     */
    reserveNextAttempt(isNeeded: () => boolean): Promise<boolean>;
    /** Maximum size in bytes of a streamed response that is copied; 0 disables copies. */
    maxCopyBytes: number;
    /** Whether the attempt continues after the caller disconnects. */
    continuesAfterDisconnect: boolean;
    /** Path to send; by default the path of the caller's request. */
    path?: string;
    /** Headers to add to the caller's, as alternating names and values. */
    headers?: string[];
    /** Whether the peer is another instance, whose `request-outcome` header is passed on. */
    isTrustedPeer?: boolean;
}

interface ResponseHead {
    status: number;
    headers: string[];
    outcome: RequestOutcome;
    refused: boolean;
    draining: boolean;
    retryAfterMs?: number;
    headersMs: number;
}

/** Largest status of a final response. */
const maxStatus = 599;

/** Returns whether a response precedes the final one; a switch of protocols is never requested. */
function isInterim(status: number): boolean {
    return status >= 100 && status < 200 && status !== 101;
}

function parseRetryAfterMs(received: IncomingHttpHeaders): number | undefined {
    const seconds = Number(received["retry-after"] ?? Number.NaN);
    return Number.isFinite(seconds) && seconds >= 0 ? seconds * 1000 : undefined;
}

const knownOutcomes = new Set<unknown>(Object.values(requestOutcome));

function parseResponseHead(
    status: number,
    received: IncomingHttpHeaders,
    headersMs: number,
    isTrustedPeer: boolean,
): ResponseHead {
    const refused = !isTrustedPeer && status === 503 && received[targetHeader.notRun] === "true";
    const peerOutcome = received[callerHeader.outcome];
    const targetOutcome = refused ? requestOutcome.notRun : requestOutcome.ran;
    return {
        status,
        headers: responseHeaders(received),
        outcome: !isTrustedPeer
            ? targetOutcome
            : knownOutcomes.has(peerOutcome)
            ? peerOutcome as RequestOutcome
            : requestOutcome.unknown,
        refused,
        draining: received[targetHeader.state] === "draining",
        retryAfterMs: parseRetryAfterMs(received),
        headersMs,
    };
}

/** Sends a request to a target once and releases the attempt exactly once. */
export function forwardOnce(attempt: Attempt, context: ForwardingContext): Promise<AttemptResult> {
    const { exchange, request, body, clock, options } = context;
    const { outgoing } = exchange;
    const service = attempt.target.service;
    const dispatchedAt = clock.now();

    return new Promise(resolve => {
        let controller: Dispatcher.DispatchController | undefined;
        let settled = false;
        let startedAt = dispatchedAt;
        let head: ResponseHead | undefined;
        let buffering = false;
        let copying = context.maxCopyBytes > 0;
        let streaming = false;
        let paused = false;
        let reserving = false;
        let chunks: Buffer[] = [];
        let size = 0;
        let lastByteAt = dispatchedAt;
        let timer: NodeJS.Timeout | undefined;
        let timerFiresAt = 0;

        function settle(outcome: AttemptOutcome, result: AttemptResult): void {
            if (settled) {
                return;
            }
            settled = true;
            clearTimeout(timer);
            exchange.onCallerDisconnect = undefined;
            const report: AttemptReport = { outcome };
            if (head !== undefined) {
                report.headersMs = head.headersMs;
                report.draining = head.draining;
                report.retryAfterMs = head.refused ? head.retryAfterMs : undefined;
            }
            attempt.release(report);
            resolve(result);
        }

        /** Aborts the attempt. This destroys the connection, so that a late response cannot reach another request. */
        function abortAttempt(outcome: AttemptOutcome, problem: Problem): void {
            const sent = controller !== undefined;
            if (streaming) {
                resetCaller(exchange);
            }
            settle(outcome, streaming ? { kind: "interrupted" } : { kind: "failed", problem, sent });
            controller?.abort(new Error(problem.code));
        }

        function createProblem(code: Problem["code"], detail: string): Problem {
            return controller === undefined ? notRun(code, detail) : unknownOutcome(code, detail);
        }

        function bufferedResponse(): TargetResponse {
            const { status, headers, outcome, retryAfterMs } = head!;
            return {
                status,
                headers,
                outcome,
                retryAfterMs,
                body: chunks.length === 1 ? chunks[0]! : Buffer.concat(chunks),
            };
        }

        function startStreaming(): void {
            buffering = false;
            streaming = true;
            startResponse(exchange, head!.status, head!.headers, head!.outcome);
        }

        function write(chunk: Buffer): void {
            if (!outgoing.destroyed && !outgoing.write(chunk) && !paused) {
                paused = true;
                controller!.pause();
                const resume = () => {
                    outgoing.off("drain", resume).off("close", resume);
                    paused = false;
                    lastByteAt = clock.now();
                    controller!.resume();
                };
                outgoing.on("drain", resume).on("close", resume);
            }
        }

        /** Schedules the timer for the given time at the latest; if it fires early, `onTimer` schedules it again. */
        function scheduleTimer(at: number): void {
            if (timer !== undefined && timerFiresAt <= at) {
                return;
            }
            clearTimeout(timer);
            timerFiresAt = at;
            timer = setTimeout(onTimer, Math.max(1, Math.ceil(Math.min(at, exchange.deadlineAt) - clock.now())));
        }

        /** Time in milliseconds without expected data after which the target, not the deadline, is at fault. */
        function stallTimeoutMs(): number {
            return head === undefined ? context.latency.stallTimeoutMs(service) : options.responseBodyStallMs;
        }

        function onTimer(): void {
            timer = undefined;
            const now = clock.now();
            const idleMs = now - (head === undefined ? startedAt : lastByteAt);
            const stalled = !paused && idleMs >= stallTimeoutMs() - 1;
            if (now >= exchange.deadlineAt) {
                const outcome = controller === undefined
                    ? attemptOutcome.connectFailed
                    : stalled
                    ? attemptOutcome.stalled
                    : attemptOutcome.cancelled;
                abortAttempt(
                    outcome,
                    createProblem("deadline_exceeded", "the deadline passed before the response was complete"),
                );
                return;
            }
            if (stalled && head !== undefined) {
                abortAttempt(
                    attemptOutcome.stalled,
                    createProblem("response_incomplete", "the response stopped arriving"),
                );
                return;
            }
            if (stalled && !reserving && context.mayRetry()) {
                reserving = true;
                void context.reserveNextAttempt(() => head === undefined).then(reserved => {
                    if (reserved) {
                        const outcome = controller === undefined
                            ? attemptOutcome.connectFailed
                            : attemptOutcome.stalled;
                        abortAttempt(outcome, createProblem("deadline_exceeded", "the target did not answer in time"));
                    }
                });
            }
            if (head === undefined) {
                scheduleTimer(stalled ? exchange.deadlineAt : startedAt + stallTimeoutMs());
                return;
            }
            scheduleTimer((paused ? now : lastByteAt) + stallTimeoutMs());
        }

        const handler: Dispatcher.DispatchHandler = {
            onRequestStart(newController) {
                if (settled || controller !== undefined) {
                    newController.abort(new Error("the attempt has already ended"));
                    return;
                }
                const permitted = context.checkBeforeSend();
                if (permitted.isErr()) {
                    settle(attemptOutcome.cancelled, { kind: "failed", problem: permitted.error, sent: false });
                    newController.abort(new Error(permitted.error.code));
                    return;
                }
                controller = newController;
                exchange.mayHaveRun = true;
                startedAt = clock.now();
            },
            onResponseStart(_, status, received) {
                if (settled || isInterim(status)) {
                    return;
                }
                if (status < 200 || status > maxStatus) {
                    abortAttempt(
                        attemptOutcome.reset,
                        createProblem("target_reset", "the target sent an invalid status"),
                    );
                    return;
                }
                const responseId = received[callerHeader.requestId];
                if (
                    context.isTrustedPeer !== true
                    && context.recentRequests.isOtherRequest(responseId, exchange.requestId)
                ) {
                    abortAttempt(
                        attemptOutcome.reset,
                        createProblem("target_reset", "the target answered another request"),
                    );
                    return;
                }
                lastByteAt = clock.now();
                head = parseResponseHead(status, received, lastByteAt - startedAt, context.isTrustedPeer === true);
                if (context.isTrustedPeer !== true && status < 500) {
                    context.latency.record(service, head.headersMs);
                }
                const length = Number(received["content-length"] ?? Number.NaN);
                buffering = head.refused || length <= options.bufferedResponseBytes || request.method === "HEAD"
                    || (status >= 500 && context.mayRetry());
                if (!buffering) {
                    startStreaming();
                }
                scheduleTimer(lastByteAt + stallTimeoutMs());
            },
            onResponseData(_, chunk) {
                if (settled) {
                    return;
                }
                lastByteAt = clock.now();
                size += chunk.length;
                if (buffering) {
                    chunks.push(chunk);
                    if (size <= options.bufferedResponseBytes) {
                        return;
                    }
                    if (head!.refused) {
                        // The rest of a rejection is not needed; closing the connection is cheaper than reading it.
                        const response = { ...bufferedResponse(), body: Buffer.alloc(0) };
                        settle(attemptOutcome.shed, { kind: "refused", response });
                        controller?.abort(new Error("the body of the rejection is too large"));
                        return;
                    }
                    startStreaming();
                    chunks.forEach(write);
                }
                else {
                    write(chunk);
                    if (copying) {
                        chunks.push(chunk);
                    }
                }
                copying &&= size <= context.maxCopyBytes;
                if (!copying) {
                    chunks = [];
                }
            },
            onResponseEnd() {
                if (settled || head === undefined) {
                    return;
                }
                if (head.refused) {
                    settle(attemptOutcome.shed, { kind: "refused", response: bufferedResponse() });
                    return;
                }
                const outcome = head.status >= 500 ? attemptOutcome.failed : attemptOutcome.completed;
                if (buffering) {
                    settle(outcome, { kind: "buffered", response: bufferedResponse() });
                    return;
                }
                outgoing.end();
                settle(outcome, { kind: "streamed", copy: copying ? bufferedResponse() : undefined });
            },
            onResponseError(_, error) {
                if (settled) {
                    return;
                }
                if (body.failure !== undefined) {
                    abortAttempt(attemptOutcome.cancelled, body.failure);
                }
                else if (controller === undefined) {
                    const malformed = (error as NodeJS.ErrnoException).code === "UND_ERR_INVALID_ARG";
                    abortAttempt(
                        malformed ? attemptOutcome.cancelled : attemptOutcome.connectFailed,
                        malformed
                            ? notRun("request_malformed", "the request has a header that cannot be forwarded")
                            : notRun("target_unreachable", "no connection to a target could be made"),
                    );
                }
                else if (head === undefined) {
                    abortAttempt(attemptOutcome.reset, unknownOutcome("target_reset", "the target's connection broke"));
                }
                else {
                    abortAttempt(
                        attemptOutcome.truncated,
                        unknownOutcome("response_incomplete", "the response is incomplete"),
                    );
                }
            },
        };

        if (!context.continuesAfterDisconnect || body.stream !== undefined) {
            exchange.onCallerDisconnect = () =>
                abortAttempt(attemptOutcome.cancelled, createProblem("cancelled", "the caller went away"));
        }
        else {
            // If nothing has been sent, the attempt ends, so that the caller can retry with the same idempotency key.
            exchange.onCallerDisconnect = () => {
                if (controller === undefined) {
                    abortAttempt(attemptOutcome.cancelled, notRun("cancelled", "the caller went away"));
                }
            };
        }
        if (exchange.callerDisconnected) {
            exchange.onCallerDisconnect();
            if (settled) {
                return;
            }
        }
        body.onFailure = () => abortAttempt(attemptOutcome.cancelled, body.failure!);
        scheduleTimer(dispatchedAt + stallTimeoutMs());
        context.recentRequests.add(exchange.requestId);
        const headers = requestHeaders(request, {
            requestId: exchange.requestId,
            remainingMs: exchange.deadlineAt - dispatchedAt,
            bodyLength: body.bytes?.length ?? (body.stream === undefined ? undefined : request.contentLength),
        });
        if (context.headers !== undefined) {
            headers.push(...context.headers);
        }
        try {
            attempt.dispatcher.dispatch({
                path: context.path ?? request.url,
                method: request.method as Dispatcher.HttpMethod,
                origin: attempt.target.origin,
                headers,
                body: (body.bytes ?? body.stream ?? null) as Dispatcher.DispatchOptions["body"],
                headersTimeout: 0,
                bodyTimeout: 0,
            }, handler);
        }
        catch {
            abortAttempt(
                attemptOutcome.cancelled,
                createProblem("target_unreachable", "the request could not be dispatched"),
            );
        }
    });
}
