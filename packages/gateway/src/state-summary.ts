/**
 * Periodic log lines about the state that decides on requests: the estimates for each service's targets, and the calls to the
 * store by purpose.
 */

import type { DecisionLog } from "@trefoilladder/telemetry";
import { summarizeService, summaryFields } from "./service-summary";
import type { TargetTracker } from "./target-tracker";

/** Interval of the lines in milliseconds. */
export const stateSummaryIntervalMs = 5_000;
/** Maximum number of services in one summary. */
const maxServices = 20;
const storeCallPrefix = "store_call_";

/** Dependencies of the summary. */
export interface StateSummaryParts {
    log: DecisionLog;
    targetTracker: Pick<TargetTracker, "candidates">;
    /** Returns the names of the services in force. */
    services(): readonly string[];
}

/** Returns a function that writes one line for each service, and one for the calls to the store that were made so far. */
export function createStateSummary({ log, targetTracker, services }: StateSummaryParts): () => void {
    return () => {
        for (const service of services().slice(0, maxServices)) {
            const candidates = targetTracker.candidates(service, new Set());
            if (candidates.length > 0) {
                log.stateChange("service_estimates", { service, ...summaryFields(summarizeService(candidates)) });
            }
        }
        const calls = [...log.counters()].filter(([name]) => name.startsWith(storeCallPrefix));
        if (calls.length > 0) {
            const counts = calls.map(([name, count]) => [name.slice(storeCallPrefix.length), count]);
            log.stateChange("store_calls", Object.fromEntries(counts) as Record<string, number>);
        }
    };
}
