import { setTimeout as delay } from "node:timers/promises";

/** Time in milliseconds between two checks. */
const pollMs = 5;

/** Polls until a condition holds; bounded only by the time limit of the test. */
export async function waitUntil(condition: () => boolean): Promise<void> {
    while (!condition()) {
        await delay(pollMs);
    }
}
