/**
 * Weight of outcomes in the fleet-wide health of a target.
 *
 * Load pattern: the network paths of some instances to a target break or lose packets while the target serves all other
 * instances. The outcomes at those instances are strong evidence about their paths and weak evidence about the target.
 */

import { outcome } from "./target-health";
import type { Outcome } from "./target-health";
import type { LoadReport } from "./target-load";

/** Weight of each outcome; it is below 1 for outcomes that the network path of a single instance may cause. */
const weightByOutcome: Record<Outcome, number> = {
    success: 1,
    failure: 1,
    request_failure: 1,
    shed: 1,
    overloaded: 1,
    late: 0.6,
    timed_out: 0.8,
    unreachable: 0.4,
};
/**
 * Time in milliseconds after a response to any instance during which the target counts as reachable, even if one instance
 * cannot connect to it. It delays the detection of a target that is down by as much.
 */
const recentResponseMs = 600;
/** Weight of a failed connection to a target that has recently responded to some instance. */
const reachableElsewhereWeight = 0.08;

/** Returns the outcome of an attempt that a target shed, given the load that it reported with the rejection. */
export function shedOutcome(load: LoadReport | undefined): Outcome {
    return load !== undefined && load.slots > 0 && load.running >= load.slots ? outcome.overloaded : outcome.shed;
}

/** Returns the weight of an outcome, given the time in milliseconds since the target last responded to any instance. */
export function outcomeWeight(kind: Outcome, msSinceResponse: number): number {
    return kind === outcome.unreachable && msSinceResponse < recentResponseMs
        ? reachableElsewhereWeight
        : weightByOutcome[kind];
}
