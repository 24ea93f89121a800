import type { Clock } from "./monotonic-clock";

interface Sleeper {
    wakeAt: number;
    wake: () => void;
}

/** Clock whose time moves only when a test advances it. */
export interface VirtualClock extends Clock {
    /** Moves time forward by `ms` and wakes the sleepers that fall due, in order. */
    advance(ms: number): Promise<void>;
}

/** Creates a virtual clock that starts at `start` milliseconds. */
export function createVirtualClock(start = 0): VirtualClock {
    let time = start;
    const sleepers = new Set<Sleeper>();

    function nextDue(limit: number): Sleeper | undefined {
        let next: Sleeper | undefined;
        for (const sleeper of sleepers) {
            if (sleeper.wakeAt <= limit && (next === undefined || sleeper.wakeAt < next.wakeAt)) {
                next = sleeper;
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
                    sleepers.delete(sleeper);
                    resolve();
                };
                const sleeper: Sleeper = { wakeAt: time + ms, wake };
                sleepers.add(sleeper);
                signal?.addEventListener("abort", wake);
            });
        },
        async advance(ms) {
            const end = time + ms;
            for (let due = nextDue(end); due !== undefined; due = nextDue(end)) {
                time = Math.max(time, due.wakeAt);
                due.wake();
                // Lets the woken task run up to its next wait before time moves on.
                await new Promise(resolve => setImmediate(resolve));
            }
            time = end;
            await new Promise(resolve => setImmediate(resolve));
        },
    };
}
