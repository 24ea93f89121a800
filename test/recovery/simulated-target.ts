import { outcome, shedOutcome } from "@trefoilladder/placement";
import type { LoadReport, Outcome } from "@trefoilladder/placement";

/** A target with slots and a queue. */
export interface SimulatedTarget {
    /** Requests that arrived since the last call of `resetArrivals`. */
    readonly arrivals: number;
    /** Time in milliseconds of the first arrival; Infinity before it. */
    readonly firstArrivalAt: number;
    load(): LoadReport;
    /** Runs a request, or queues or sheds it; `responded` is called once with the outcome. */
    run(serviceMs: number, responded: (kind: Outcome) => void): void;
    resetArrivals(): void;
}

/** Creates an idle target. */
export function createSimulatedTarget(options: {
    slots: number;
    queueCapacity: number;
    now(): number;
    schedule(delayMs: number, event: () => void): void;
    /** Returns whether the target fails a request that arrives now. */
    fails(): boolean;
}): SimulatedTarget {
    const { slots, queueCapacity, now, schedule } = options;
    const queue: (() => void)[] = [];
    let running = 0;
    let arrivals = 0;
    let firstArrivalAt = Infinity;
    const load = () => ({ running, waiting: queue.length, slots });
    return {
        get arrivals() {
            return arrivals;
        },
        get firstArrivalAt() {
            return firstArrivalAt;
        },
        load,
        resetArrivals: () => arrivals = 0,
        run(serviceMs, responded) {
            arrivals += 1;
            firstArrivalAt = Math.min(firstArrivalAt, now());
            if (options.fails()) {
                responded(outcome.failure);
                return;
            }
            if (running >= slots && queue.length >= queueCapacity) {
                responded(shedOutcome(load()));
                return;
            }
            const start = () => {
                running += 1;
                schedule(serviceMs, () => {
                    running -= 1;
                    queue.shift()?.();
                    responded(outcome.success);
                });
            };
            if (running < slots) {
                start();
            }
            else {
                queue.push(start);
            }
        },
    };
}
