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

/** What the attempts of a request have in common. */
export interface ForwardingContext {
    exchange: Exchange;
    request: CallerRequest;
    body: RequestBody;
    clock: Clock;
    options: ResolvedProxyOptions;
    latency: LatencyEstimate;
    recent: RecentRequests;
    /** Checked right before the first byte is sent. */
    recheck(): Result<void, Problem>;
    /** Tells whether another target may be tried after a failed response. */
    mayRetry(): boolean;
    /**
     * Waits for a slot on another target to move to. Resolves to false when there is none, or when it is not wanted any
     * more.
     */
    reserveNext(wanted: () => boolean): Promise<boolean>;
    /** Size up to which a copy of a streamed response is kept; 0 keeps none. */
    copyBytes: number;
    /** Whether the attempt goes on after the caller has gone. */
    outlivesCaller: boolean;
    /** Path to send; the caller's own by default. */
    path?: string;
    /** Headers in addition to the caller's, names and values in turn. */
    headers?: string[];
    /** Whether the peer is an instance whose request-outcome is passed on. */
    trusted?: boolean;
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

function retryAfterMs(received: IncomingHttpHeaders): number | undefined {
    const seconds = Number(received["retry-after"] ?? Number.NaN);
    return Number.isFinite(seconds) && seconds >= 0 ? seconds * 1000 : undefined;
}

const outcomes = new Set<unknown>(Object.values(requestOutcome));

function readHead(status: number, received: IncomingHttpHeaders, headersMs: number, trusted: boolean): ResponseHead {
    const refused = !trusted && status === 503 && received[targetHeader.notRun] === "true";
    const told = received[callerHeader.outcome];
    const untrusted = refused ? requestOutcome.notRun : requestOutcome.ran;
    return {
        status,
        headers: responseHeaders(received),
        outcome: !trusted ? untrusted : outcomes.has(told) ? told as RequestOutcome : requestOutcome.unknown,
        refused,
        draining: received[targetHeader.state] === "draining",
        retryAfterMs: retryAfterMs(received),
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
        let holding = false;
        let copying = context.copyBytes > 0;
        let streaming = false;
        let paused = false;
        let reserving = false;
        let chunks: Buffer[] = [];
        let size = 0;
        let lastByteAt = dispatchedAt;
        let timer: NodeJS.Timeout | undefined;
        let firesAt = 0;

        function settle(outcome: AttemptOutcome, result: AttemptResult): void {
            if (settled) {
                return;
            }
            settled = true;
            clearTimeout(timer);
            exchange.onCallerGone = undefined;
            const report: AttemptReport = { outcome };
            if (head !== undefined) {
                report.headersMs = head.headersMs;
                report.draining = head.draining;
                report.retryAfterMs = head.refused ? head.retryAfterMs : undefined;
            }
            attempt.release(report);
            resolve(result);
        }

        /** Ends the attempt early. Aborting destroys the connection, so that a late response meets no other request. */
        function giveUp(outcome: AttemptOutcome, problem: Problem): void {
            const sent = controller !== undefined;
            if (streaming) {
                resetCaller(exchange);
            }
            settle(outcome, streaming ? { kind: "interrupted" } : { kind: "failed", problem, sent });
            controller?.abort(new Error(problem.code));
        }

        function problemOf(code: Problem["code"], detail: string): Problem {
            return controller === undefined ? notRun(code, detail) : unknownOutcome(code, detail);
        }

        function responseSoFar(): TargetResponse {
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
            holding = false;
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

        /** Makes the timer fire at a time or earlier; a timer that fires too early arms itself again. */
        function arm(at: number): void {
            if (timer !== undefined && firesAt <= at) {
                return;
            }
            clearTimeout(timer);
            firesAt = at;
            timer = setTimeout(onTimer, Math.max(1, Math.ceil(Math.min(at, exchange.deadlineAt) - clock.now())));
        }

        /** Time without an expected byte after which the target, not the deadline, is at fault. */
        function stallLimit(): number {
            return head === undefined ? context.latency.stallLimit(service) : options.responseBodyStallMs;
        }

        function onTimer(): void {
            timer = undefined;
            const now = clock.now();
            const quietMs = now - (head === undefined ? startedAt : lastByteAt);
            const stalled = !paused && quietMs >= stallLimit() - 1;
            if (now >= exchange.deadlineAt) {
                const outcome = controller === undefined
                    ? attemptOutcome.connectFailed
                    : stalled
                    ? attemptOutcome.stalled
                    : attemptOutcome.cancelled;
                giveUp(outcome, problemOf("deadline_exceeded", "the deadline passed before the response was complete"));
                return;
            }
            if (stalled && head !== undefined) {
                giveUp(attemptOutcome.stalled, problemOf("response_incomplete", "the response stopped arriving"));
                return;
            }
            if (stalled && !reserving && context.mayRetry()) {
                reserving = true;
                void context.reserveNext(() => head === undefined).then(reserved => {
                    if (reserved) {
                        const outcome = controller === undefined
                            ? attemptOutcome.connectFailed
                            : attemptOutcome.stalled;
                        giveUp(outcome, problemOf("deadline_exceeded", "the target did not answer in time"));
                    }
                });
            }
            if (head === undefined) {
                arm(stalled ? exchange.deadlineAt : startedAt + stallLimit());
                return;
            }
            arm((paused ? now : lastByteAt) + stallLimit());
        }

        const handler: Dispatcher.DispatchHandler = {
            onRequestStart(started) {
                if (settled || controller !== undefined) {
                    started.abort(new Error("the attempt has ended"));
                    return;
                }
                const permitted = context.recheck();
                if (permitted.isErr()) {
                    settle(attemptOutcome.cancelled, { kind: "failed", problem: permitted.error, sent: false });
                    started.abort(new Error(permitted.error.code));
                    return;
                }
                controller = started;
                exchange.sent = true;
                startedAt = clock.now();
            },
            onResponseStart(_, status, received) {
                if (settled || status < 200) {
                    return;
                }
                const answeredId = received[callerHeader.requestId];
                if (context.trusted !== true && context.recent.isOther(answeredId, exchange.requestId)) {
                    giveUp(attemptOutcome.reset, problemOf("target_reset", "the target answered another request"));
                    return;
                }
                lastByteAt = clock.now();
                head = readHead(status, received, lastByteAt - startedAt, context.trusted === true);
                if (context.trusted !== true && status < 500) {
                    context.latency.record(service, head.headersMs);
                }
                const length = Number(received["content-length"] ?? Number.NaN);
                holding = head.refused || length <= options.heldResponseBytes || request.method === "HEAD"
                    || (status >= 500 && context.mayRetry());
                if (!holding) {
                    startStreaming();
                }
                arm(lastByteAt + stallLimit());
            },
            onResponseData(_, chunk) {
                if (settled) {
                    return;
                }
                lastByteAt = clock.now();
                size += chunk.length;
                if (holding) {
                    chunks.push(chunk);
                    if (size <= options.heldResponseBytes) {
                        return;
                    }
                    if (head!.refused) {
                        // The rest of a refusal has no use; giving the connection up is cheaper than reading it.
                        const response = { ...responseSoFar(), body: Buffer.alloc(0) };
                        settle(attemptOutcome.shed, { kind: "refused", response });
                        controller?.abort(new Error("the refusal is too large"));
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
                copying &&= size <= context.copyBytes;
                if (!copying) {
                    chunks = [];
                }
            },
            onResponseEnd() {
                if (settled || head === undefined) {
                    return;
                }
                if (head.refused) {
                    settle(attemptOutcome.shed, { kind: "refused", response: responseSoFar() });
                    return;
                }
                const outcome = head.status >= 500 ? attemptOutcome.failed : attemptOutcome.completed;
                if (holding) {
                    settle(outcome, { kind: "held", response: responseSoFar() });
                    return;
                }
                outgoing.end();
                settle(outcome, { kind: "streamed", copy: copying ? responseSoFar() : undefined });
            },
            onResponseError(_, error) {
                if (settled) {
                    return;
                }
                if (body.fault !== undefined) {
                    giveUp(attemptOutcome.cancelled, body.fault);
                }
                else if (controller === undefined) {
                    const malformed = (error as NodeJS.ErrnoException).code === "UND_ERR_INVALID_ARG";
                    giveUp(
                        malformed ? attemptOutcome.cancelled : attemptOutcome.connectFailed,
                        malformed
                            ? notRun("request_malformed", "the request has a header that cannot be forwarded")
                            : notRun("target_unreachable", "no connection to a target could be made"),
                    );
                }
                else if (head === undefined) {
                    giveUp(attemptOutcome.reset, unknownOutcome("target_reset", "the target's connection broke"));
                }
                else {
                    giveUp(
                        attemptOutcome.truncated,
                        unknownOutcome("response_incomplete", "the response is incomplete"),
                    );
                }
            },
        };

        if (!context.outlivesCaller || body.stream !== undefined) {
            exchange.onCallerGone = () =>
                giveUp(attemptOutcome.cancelled, problemOf("cancelled", "the caller went away"));
        }
        else {
            // Before anything is sent there is nothing to keep: the key stays free for the caller's retry.
            exchange.onCallerGone = () => {
                if (controller === undefined) {
                    giveUp(attemptOutcome.cancelled, notRun("cancelled", "the caller went away"));
                }
            };
        }
        if (exchange.callerGone) {
            exchange.onCallerGone();
            if (settled) {
                return;
            }
        }
        body.onFault = () => giveUp(attemptOutcome.cancelled, body.fault!);
        arm(dispatchedAt + stallLimit());
        context.recent.add(exchange.requestId);
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
            giveUp(attemptOutcome.cancelled, problemOf("target_unreachable", "the request could not be dispatched"));
        }
    });
}
