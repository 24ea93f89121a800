import { build as buildHistogram, decodeFromCompressedBase64, encodeIntoCompressedBase64 } from "hdr-histogram-js";
import type { Histogram } from "hdr-histogram-js";

/** Creates a histogram for request durations of up to one minute, in microseconds. */
export function createHistogram(): Histogram {
    return buildHistogram({
        lowestDiscernibleValue: 1,
        highestTrackableValue: 60_000_000,
        numberOfSignificantValueDigits: 2,
    });
}

/** Encodes histograms for the status document. */
export function encodeHistograms(histograms: ReadonlyMap<string, Histogram>): Record<string, string> {
    return Object.fromEntries(
        [...histograms].map(([name, histogram]) => [name, encodeIntoCompressedBase64(histogram)]),
    );
}

/** Decodes one histogram of a status document. */
export function decodeHistogram(text: string): Histogram {
    return decodeFromCompressedBase64(text);
}

/** Merges histograms of the same name. */
export function mergeHistograms(histograms: Iterable<readonly [string, Histogram]>): Map<string, Histogram> {
    const merged = new Map<string, Histogram>();
    for (const [name, histogram] of histograms) {
        const sum = merged.get(name) ?? createHistogram();
        sum.add(histogram);
        merged.set(name, sum);
    }
    return merged;
}
