/** Tracks the offsets known to exist and since when they have been missing here. */
export interface Freshness {
    /** Notes that an offset exists, and the peer that has applied it when a peer told. */
    note(offset: number, now: number, peer?: string): void;
    /** Forgets what is applied up to an offset. */
    applied(offset: number): void;
    /** Time in milliseconds for which the oldest missing offset has been known; 0 when none is missing. */
    behindMs(now: number): number;
    /** Highest offset known; 0 when none is. */
    highest(): number;
    /** Peer that told of the highest missing offset. */
    teller(): string | undefined;
}

interface MissingOffset {
    offset: number;
    knownSince: number;
}

// Beyond this number the newest entry takes higher offsets over, which makes the verdict stricter and never laxer.
const maxMissing = 64;

/** Creates a tracker for a reader that has applied nothing. */
export function createFreshness(): Freshness {
    const missing: MissingOffset[] = [];
    let highest = 0;
    let appliedOffset = 0;
    let teller: string | undefined;
    return {
        note(offset, now, peer) {
            if (offset <= appliedOffset) {
                return;
            }
            if (peer !== undefined && (teller === undefined || offset >= highest)) {
                teller = peer;
            }
            if (offset <= highest) {
                return;
            }
            highest = offset;
            if (missing.length === maxMissing) {
                missing.at(-1)!.offset = offset;
            }
            else {
                missing.push({ offset, knownSince: now });
            }
        },
        applied(offset) {
            appliedOffset = Math.max(appliedOffset, offset);
            highest = Math.max(highest, offset);
            while (missing.length > 0 && missing[0]!.offset <= offset) {
                missing.shift();
            }
            if (missing.length === 0) {
                teller = undefined;
            }
        },
        behindMs: now => missing.length === 0 ? 0 : now - missing[0]!.knownSince,
        highest: () => highest,
        teller: () => teller,
    };
}
