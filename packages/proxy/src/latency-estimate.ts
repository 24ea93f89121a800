/** Running estimate of the time to response headers for each service. */
export interface LatencyEstimate {
    record(service: string, headersMs: number): void;
    /** Time in milliseconds without response headers after which a target counts as stalled. */
    stallTimeoutMs(service: string): number;
}

interface Estimate {
    sampleCount: number;
    mean: number;
    deviation: number;
}

const minSamples = 20;
const meanGain = 1 / 8;
const deviationGain = 1 / 4;

/**
 * Creates the estimate. The stall timeout is twice the sum of the smoothed mean and four mean deviations, the sum that
 * a TCP retransmission timer uses, clamped to the limits.
 */
export function createLatencyEstimate(limits: { minMs: number; maxMs: number; }): LatencyEstimate {
    const estimates = new Map<string, Estimate>();
    return {
        record(service, headersMs) {
            const estimate = estimates.get(service);
            if (estimate === undefined) {
                estimates.set(service, { sampleCount: 1, mean: headersMs, deviation: headersMs / 2 });
                return;
            }
            estimate.sampleCount += 1;
            estimate.deviation += deviationGain * (Math.abs(headersMs - estimate.mean) - estimate.deviation);
            estimate.mean += meanGain * (headersMs - estimate.mean);
        },
        stallTimeoutMs(service) {
            const estimate = estimates.get(service);
            return estimate === undefined || estimate.sampleCount < minSamples
                ? limits.maxMs
                : Math.min(limits.maxMs, Math.max(limits.minMs, 2 * (estimate.mean + 4 * estimate.deviation)));
        },
    };
}
