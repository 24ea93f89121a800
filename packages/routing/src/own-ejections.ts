import { ejectionTime, rememberedCount } from "./ejection-backoff";
import { bindsDomain, fitEjections, isEjection } from "./ejection-decisions";
import type { Ejection } from "./ejection-decisions";
import type { FloorTarget } from "./floor";
import type { RandomSource } from "./random-source";
import type { RoutingPolicy } from "./routing-policy";
import type { JudgedTarget } from "./service-evidence";
import type { FleetDecisions } from "./service-state";
import type { TargetState } from "./target-state";

/** Ejections in force at one instance. */
export interface EjectionOutcome {
    inForce: Map<string, Ejection>;
    /** Number of bad targets that the floor keeps in use. */
    refused: number;
}

/** What an instance decides from when it has no coordinator. */
export interface OwnEjectionInput {
    inForce: readonly Ejection[];
    judged: readonly JudgedTarget[];
    states: ReadonlyMap<string, TargetState>;
    targets: readonly FloorTarget[];
    /** Tells whether this instance probes a target. */
    isProber(target: string): boolean;
    now: number;
    policy: RoutingPolicy;
    random: RandomSource;
}

/** Tells whether an ejection is over: its time has passed and, at a prober, a probe succeeded during it. */
function isOver(ejection: Ejection, input: OwnEjectionInput): boolean {
    const { now, policy } = input;
    const state = input.states.get(ejection.target);
    if (state === undefined) {
        return true;
    }
    const probed = !state.lastProbeFailed && now - state.lastProbeSucceededAt <= 2 * policy.probeIntervalMs;
    return now >= ejection.until && (probed || !input.isProber(ejection.target));
}

/** Decides the ejections of an instance by its own evidence, under the floor of its own view. */
export function decideOwnEjections(input: OwnEjectionInput): EjectionOutcome {
    const { now, policy, random, states } = input;
    const remaining: Ejection[] = [];
    for (const ejection of input.inForce) {
        if (isOver(ejection, input)) {
            rememberReturn(states.get(ejection.target), ejection, now);
        }
        else {
            remaining.push(ejection);
        }
    }
    const over = new Set(input.inForce.map(({ target }) => target));
    remaining.forEach(({ target }) => over.delete(target));
    const candidates = input.judged.flatMap(({ id, finding }) =>
        finding === undefined || over.has(id)
            ? []
            : [{ target: id, evidence: finding.kind, severity: finding.severity }]
    );
    const { accepted, refused } = fitEjections(remaining, candidates, input.targets, policy.floor);
    const inForce = new Map<string, Ejection>();
    for (const element of accepted) {
        inForce.set(element.target, isEjection(element) ? element : startEjection(element.target, element.evidence));
    }
    refused.filter(isEjection).forEach(ejection => rememberReturn(states.get(ejection.target), ejection, now));
    return { inForce, refused: refused.length };

    function startEjection(target: string, evidence: string): Ejection {
        const count = rememberedCount(states.get(target)?.ejections, now, policy) + 1;
        return { target, domains: [], evidence, count, until: now + ejectionTime(count, policy, random) };
    }
}

function rememberReturn(state: TargetState | undefined, ejection: Ejection, now: number): void {
    if (state !== undefined) {
        state.ejections = { count: ejection.count, returnedAt: now };
    }
}

/** Returns the coordinator's ejections that bind this instance and fit under the floor of its own view. */
export function decideWithFleet(
    fleet: FleetDecisions,
    domain: string,
    targets: readonly FloorTarget[],
    floor: number,
): EjectionOutcome {
    const binding = fleet.ejections.filter(ejection => bindsDomain(ejection, domain));
    const { accepted, refused } = fitEjections(binding, [], targets, floor);
    return {
        inForce: new Map(accepted.filter(isEjection).map(ejection => [ejection.target, ejection])),
        refused: refused.length + (fleet.floorReached ? 1 : 0),
    };
}
