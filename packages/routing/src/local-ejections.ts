import { consecutiveEjections, ejectionTime } from "./ejection-backoff";
import { appliesToDomain, isEjection, selectEjections } from "./ejection-decisions";
import type { Ejection } from "./ejection-decisions";
import type { FloorTarget } from "./ejection-floor";
import type { RandomSource } from "./random-source";
import type { RoutingPolicy } from "./routing-policy";
import type { FleetDecisions } from "./service-state";
import type { TargetAssessment } from "./target-assessment";
import type { TargetState } from "./target-state";

/** Ejections in force at this instance. */
export interface EjectionOutcome {
    inForce: Map<string, Ejection>;
    /** Number of bad targets that stay in use because of the floor. */
    keptByFloor: number;
}

/** Input of the decisions of an instance without a coordinator. */
export interface LocalEjectionInput {
    inForce: readonly Ejection[];
    assessments: readonly TargetAssessment[];
    targetStates: ReadonlyMap<string, TargetState>;
    targets: readonly FloorTarget[];
    /** Returns whether this instance probes a target. */
    isProber(target: string): boolean;
    now: number;
    policy: RoutingPolicy;
    random: RandomSource;
}

/** Returns whether an ejection has ended: its time has passed and, at a prober, a recent probe succeeded. */
function hasEnded(ejection: Ejection, input: LocalEjectionInput): boolean {
    const { now, policy } = input;
    const state = input.targetStates.get(ejection.target);
    if (state === undefined) {
        return true;
    }
    const probed = !state.lastProbeFailed && now - state.lastProbeSucceededAt <= 2 * policy.probeIntervalMs;
    return now >= ejection.endsAt && (probed || !input.isProber(ejection.target));
}

/** Decides ejections from this instance's own evidence, limited by the floor over its listed targets. */
export function decideLocalEjections(input: LocalEjectionInput): EjectionOutcome {
    const { now, policy, random, targetStates } = input;
    const remaining: Ejection[] = [];
    for (const ejection of input.inForce) {
        if (hasEnded(ejection, input)) {
            recordReturn(targetStates.get(ejection.target), ejection, now);
        }
        else {
            remaining.push(ejection);
        }
    }
    const ended = new Set(input.inForce.map(({ target }) => target));
    remaining.forEach(({ target }) => ended.delete(target));
    const candidates = input.assessments.flatMap(({ id, finding }) =>
        finding === undefined || ended.has(id)
            ? []
            : [{ target: id, evidence: finding.kind, severity: finding.severity }]
    );
    const { accepted, rejected } = selectEjections(remaining, candidates, input.targets, policy.minHealthyFraction);
    const inForce = new Map<string, Ejection>();
    for (const element of accepted) {
        inForce.set(element.target, isEjection(element) ? element : startEjection(element.target, element.evidence));
    }
    rejected.filter(isEjection).forEach(ejection => recordReturn(targetStates.get(ejection.target), ejection, now));
    return { inForce, keptByFloor: rejected.length };

    function startEjection(target: string, evidence: string): Ejection {
        const count = consecutiveEjections(targetStates.get(target)?.ejectionHistory, now, policy) + 1;
        return { target, domains: [], evidence, count, endsAt: now + ejectionTime(count, policy, random) };
    }
}

function recordReturn(state: TargetState | undefined, ejection: Ejection, now: number): void {
    if (state !== undefined) {
        state.ejectionHistory = { count: ejection.count, returnedAt: now };
    }
}

/** Returns the coordinator's ejections that apply to this instance, limited by the floor over its listed targets. */
export function selectFleetEjections(
    fleet: FleetDecisions,
    domain: string,
    targets: readonly FloorTarget[],
    floor: number,
): EjectionOutcome {
    const applicable = fleet.ejections.filter(ejection => appliesToDomain(ejection, domain));
    const { accepted, rejected } = selectEjections(applicable, [], targets, floor);
    return {
        inForce: new Map(accepted.filter(isEjection).map(ejection => [ejection.target, ejection])),
        keptByFloor: rejected.length + (fleet.floorReached ? 1 : 0),
    };
}
