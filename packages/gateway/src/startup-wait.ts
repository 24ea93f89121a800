/**
 * Wait of requests that arrive before a process that has just started can serve.
 *
 * Load pattern: all instances restart at once while callers go on. Each instance has its configuration and targets within about a
 * second. A request that is refused meanwhile meets the next instance that has just started, or does not come back at all.
 */

/** State of a process that has just started. */
export interface StartupState {
    /** Time in milliseconds since the start of the process. */
    ageMs: number;
    /** Time in milliseconds until the request's deadline. */
    remainingMs: number;
    /** Number of requests that wait already. */
    waiting: number;
}

/** Lets requests wait during the start. */
export interface StartupWait {
    /**
     * Returns a promise that resolves once this instance can serve, or when waiting any longer is of no use to the request;
     * undefined when the request need not wait.
     */
    until(remainingMs: number): Promise<void> | undefined;
}

/** Age in milliseconds after which the store is taken for unavailable, so that requests are refused at once. */
const maxStartupMs = 2_500;
/** Share of a request's remaining time that it may wait; the rest is needed to serve it. */
const waitShare = 0.5;
/** Maximum number of requests that wait. */
const maxWaiting = 256;
/** Interval in milliseconds at which waiting requests look whether this instance can serve. */
const checkIntervalMs = 20;

/** Returns for how many milliseconds a request may wait until this instance can serve; 0 when it is refused at once. */
export function startupWaitMs({ ageMs, remainingMs, waiting }: StartupState): number {
    const allowedMs = Math.min(maxStartupMs - ageMs, remainingMs * waitShare);
    return waiting < maxWaiting ? Math.max(0, allowedMs) : 0;
}

/** Creates the wait of a process that starts now. */
export function createStartupWait(parts: {
    now(): number;
    canServe(): boolean;
    sleep(ms: number): Promise<void>;
    count(event: string): void;
}): StartupWait {
    const startedAt = parts.now();
    let waiting = 0;

    async function wait(endAt: number): Promise<void> {
        parts.count("requests_waited_for_start");
        waiting += 1;
        while (!parts.canServe() && parts.now() < endAt) {
            await parts.sleep(Math.min(checkIntervalMs, endAt - parts.now()));
        }
        waiting -= 1;
    }

    return {
        until(remainingMs) {
            if (parts.canServe()) {
                return undefined;
            }
            const waitMs = startupWaitMs({ ageMs: parts.now() - startedAt, remainingMs, waiting });
            return waitMs > 0 ? wait(parts.now() + waitMs) : undefined;
        },
    };
}
