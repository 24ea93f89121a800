import { setTimeout as delay } from "node:timers/promises";

/** Source of monotonic time. Wall-clock jumps do not affect it. */
export interface Clock {
    /** Milliseconds since an arbitrary origin; never decreases. */
    now(): number;
    /** Resolves after `ms` milliseconds, or at once when `signal` aborts. */
    sleep(ms: number, signal?: AbortSignal): Promise<void>;
}

/** Creates the clock of a running process. */
export function createMonotonicClock(): Clock {
    return {
        now: () => performance.now(),
        async sleep(ms, signal) {
            try {
                await delay(ms, undefined, { signal });
            }
            catch {
                // An aborted sleep ends early; the caller checks its own signal.
            }
        },
    };
}
