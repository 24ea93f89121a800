import { setTimeout as delay } from "node:timers/promises";

/** Monotonic clock, unaffected by jumps of the wall clock. */
export interface Clock {
    /** Milliseconds since an arbitrary origin; never decreases. */
    now(): number;
    /** Resolves after `ms` milliseconds, or at once when `signal` aborts. */
    sleep(ms: number, signal?: AbortSignal): Promise<void>;
}

/** Creates a clock that uses the monotonic time of the process. */
export function createMonotonicClock(): Clock {
    return {
        now: () => performance.now(),
        async sleep(ms, signal) {
            try {
                await delay(ms, undefined, { signal });
            }
            catch {
                // An aborted sleep resolves early; the caller checks its own signal.
            }
        },
    };
}
