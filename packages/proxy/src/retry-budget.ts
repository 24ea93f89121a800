import type { Clock } from "@trefoilladder/clock";

/** Limits retries to a share of recent requests, so that retries do not multiply the load on a failing service. */
export interface RetryBudget {
    countRequest(): void;
    /** Returns whether the budget allows another retry. */
    allows(): boolean;
    /** Consumes one retry; returns false if the budget is exhausted. */
    take(): boolean;
}

const bucketMs = 1_000;
const bucketCount = 10;

/** Creates a retry budget over a sliding window of 10 s. */
export function createRetryBudget(clock: Clock, limits: { retryRatio: number; minRetries: number; }): RetryBudget {
    const requests = new Array<number>(bucketCount).fill(0);
    const retries = new Array<number>(bucketCount).fill(0);
    let bucket = Math.floor(clock.now() / bucketMs);

    function advance(): number {
        const current = Math.floor(clock.now() / bucketMs);
        for (let next = Math.max(bucket + 1, current - bucketCount + 1); next <= current; next++) {
            requests[next % bucketCount] = 0;
            retries[next % bucketCount] = 0;
        }
        bucket = Math.max(bucket, current);
        return bucket % bucketCount;
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
