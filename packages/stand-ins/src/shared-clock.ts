/**
 * Returns milliseconds on CLOCK_MONOTONIC. All processes of one machine read the same clock, so times recorded by
 * callers, targets and the experiment tool can be compared without an error bound.
 */
export function sharedNow(): number {
    return Number(process.hrtime.bigint()) / 1e6;
}
