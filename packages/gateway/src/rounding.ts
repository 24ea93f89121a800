/** Rounds a value to thousandths, for log lines. */
export function roundToThousandths(value: number): number {
    return Math.round(value * 1_000) / 1_000;
}
