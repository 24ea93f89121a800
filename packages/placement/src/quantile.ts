/** Returns the median; undefined for an empty list. */
export function median(values: readonly number[]): number | undefined {
    return quantile(values, 0.5);
}

/** Returns the quantile `q` (0 to 1), the lower of two neighbouring values; undefined for an empty list. */
export function quantile(values: readonly number[], q: number): number | undefined {
    const sorted = [...values].sort((a, b) => a - b);
    return sorted[Math.min(sorted.length - 1, Math.floor((sorted.length - 1) * q + 1e-9))];
}
