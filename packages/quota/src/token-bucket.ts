/** A token bucket on monotonic time; every call carries the time in milliseconds. */
export interface TokenBucket {
    /** Takes the tokens when they are there and returns 0, otherwise returns the milliseconds until they will be. */
    take(tokens: number, now: number): number;
    /** Returns the tokens at a time. */
    level(now: number): number;
    /** Sets a new rate and burst; the level is cut to the burst. */
    resize(ratePerSecond: number, burst: number, now: number): void;
}

/** Creates a bucket with a level; it is full by default. */
export function createTokenBucket(
    options: { ratePerSecond: number; burst: number; now: number; level?: number; },
): TokenBucket {
    let { ratePerSecond, burst } = options;
    let tokens = Math.min(options.level ?? burst, burst);
    let updatedAt = options.now;

    function refill(now: number): void {
        // Time that appears to go backwards refills nothing.
        const elapsedMs = Math.max(0, now - updatedAt);
        tokens = Math.min(burst, tokens + elapsedMs * ratePerSecond / 1000);
        updatedAt = Math.max(updatedAt, now);
    }

    return {
        take(wanted, now) {
            refill(now);
            if (tokens >= wanted) {
                tokens -= wanted;
                return 0;
            }
            return (wanted - tokens) * 1000 / ratePerSecond;
        },
        level(now) {
            refill(now);
            return tokens;
        },
        resize(newRate, newBurst, now) {
            refill(now);
            ratePerSecond = newRate;
            burst = newBurst;
            tokens = Math.min(tokens, burst);
        },
    };
}
