/** Pending calls that wait for a change. */
export interface Waiters {
    /** Waits for a change, at most `waitMs` milliseconds or until the signal aborts. */
    wait(waitMs: number, signal?: AbortSignal): Promise<void>;
    wakeAll(): void;
}

/** Creates an empty set of waiters. */
export function createWaiters(): Waiters {
    const waiting = new Set<() => void>();
    return {
        wait(waitMs, signal) {
            return new Promise(resolve => {
                const wake = () => {
                    clearTimeout(timer);
                    waiting.delete(wake);
                    resolve();
                };
                const timer = setTimeout(wake, waitMs);
                waiting.add(wake);
                signal?.addEventListener("abort", wake, { once: true });
            });
        },
        wakeAll: () => waiting.forEach(wake => wake()),
    };
}
