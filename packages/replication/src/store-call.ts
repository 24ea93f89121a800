import type { Clock } from "@trefoilladder/clock";

/** A call to the store that is under way. */
export interface StoreCall {
    readonly signal: AbortSignal;
    abort(): void;
    /** Notes that a part of the answer has arrived. */
    received(bytes: number): void;
    /** Returns the time in milliseconds since the last part arrived; infinite before the first one. */
    silentMs(): number;
    /** Returns what is known of the call, for logs. */
    describe(): { callMs: number; receivedBytes: number; };
}

/** Starts to follow a call. */
export function createStoreCall(clock: Clock): StoreCall {
    const controller = new AbortController();
    const startedAt = clock.now();
    let receivedAt = -Infinity;
    let receivedBytes = 0;

    return {
        signal: controller.signal,
        abort: () => controller.abort(),
        received(bytes) {
            receivedBytes += bytes;
            receivedAt = clock.now();
        },
        silentMs: () => clock.now() - receivedAt,
        describe: () => ({ callMs: Math.round(clock.now() - startedAt), receivedBytes }),
    };
}
