/** Tracks which stream offsets are known to exist but not applied by this instance, and since when. */
export interface Freshness {
    /** Records that an offset exists, and the peer that has applied it when a peer reported it. */
    observe(offset: number, now: number, peer?: string): void;
    /** Marks everything up to an offset as applied. */
    markApplied(offset: number): void;
    /** Time in milliseconds since the oldest missing offset became known; 0 when none is missing. */
    behindMs(now: number): number;
    /** Highest known offset; 0 when none is known. */
    highestOffset(): number;
    /** Peer that reported the highest missing offset. */
    reporter(): string | undefined;
}

interface MissingOffset {
    offset: number;
    knownSince: number;
}

// When full, a higher offset replaces that of the newest entry, so the lag may be overestimated, never underestimated.
const maxMissingOffsets = 64;

/** Creates a tracker for a reader that has not applied any record. */
export function createFreshness(): Freshness {
    const missing: MissingOffset[] = [];
    let highestOffset = 0;
    let appliedOffset = 0;
    let reporter: string | undefined;
    return {
        observe(offset, now, peer) {
            if (offset <= appliedOffset) {
                return;
            }
            if (peer !== undefined && (reporter === undefined || offset >= highestOffset)) {
                reporter = peer;
            }
            if (offset <= highestOffset) {
                return;
            }
            highestOffset = offset;
            if (missing.length === maxMissingOffsets) {
                missing.at(-1)!.offset = offset;
            }
            else {
                missing.push({ offset, knownSince: now });
            }
        },
        markApplied(offset) {
            appliedOffset = Math.max(appliedOffset, offset);
            highestOffset = Math.max(highestOffset, offset);
            while (missing.length > 0 && missing[0]!.offset <= offset) {
                missing.shift();
            }
            if (missing.length === 0) {
                reporter = undefined;
            }
        },
        behindMs: now => missing.length === 0 ? 0 : now - missing[0]!.knownSince,
        highestOffset: () => highestOffset,
        reporter: () => reporter,
    };
}
