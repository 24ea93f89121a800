/** Outcome of a reservation: the delay until the token may be used, or the delay until a retry may succeed. */
export type Reservation = { granted: true; delayMs: number; } | { granted: false; retryAfterMs: number; };

/** Token bucket on monotonic time; callers pass the current time in milliseconds. */
export interface TokenBucket {
    /** Takes the tokens and returns 0, or takes none and returns the milliseconds until they are available. */
    take(tokens: number, now: number): number;
    /** Reserves tokens that become available within `maxDelayMs`; the level may be negative until then. */
    reserve(tokens: number, now: number, maxDelayMs: number): Reservation;
    /** Returns the number of tokens at a time; negative while tokens are reserved in advance. */
    level(now: number): number;
    /** Adds or removes tokens; the level never exceeds the burst. */
    adjust(tokens: number, now: number): void;
    /** Sets a new rate and burst; caps the level at the burst. */
    resize(ratePerSecond: number, burst: number, now: number): void;
}

/** Creates a bucket; it is full unless `level` is set. */
export function createTokenBucket(
    options: { ratePerSecond: number; burst: number; now: number; level?: number; },
): TokenBucket {
    let { ratePerSecond, burst } = options;
    let tokens = Math.min(options.level ?? burst, burst);
    let updatedAt = options.now;

    function refill(now: number): void {
        // A time before the last update refills nothing.
        const elapsedMs = Math.max(0, now - updatedAt);
        tokens = Math.min(burst, tokens + elapsedMs * ratePerSecond / 1000);
        updatedAt = Math.max(updatedAt, now);
    }

    function timeUntilAvailable(requested: number, now: number): number {
        refill(now);
        if (tokens >= requested) {
            return 0;
        }
        return requested > burst || ratePerSecond <= 0 ? Infinity : (requested - tokens) * 1000 / ratePerSecond;
    }

    return {
        take(requested, now) {
            const waitMs = timeUntilAvailable(requested, now);
            if (waitMs === 0) {
                tokens -= requested;
            }
            return waitMs;
        },
        reserve(requested, now, maxDelayMs) {
            const delayMs = timeUntilAvailable(requested, now);
            if (delayMs > maxDelayMs) {
                return { granted: false, retryAfterMs: delayMs };
            }
            tokens -= requested;
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
