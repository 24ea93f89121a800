/**
 * Weight of outcomes for the health of a target as all instances see it.
 *
 * Load pattern: the paths of some instances to a target break, or lose packets, while it serves all others. What those
 * instances see says much about their paths and little about the target.
 */

import { outcome } from "./target-health";
import type { Outcome } from "./target-health";

/** Weight of an outcome that may come from the path of one instance only. */
const weights: Record<Outcome, number> = {
    success: 1,
    failure: 1,
    request_failure: 1,
    shed: 1,
    late: 0.6,
    timed_out: 0.8,
    unreachable: 0.4,
};
/**
 * Time in milliseconds since an answer that any instance got, within which a target that one instance cannot reach counts as
 * reachable. A target that is down is found that much later.
 */
const answeredOfLateMs = 600;
/** Weight of a failed connection to a target that has answered of late. */
const contradictedWeight = 0.08;

/** Returns the weight of an outcome, by the time in milliseconds since the target last answered any instance. */
export function outcomeWeight(kind: Outcome, msSinceAnswer: number): number {
    return kind === outcome.unreachable && msSinceAnswer < answeredOfLateMs ? contradictedWeight : weights[kind];
}
