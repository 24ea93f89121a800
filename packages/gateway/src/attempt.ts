/**
 * One attempt at one target.
 */

import { attemptEnd, outcome, shedOutcome } from "@trefoilladder/placement";
import type { AttemptEnd, LoadReport, Outcome } from "@trefoilladder/placement";
import type { ListedTarget, TargetDirectory } from "@trefoilladder/replication";
import type { DecisionLog } from "@trefoilladder/telemetry";
import { exchangeFailureCode } from "@trefoilladder/upstream";
import type { ConnectionPool, Exchange, OutgoingRequest, ResponseHead } from "@trefoilladder/upstream";
import { createBodyBuffer } from "./body-buffer";
import { createBodyStream } from "./body-stream";
import type { BodySink, BodyStream } from "./body-stream";
import type { HeaderNames } from "./header-names";
import { readLoad, readResponseKind, responseKind } from "./response-check";
import type { ResponseKind } from "./response-check";
import { readNotice } from "./target-notice";
import type { TargetTracker } from "./target-tracker";

/** How an attempt ended, or that its response has started to stream. */
export type AttemptResult =
    | { kind: "complete"; head: ResponseHead; body: Buffer; }
    | { kind: "streaming"; head: ResponseHead; attach(sink: BodySink): void; }
    | { kind: "ended"; end: AttemptEnd; why: string; response?: { head: ResponseHead; body: Buffer; }; };

/** A running attempt. */
export interface Attempt {
    target: ListedTarget;
    /** Monotonic time in milliseconds at which the request was sent; undefined until then. */
    readonly sentAt: number | undefined;
    /** Whether a response has begun. */
    readonly hasHead: boolean;
    /** Ends the attempt without a result. */
    cancel(): void;
    pause(): void;
    resume(): void;
    /** Records that the attempt is late or timed out, unless a response has begun. */
    markUnanswered(observed: Outcome): void;
}

/** Dependencies of an attempt. */
export interface AttemptParts {
    pool: ConnectionPool;
    targetTracker: TargetTracker;
    directory: Pick<TargetDirectory, "isServing" | "markLeaving" | "markThrottling">;
    log: DecisionLog;
    headerNames: HeaderNames;
    now(): number;
}

/** Options of one attempt. */
export interface AttemptOptions {
    target: ListedTarget;
    request: Omit<OutgoingRequest, "canBeSent">;
    /** Longest idle time of a pooled connection that may carry the request, in milliseconds. */
    maxIdleMs: number;
    /** Typical processing time of such a request at a target, in milliseconds; undefined while unknown. */
    typicalMs: number | undefined;
    /** Expected service time of the request in milliseconds; undefined while unknown or unused. */
    workMs: number | undefined;
    /** Called with the service time of a request at a target where no request waited. */
    served(serviceMs: number): void;
    /** Bytes of a response that are buffered before it is streamed. */
    maxBufferedBytes: number;
    sent(): void;
    /** Called for a response to an earlier request that the connection skipped. */
    skipped(id: string): void;
    /** Called once, unless the attempt is cancelled. */
    done(result: AttemptResult): void;
}

interface KindResult {
    outcome: Outcome | undefined;
    end: AttemptEnd;
}

const failedKinds: Record<Exclude<ResponseKind, "usable">, KindResult> = {
    not_run: { outcome: outcome.shed, end: attemptEnd.notRun },
    other_target: { outcome: undefined, end: attemptEnd.notRun },
    failed: { outcome: outcome.failure, end: attemptEnd.failed },
    unusable: { outcome: outcome.failure, end: attemptEnd.unknown },
};

/** Share of the typical time after which an error is attributed to the request: a failing target responds at once. */
const processedShare = 0.12;

/**
 * Time in milliseconds after a request within which a target that has dropped the idle connection resets it. Later resets are lost
 * responses or targets that crash.
 */
const maxIdleResetMs = 40;

