import type { Clock } from "@trefoilladder/clock";
import type { Readable } from "node:stream";
import type { Dispatcher } from "undici";

/** Progress of an attempt as observed on its connection. */
export interface AttemptProgress {
    /** Monotonic time at which the request was sent completely; undefined before that. */
    awaitingHeadersSince: number | undefined;
    /** Time from the complete request to the response headers in milliseconds. */
    headersMs: number | undefined;
    /** Monotonic time of the last byte of the response, or of the end of the caller's backpressure. */
    lastByteAt: number | undefined;
    /** Whether backpressure from the caller pauses the response. */
    paused(): boolean;
}

function isUnfinishedStream(body: unknown): body is Readable {
    return typeof body === "object" && body !== null && "readableEnded" in body && body.readableEnded === false;
}

/**
 * Returns a dispatcher that records the progress of the one request sent through it. Time spent waiting for a caller
 * that sends the request body or reads the response slowly does not count as the target's.
 */
export function trackProgress(
    dispatcher: Dispatcher,
    clock: Clock,
): { dispatcher: Dispatcher; progress: AttemptProgress; } {
    let controller: Dispatcher.DispatchController | undefined;
    const progress: AttemptProgress = {
        awaitingHeadersSince: undefined,
        headersMs: undefined,
        lastByteAt: undefined,
        paused: () => controller?.paused ?? false,
    };
    const trackedDispatcher = dispatcher.compose(dispatch => (options, handler) => {
        if (isUnfinishedStream(options.body)) {
            options.body.once("end", () => progress.awaitingHeadersSince ??= clock.now());
        }
        else {
            progress.awaitingHeadersSince = clock.now();
        }
        return dispatch(options, {
            onRequestStart(requestController, context) {
                controller = requestController;
                handler.onRequestStart?.(requestController, context);
            },
            onRequestUpgrade: handler.onRequestUpgrade?.bind(handler),
            onResponseStart(...args) {
                if (args[1] >= 200) {
                    const now = clock.now();
                    progress.headersMs = progress.awaitingHeadersSince === undefined
                        ? 0
                        : now - progress.awaitingHeadersSince;
                    progress.lastByteAt = now;
                }
                handler.onResponseStart?.(...args);
            },
            onResponseData(...args) {
                progress.lastByteAt = clock.now();
                handler.onResponseData?.(...args);
            },
            onResponseEnd(...args) {
                handler.onResponseEnd?.(...args);
            },
            onResponseError(...args) {
                handler.onResponseError?.(...args);
            },
        });
    });
    return { dispatcher: trackedDispatcher, progress };
}

/** Returns the time since which an attempt has waited for bytes from the target; undefined when it does not wait. */
export function waitingSince(progress: AttemptProgress, now: number): number | undefined {
    if (progress.lastByteAt === undefined) {
        return progress.awaitingHeadersSince;
    }
    if (progress.paused()) {
        progress.lastByteAt = now;
        return undefined;
    }
    return progress.lastByteAt;
}
