/** Outcome of a booking: the wait until the token may be used, or the time after which a booking may succeed. */
export type Booking = { granted: true; delayMs: number; } | { granted: false; retryAfterMs: number; };

/** A token bucket on monotonic time; every call carries the time in milliseconds. */
export interface TokenBucket {
    /** Takes the tokens when they are there and returns 0, otherwise returns the milliseconds until they will be. */
    take(tokens: number, now: number): number;
    /** Takes the tokens when they become available within `maxDelayMs`; the level may go below 0 meanwhile. */
    book(tokens: number, now: number, maxDelayMs: number): Booking;
    /** Returns the tokens at a time; negative while tokens are booked ahead. */
    level(now: number): number;
    /** Adds or removes tokens; the level never exceeds the burst. */
    adjust(tokens: number, now: number): void;
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

    function waitFor(wanted: number, now: number): number {
        refill(now);
        if (tokens >= wanted) {
            return 0;
        }
        return wanted > burst || ratePerSecond <= 0 ? Infinity : (wanted - tokens) * 1000 / ratePerSecond;
    }

    return {
        take(wanted, now) {
            const waitMs = waitFor(wanted, now);
            if (waitMs === 0) {
                tokens -= wanted;
            }
            return waitMs;
        },
        book(wanted, now, maxDelayMs) {
            const delayMs = waitFor(wanted, now);
            if (delayMs > maxDelayMs) {
                return { granted: false, retryAfterMs: delayMs };
            }
            tokens -= wanted;
            return { granted: true, delayMs };
        },
        level(now) {
            refill(now);
            return tokens;
        },
        adjust(amount, now) {
            refill(now);
            tokens = Math.min(burst, tokens + amount);
        },
        resize(newRate, newBurst, now) {
            refill(now);
            ratePerSecond = newRate;
            burst = newBurst;
            tokens = Math.min(tokens, burst);
        },
    };
}
