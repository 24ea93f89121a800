import {
    attemptEnd,
    createLatencyProfile,
    mayRetry,
    probeReserveShare,
    retryAfterSeconds,
    retryReserveShare,
} from "@trefoilladder/placement";
import type { RetryState } from "@trefoilladder/placement";
import { createRandomSource } from "../../packages/routing/src/random-source";

function state(fields: Partial<RetryState> = {}): RetryState {
    return {
        idempotent: false,
        arrivals: 1,
        maxAttempts: 2,
        failedConnections: 0,
        remainingMs: 1_000,
        budgetLeft: true,
        bodyBuffered: true,
        ...fields,
    };
}

describe("retry decision", () => {
    test("never retries a non-idempotent request that may have run", () => {
        expect(mayRetry(attemptEnd.unknown, state())).toBe(false);
        expect(mayRetry(attemptEnd.failed, state())).toBe(false);
    });

    test("retries requests that no target has run, and idempotent requests after any failure", () => {
        expect(mayRetry(attemptEnd.notRun, state())).toBe(true);
        expect(mayRetry(attemptEnd.notArrived, state({ arrivals: 0, failedConnections: 1 }))).toBe(true);
        expect(mayRetry(attemptEnd.failed, state({ idempotent: true }))).toBe(true);
    });

    test.each([
        ["the retry budget is used up", state({ idempotent: true, budgetLeft: false })],
        ["the route allows no further target", state({ idempotent: true, arrivals: 2 })],
        ["no time is left", state({ idempotent: true, remainingMs: 10 })],
        ["the body is not buffered", state({ idempotent: true, bodyBuffered: false })],
    ])("does not retry when %s", (_, given) => {
        expect(mayRetry(attemptEnd.failed, given)).toBe(false);
    });
});

describe("late attempts", () => {
    test("are detected within bounds that depend on the latency objective", () => {
        const profile = createLatencyProfile();
        expect(profile.lateAfterMs(1_000)).toBe(750);
        for (let index = 0; index < 50; index++) {
            profile.record(100);
        }
        expect(profile.lateAfterMs(1_000)).toBe(350);
        expect(profile.meanMs()).toBeCloseTo(100);
    });
});

describe("Retry-After", () => {
    test("spreads callers over a range that grows with the share of refused requests", () => {
        const random = createRandomSource(5);
        const waits = (share: number) =>
            Array.from({ length: 500 }, () => retryAfterSeconds(share, () => random.next()));
        expect(Math.max(...waits(0))).toBeLessThan(0.25);
        const overloadedWaits = waits(1).sort((a, b) => a - b);
        expect(overloadedWaits[450]! - overloadedWaits[50]!).toBeGreaterThan(0.7);
    });
});

// Guards against a service that sheds load and uses up the budget with retries of rejected requests: failed requests were not
// retried, and no request probed the suspected targets.
test("retries of rejected requests leave a part of the budget", () => {
    expect(retryReserveShare(attemptEnd.notRun)).toBeGreaterThan(0.3);
    expect(retryReserveShare(attemptEnd.notRun)).toBeGreaterThan(probeReserveShare);
    // A process starts with half of the budget and has to retry a request that the first target rejected.
    expect(retryReserveShare(attemptEnd.notRun)).toBeLessThan(0.5);
    expect(retryReserveShare(attemptEnd.failed)).toBe(0);
    expect(retryReserveShare(attemptEnd.notArrived)).toBe(0);
});
