import type { DecisionLog } from "@trefoilladder/telemetry";

/** Creates a log that writes nothing and collects the names of its events. */
export function silentLog(events: string[] = []): DecisionLog {
    return {
        request: (_, event) => void events.push(event),
        success: () => void events.push("answered"),
        stateChange: event => void events.push(event),
        lifecycle: event => void events.push(event),
        fault: event => void events.push(event),
        count: () => undefined,
        setLevel: () => undefined,
        flush: () => Promise.resolve(),
        counters: () => new Map(),
    };
}
