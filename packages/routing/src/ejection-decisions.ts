import { selectWithinFloor } from "./ejection-floor";
import type { FloorSelection, FloorTarget } from "./ejection-floor";
import type { EvidenceKind } from "./outlier-detection";

/** An ejection in force. */
export interface Ejection {
    target: string;
    /** Failure domains whose instances avoid the target; empty for the whole fleet. */
    domains: readonly string[];
    evidence: string;
    /** Number of consecutive ejections. */
    count: number;
    /** Monotonic time in milliseconds of the earliest return. */
    endsAt: number;
}

/** A target with evidence for an ejection. */
export interface EjectionCandidate {
    target: string;
    evidence: EvidenceKind;
    severity: number;
}

/**
 * Selects the ejections in force and new candidates that the floor allows. Ejections in force have priority, those with
 * the most consecutive ejections first, so that a flapping target returns last. Candidates follow by severity.
 */
export function selectEjections(
    inForce: readonly Ejection[],
    candidates: readonly EjectionCandidate[],
    targets: readonly FloorTarget[],
    floor: number,
): FloorSelection<Ejection | EjectionCandidate> {
    const known = new Set(inForce.map(({ target }) => target));
    const wanted: (Ejection | EjectionCandidate)[] = [
        ...[...inForce].sort((a, b) => b.count - a.count),
        ...candidates.filter(({ target }) => !known.has(target)).sort((a, b) => b.severity - a.severity),
    ];
    return selectWithinFloor(wanted, targets, floor);
}

/** Returns whether an ejection applies to the instances of a failure domain. */
export function appliesToDomain(ejection: Pick<Ejection, "domains">, domain: string): boolean {
    return ejection.domains.length === 0 || ejection.domains.includes(domain);
}

/** Returns whether an element of a selection is an ejection in force rather than a candidate. */
export function isEjection(element: Ejection | EjectionCandidate): element is Ejection {
    return "endsAt" in element;
}