/** Starts an attempt. */
export function startAttempt(parts: AttemptParts, options: AttemptOptions): Attempt {
    const { targetTracker, headerNames, now } = parts;
    const { target } = options;
    let sentAt: number | undefined;
    let head: ResponseHead | undefined;
    let kind: ResponseKind | undefined;
    let load: LoadReport | undefined;
    let body = createBodyBuffer();
    let stream: BodyStream | undefined;
    let settled = false;

    function settle(observed: Outcome | undefined): void {
        settled = true;
        targetTracker.end(target.id);
        if (observed !== undefined) {
            targetTracker.observe(target.id, observed);
        }
    }

    /** Returns whether the target took long enough to have processed the request. */
    function hasProcessed(): boolean {
        return options.typicalMs !== undefined && now() - (sentAt ?? now()) >= processedShare * options.typicalMs;
    }

    /** Applies what a target reports about itself in any response, including one that is not relayed. */
    function applyNotice(received: ResponseHead): void {
        const { leaving, retryAfterMs, invalidRetryAfter } = readNotice(received, headerNames);
        if (leaving) {
            parts.directory.markLeaving(target);
        }
        if (retryAfterMs !== undefined) {
            parts.directory.markThrottling(target, retryAfterMs);
        }
        if (invalidRetryAfter !== undefined) {
            parts.log.stateChange("turned_away_time_unreadable", { target: target.id, value: invalidRetryAfter });
        }
    }

    /** Returns what a response that is not relayed shows about the target; undefined when it shows nothing. */
    function outcomeOf(failedKind: Exclude<ResponseKind, "usable">): Outcome | undefined {
        if (failedKind === responseKind.notRun) {
            return shedOutcome(load);
        }
        const isRequestFailure = failedKind === responseKind.failed && hasProcessed();
        return isRequestFailure ? outcome.requestFailure : failedKinds[failedKind].outcome;
    }

    function complete(response: ResponseHead): void {
        const received = body.bytes();
        if (kind === responseKind.usable) {
            settle(outcome.success);
            options.done({ kind: "complete", head: response, body: received });
            return;
        }
        const kindResult = failedKinds[kind!];
        settle(outcomeOf(kind!));
        if (kind === responseKind.otherTarget) {
            targetTracker.markReplaced(target);
        }
        options.done({
            kind: "ended",
            end: kindResult.end,
            why: `status_${response.status}`,
            response: kindResult.end === attemptEnd.failed ? { head: response, body: received } : undefined,
        });
    }

    function beginStreaming(response: ResponseHead): void {
        const started = createBodyStream([body.bytes()]);
        stream = started;
        body = createBodyBuffer();
        options.done({ kind: "streaming", head: response, attach: started.attach });
    }

    /** Ends an attempt whose response is not relayed and exceeds the buffer; its head is not trusted. */
    function abort(): void {
        settle(outcome.failure);
        body = createBodyBuffer();
        exchange.cancel();
        options.done({ kind: "ended", end: attemptEnd.unknown, why: "answer_too_long" });
    }

    targetTracker.begin(target.id, options.workMs);
    const request: OutgoingRequest = { ...options.request, canBeSent: () => parts.directory.isServing(target) };
    const exchange: Exchange = parts.pool.exchange(target, options.maxIdleMs, request, {
        sent() {
            sentAt = now();
            options.sent();
        },
        skipped(id, received) {
            applyNotice(received);
            options.skipped(id);
        },
        head(received) {
            head = received;
            applyNotice(received);
            kind = readResponseKind(received, headerNames, exchange.usesNewConnection);
            load = readLoad(received, headerNames);
            if (load !== undefined) {
                targetTracker.reportLoad(target.id, load);
                if (
                    kind === responseKind.usable && received.status < 300 && load.waiting === 0 && sentAt !== undefined
                ) {
                    options.served(now() - sentAt);
                }
            }
        },
        data(chunk) {
            if (stream !== undefined) {
                stream.data(chunk);
                return;
            }
            body.add(chunk);
            if (body.size <= options.maxBufferedBytes || settled || head === undefined) {
                return;
            }
            if (kind === responseKind.usable) {
                beginStreaming(head);
                return;
            }
            abort();
        },
        end() {
            if (settled || head === undefined) {
                return;
            }
            if (stream !== undefined) {
                settle(outcome.success);
                stream.end();
                return;
            }
            complete(head);
        },
        fail(failure) {
            if (settled) {
                return;
            }
            const arrived = sentAt !== undefined;
            // A reset of a pooled connection may be the target's idle timeout, which says nothing about its health.
            const isIdleRace = arrived && !exchange.usesNewConnection && head === undefined;
            const isIdleReset = isIdleRace && now() - sentAt! <= maxIdleResetMs;
            if (isIdleReset && failure.code === exchangeFailureCode.broken) {
                targetTracker.observeIdleReset(target.id);
            }
            const isWithdrawn = failure.code === exchangeFailureCode.withdrawn;
            settle(isWithdrawn || isIdleRace ? undefined : arrived ? outcome.failure : outcome.unreachable);
            if (stream !== undefined) {
                stream.fail();
                return;
            }
            const end = arrived ? attemptEnd.unknown : attemptEnd.notArrived;
            options.done({ kind: "ended", end, why: failure.code });
        },
    });

    return {
        target,
        get sentAt() {
            return sentAt;
        },
        get hasHead() {
            return head !== undefined;
        },
        cancel() {
            if (!settled) {
                settle(undefined);
                exchange.cancel();
            }
        },
        pause: () => exchange.pause(),
        resume: () => exchange.resume(),
        markUnanswered(observed) {
            if (!settled && head === undefined) {
                targetTracker.observe(target.id, observed);
            }
        },
    };
}
