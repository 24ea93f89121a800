/**
 * Distribution of an instance's estimates over the targets of a service. It shows whether requests are concentrated on a few
 * targets, and, beside the summaries of other instances, how far their estimates differ.
 */

import { quantile } from "@trefoilladder/placement";
import type { Candidate } from "@trefoilladder/placement";
import { roundToThousandths } from "./rounding";

/** Quantiles over the targets of a service. */
export interface EstimateQuantiles {
    p10: number;
    p50: number;
    p90: number;
}

/** Summary of a service's targets on one instance. */
export interface ServiceSummary {
    /** Number of targets that may receive requests. */
    targets: number;
    /** Targets whose probability of being unhealthy is above `suspectProbability`. */
    suspected: number;
    /** Targets whose estimated utilisation is 1 or more. */
    full: number;
    unhealthyProbability: EstimateQuantiles;
    pathFailureProbability: EstimateQuantiles;
    utilisation: EstimateQuantiles;
}

/** Probability of being unhealthy from which a target counts as suspected. */
const suspectProbability = 0.5;

function quantilesOf(values: readonly number[]): EstimateQuantiles {
    const at = (share: number) => roundToThousandths(quantile(values, share) ?? 0);
    return { p10: at(0.1), p50: at(0.5), p90: at(0.9) };
}

/** Summarizes the estimates for the targets of a service. */
export function summarizeService(candidates: readonly Candidate[]): ServiceSummary {
    return {
        targets: candidates.length,
        suspected: candidates.filter(({ unhealthyProbability }) => unhealthyProbability >= suspectProbability).length,
        full: candidates.filter(({ utilisation }) => utilisation >= 1).length,
        unhealthyProbability: quantilesOf(candidates.map(candidate => candidate.unhealthyProbability)),
        pathFailureProbability: quantilesOf(candidates.map(candidate => candidate.pathFailureProbability)),
        utilisation: quantilesOf(candidates.map(candidate => candidate.utilisation)),
    };
}

/** Returns the summary as fields of a log line, one field for each estimate and quantile. */
export function summaryFields(summary: ServiceSummary): Record<string, number> {
    const { targets, suspected, full, ...estimates } = summary;
    const quantiles = Object.entries(estimates).flatMap(([estimate, values]) =>
        Object.entries(values).map(([name, value]): [string, number] => [`${estimate}_${name}`, value as number])
    );
    return { targets, suspected, full, ...Object.fromEntries(quantiles) };
}
