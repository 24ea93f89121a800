/** Share of a warm target's traffic with which a slow start begins. */
const initialShare = 0.1;

/** Returns the share of a warm target's traffic, from 0.1 to 1, that a target gets since its slow start began. */
export function slowStartShare(startedAt: number | undefined, now: number, slowStartMs: number): number {
    if (startedAt === undefined || now - startedAt >= slowStartMs) {
        return 1;
    }
    return initialShare + (1 - initialShare) * (now - startedAt) / slowStartMs;
}

/** Returns the slots that a share leaves of an in-flight limit; never below one. */
export function admittedSlots(limit: number, share: number): number {
    return Math.max(1, Math.floor(limit * share));
}
