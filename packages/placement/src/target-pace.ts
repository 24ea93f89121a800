/**
 * Mean service time at one target, as the whole fleet observes it.
 *
 * Load pattern: some targets are slower than the others by a factor, and a single instance receives a response of a given target
 * only once in ten seconds. Digests carry the reports and the number of outcomes of all instances. The time that slots were in
 * use, divided by the requests that ended meanwhile, is the mean service time there, without the time in the queue.
 */

/** Service time observed at a target. */
export interface TargetPace {
    /** Records the slots in use. */
    report(running: number, now: number): void;
    /** Records requests that ended at the target. */
    ended(count: number, now: number): void;
    /** Returns the mean service time in milliseconds; undefined without slots in use or ended requests. */
    serviceMs(now: number): number | undefined;
    /** Returns the number of ended requests that the mean is based on. */
    weight(now: number): number;
}

/** Time constant in milliseconds with which observations lose their weight. */
const lifetimeMs = 5_000;
/** Longest time in milliseconds for which a report is taken to hold. */
const maxHoldMs = 500;

/** Creates the pace of a target without observations. */
export function createTargetPace(): TargetPace {
    let running = 0;
    let reportedAt = -Infinity;
    let busyMs = 0;
    let ended = 0;
    let decayedAt = -Infinity;

    function advance(now: number): void {
        const factor = Math.exp(-Math.max(0, now - decayedAt) / lifetimeMs);
        busyMs *= factor;
        ended *= factor;
        decayedAt = now;
    }

    return {
        report(slotsInUse, now) {
            advance(now);
            // The mean of both reports, since requests end and begin between them.
            const heldMs = reportedAt === -Infinity ? 0 : Math.min(maxHoldMs, Math.max(0, now - reportedAt));
            busyMs += (running + slotsInUse) / 2 * heldMs;
            running = slotsInUse;
            reportedAt = now;
        },
        ended(count, now) {
            advance(now);
            ended += count;
        },
        serviceMs(now) {
            advance(now);
            return ended === 0 || busyMs === 0 ? undefined : busyMs / ended;
        },
        weight(now) {
            advance(now);
            return ended;
        },
    };
}

/** Ended requests at a target that count as much as the assumption that it is as fast as the others. */
const assumedRequests = 10;
const minSlowdown = 0.5;
const maxSlowdown = 6;

/** Returns the service time at a target relative to the typical one of its service. */
export function slowdownOf(pace: TargetPace, typicalMs: number | undefined, now: number): number {
    const serviceMs = pace.serviceMs(now);
    if (serviceMs === undefined || typicalMs === undefined || typicalMs <= 0) {
        return 1;
    }
    const count = pace.weight(now);
    const slowdown = (count * serviceMs / typicalMs + assumedRequests) / (count + assumedRequests);
    return Math.min(maxSlowdown, Math.max(minSlowdown, slowdown));
}
