/**
 * Periodic log lines about the limits that decide on requests.
 */

import type { LimitGroup, LimitState } from "@trefoilladder/limits";
import type { DecisionLog } from "@trefoilladder/telemetry";
import { limitFields } from "./rate-limits";

/** Interval of the lines in milliseconds. */
export const limitSummaryIntervalMs = 1_000;
/** Maximum number of organisations in one summary, those that rejected most requests first. */
const maxOrganisations = 10;
/** Share of the burst below which an organisation's limit is reported although it rejected nothing. */
const reportedLevelShare = 0.5;

/** Dependencies of the summary. */
export interface LimitSummaryParts {
    log: Pick<DecisionLog, "stateChange">;
    limits: Pick<LimitGroup, "all">;
    now(): number;
}

interface Row {
    organisation: string;
    state: LimitState;
    rejectedSince: number;
    admittedSince: number;
}

/**
 * Returns a function that writes one line for each organisation that used its limit since the previous call, while its level
 * is low or requests were rejected.
 */
export function createLimitSummary({ log, limits, now }: LimitSummaryParts): () => void {
    let previous = new Map<string, LimitState>();

    function* changedRows(): Generator<Row> {
        const current = new Map<string, LimitState>();
        for (const [organisation, limit] of limits.all()) {
            const state = limit.state(now());
            const before = previous.get(organisation);
            current.set(organisation, state);
            const rejectedSince = state.rejected - (before?.rejected ?? 0);
            const admittedSince = state.admitted - (before?.admitted ?? 0);
            const isLow = state.level < reportedLevelShare * state.burst;
            if (rejectedSince > 0 || admittedSince !== 0 && isLow) {
                yield { organisation, state, rejectedSince, admittedSince };
            }
        }
        previous = current;
    }

    return () => {
        const rows = [...changedRows()].sort((a, b) => b.rejectedSince - a.rejectedSince);
        for (const { organisation, state, rejectedSince, admittedSince } of rows.slice(0, maxOrganisations)) {
            log.stateChange("limit_state", {
                organisation,
                ...limitFields(state),
                rejectedSince,
                admittedSince: Math.round(admittedSince),
            });
        }
    };
}
