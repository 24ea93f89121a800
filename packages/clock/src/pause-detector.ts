import type { Clock } from "./monotonic-clock";

/** Options of the pause detector. */
export interface PauseDetectorOptions {
    /**
     * Shortest pause of the event loop that is reported, in milliseconds.
     * @default 500
     */
    thresholdMs?: number;
    /**
     * Time between two checks, in milliseconds.
     * @default 100
     */
    intervalMs?: number;
    /** Called with the length of each pause in milliseconds. */
    onPause?: (pausedMs: number) => void;
}

/** Detects pauses during which the event loop of the process did not run. */
export interface PauseDetector {
    /** Number of pauses detected so far. */
    count(): number;
    /** Monotonic time in milliseconds at which the last pause was detected. */
    lastPauseAt(): number | undefined;
    /** Checks until the signal aborts. */
    run(signal: AbortSignal): Promise<void>;
}

/** Creates a detector that compares the actual duration of a sleep with the requested one. */
export function createPauseDetector(parts: { clock: Clock; }, options: PauseDetectorOptions = {}): PauseDetector {
    const { clock } = parts;
    const { thresholdMs = 500, intervalMs = 100, onPause } = options;
    let pauses = 0;
    let lastPauseAt: number | undefined;

    return {
        count: () => pauses,
        lastPauseAt: () => lastPauseAt,
        async run(signal) {
            while (!signal.aborted) {
                const before = clock.now();
                await clock.sleep(intervalMs, signal);
                const pausedMs = clock.now() - before - intervalMs;
                if (pausedMs > thresholdMs) {
                    pauses += 1;
                    lastPauseAt = clock.now();
                    onPause?.(pausedMs);
                }
            }
        },
    };
}
