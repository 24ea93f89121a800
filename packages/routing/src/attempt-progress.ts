import type { Clock } from "@trefoilladder/clock";
import type { Readable } from "node:stream";
import type { Dispatcher } from "undici";

/** Progress of an attempt as its connection shows it. */
export interface AttemptProgress {
    /** Monotonic time since which the target owes headers; undefined before the request was sent in full. */
    awaitingSince: number | undefined;
    /** Time from the whole request to the response headers in milliseconds. */
    headersMs: number | undefined;
    /** Monotonic time of the last byte of the response, or of the end of the caller's backpressure. */
    lastByteAt: number | undefined;
    /** Whether the caller's side holds the response back. */
    paused(): boolean;
}

function isUnfinishedStream(body: unknown): body is Readable {
    return typeof body === "object" && body !== null && "readableEnded" in body && body.readableEnded === false;
}

/**
 * Returns a dispatcher that records the progress of the one request sent through it. Waiting for the caller, who sends
 * the request body or reads the response slowly, is not held against the target.
 */
export function observeProgress(
    dispatcher: Dispatcher,
    clock: Clock,
): { dispatcher: Dispatcher; progress: AttemptProgress; } {
    let controller: Dispatcher.DispatchController | undefined;
    const progress: AttemptProgress = {
        awaitingSince: undefined,
        headersMs: undefined,
        lastByteAt: undefined,
        paused: () => controller?.paused ?? false,
    };
    const observed = dispatcher.compose(dispatch => (options, handler) => {
        if (isUnfinishedStream(options.body)) {
            options.body.once("end", () => progress.awaitingSince ??= clock.now());
        }
        else {
            progress.awaitingSince = clock.now();
        }
        return dispatch(options, {
            onRequestStart(started, context) {
                controller = started;
                handler.onRequestStart?.(started, context);
            },
            onRequestUpgrade: handler.onRequestUpgrade?.bind(handler),
            onResponseStart(...args) {
                if (args[1] >= 200) {
                    const now = clock.now();
                    progress.headersMs = progress.awaitingSince === undefined ? 0 : now - progress.awaitingSince;
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
    return { dispatcher: observed, progress };
}

/** Tells since when an attempt has waited for bytes from the target; undefined when it does not wait for the target. */
export function waitingSince(progress: AttemptProgress, now: number): number | undefined {
    if (progress.lastByteAt === undefined) {
        return progress.awaitingSince;
    }
    if (progress.paused()) {
        progress.lastByteAt = now;
        return undefined;
    }
    return progress.lastByteAt;
}
