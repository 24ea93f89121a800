import type { Clock } from "@trefoilladder/clock";

/** A call to the store in progress. */
export interface StoreCall {
    readonly signal: AbortSignal;
    abort(): void;
    /** Records that a part of the response has arrived. */
    received(bytes: number): void;
    /** Returns the time in milliseconds since the last part arrived; Infinity before the first part. */
    idleMs(): number;
    /** Returns the fields that describe the call in logs. */
    describe(): { callMs: number; receivedBytes: number; };
}

/** Starts to track a call. */
export function createStoreCall(clock: Clock): StoreCall {
    const controller = new AbortController();
    const startedAt = clock.now();
    let lastReceivedAt = -Infinity;
    let receivedBytes = 0;

    return {
        signal: controller.signal,
        abort: () => controller.abort(),
        received(bytes) {
            receivedBytes += bytes;
            lastReceivedAt = clock.now();
        },
        idleMs: () => clock.now() - lastReceivedAt,
        describe: () => ({ callMs: Math.round(clock.now() - startedAt), receivedBytes }),
    };
}
