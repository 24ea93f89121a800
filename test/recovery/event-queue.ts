/** Events of a simulation by their time. */
export interface EventQueue {
    readonly now: number;
    schedule(delayMs: number, event: () => void): void;
    /** Advances by one step and runs the events that are due. */
    step(): void;
}

/** Time step in milliseconds; events run at multiples of it. */
export const stepMs = 5;

/** Creates an empty queue at time 0. */
export function createEventQueue(): EventQueue {
    const events = new Map<number, (() => void)[]>();
    let now = 0;
    return {
        get now() {
            return now;
        },
        schedule(delayMs, event) {
            const at = Math.max(now + stepMs, Math.ceil((now + delayMs) / stepMs) * stepMs);
            const due = events.get(at) ?? [];
            due.push(event);
            events.set(at, due);
        },
        step() {
            now += stepMs;
            const due = events.get(now);
            events.delete(now);
            due?.forEach(event => event());
        },
    };
}
