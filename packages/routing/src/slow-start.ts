/** Share at the beginning of a slow start, relative to a warm target's traffic. */
const initialShare = 0.1;

/** Returns a target's traffic relative to that of a warm one; it grows from 0.1 to 1 during the slow start. */
export function slowStartShare(startedAt: number | undefined, now: number, slowStartMs: number): number {
    if (startedAt === undefined || now - startedAt >= slowStartMs) {
        return 1;
    }
    return initialShare + (1 - initialShare) * (now - startedAt) / slowStartMs;
}

/** Returns the number of slots of an in-flight limit reduced by the share; at least one. */
export function admittedSlots(limit: number, share: number): number {
    return Math.max(1, Math.floor(limit * share));
}
