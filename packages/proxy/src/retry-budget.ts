import type { Clock } from "@trefoilladder/clock";

/** Bounds retries to a share of recent requests, so that a failing service does not see a multiple of its load. */
export interface RetryBudget {
    countRequest(): void;
    /** Tells whether a retry is within the budget. */
    allows(): boolean;
    /** Takes one retry from the budget; returns false when it is used up. */
    take(): boolean;
}

const slotMs = 1_000;
const slotCount = 10;

/** Creates a budget over the last 10 s. */
export function createRetryBudget(clock: Clock, limits: { retryRatio: number; minRetries: number; }): RetryBudget {
    const requests = new Array<number>(slotCount).fill(0);
    const retries = new Array<number>(slotCount).fill(0);
    let slot = Math.floor(clock.now() / slotMs);

    function advance(): number {
        const current = Math.floor(clock.now() / slotMs);
        for (let next = Math.max(slot + 1, current - slotCount + 1); next <= current; next++) {
            requests[next % slotCount] = 0;
            retries[next % slotCount] = 0;
        }
        slot = Math.max(slot, current);
        return slot % slotCount;
    }

    function sum(counts: number[]): number {
        return counts.reduce((total, count) => total + count, 0);
    }

    function allows(): boolean {
        advance();
        return sum(retries) < Math.max(limits.minRetries, sum(requests) * limits.retryRatio);
    }

    return {
        countRequest() {
            requests[advance()]! += 1;
        },
        allows,
        take() {
            if (!allows()) {
                return false;
            }
            retries[advance()]! += 1;
            return true;
        },
    };
}
