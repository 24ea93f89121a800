import type { Clock } from "./monotonic-clock";

interface PendingSleep {
    dueAt: number;
    wake: () => void;
}

/** Clock for tests; its time changes only on `advance`. */
export interface VirtualClock extends Clock {
    /** Advances time by `ms` and resolves the sleeps that fall due, in order. */
    advance(ms: number): Promise<void>;
}

/** Creates a virtual clock that starts at `start` milliseconds. */
export function createVirtualClock(start = 0): VirtualClock {
    let time = start;
    const pendingSleeps = new Set<PendingSleep>();

    function nextDue(limit: number): PendingSleep | undefined {
        let next: PendingSleep | undefined;
        for (const pending of pendingSleeps) {
            if (pending.dueAt <= limit && (next === undefined || pending.dueAt < next.dueAt)) {
                next = pending;
            }
        }
        return next;
    }

    return {
        now: () => time,
        sleep(ms, signal) {
            if (signal?.aborted === true) {
                return Promise.resolve();
            }
            return new Promise(resolve => {
                const wake = () => {
                    signal?.removeEventListener("abort", wake);
                    pendingSleeps.delete(pending);
                    resolve();
                };
                const pending: PendingSleep = { dueAt: time + ms, wake };
                pendingSleeps.add(pending);
                signal?.addEventListener("abort", wake);
            });
        },
        async advance(ms) {
            const end = time + ms;
            for (let due = nextDue(end); due !== undefined; due = nextDue(end)) {
                time = Math.max(time, due.dueAt);
                due.wake();
                // Lets the resumed task run up to its next await before time advances further.
                await new Promise(resolve => setImmediate(resolve));
            }
            time = end;
            await new Promise(resolve => setImmediate(resolve));
        },
    };
}
