/** Running estimate of the time to response headers of each service. */
export interface LatencyEstimate {
    record(service: string, headersMs: number): void;
    /** Time in milliseconds after which a missing response is a stall rather than a slow response. */
    stallLimit(service: string): number;
}

interface Estimate {
    samples: number;
    mean: number;
    deviation: number;
}

const minSamples = 20;
const meanGain = 1 / 8;
const deviationGain = 1 / 4;

/**
 * Creates the estimate: twice the smoothed mean plus four mean deviations, as a TCP retransmission timer does, within
 * the limits.
 */
export function createLatencyEstimate(limits: { minMs: number; maxMs: number; }): LatencyEstimate {
    const estimates = new Map<string, Estimate>();
    return {
        record(service, headersMs) {
            const estimate = estimates.get(service);
            if (estimate === undefined) {
                estimates.set(service, { samples: 1, mean: headersMs, deviation: headersMs / 2 });
                return;
            }
            estimate.samples += 1;
            estimate.deviation += deviationGain * (Math.abs(headersMs - estimate.mean) - estimate.deviation);
            estimate.mean += meanGain * (headersMs - estimate.mean);
        },
        stallLimit(service) {
            const estimate = estimates.get(service);
            return estimate === undefined || estimate.samples < minSamples
                ? limits.maxMs
                : Math.min(limits.maxMs, Math.max(limits.minMs, 2 * (estimate.mean + 4 * estimate.deviation)));
        },
    };
}
