import { selectWithinFloor } from "./floor";
import type { FloorSelection, FloorTarget } from "./floor";
import type { EvidenceKind } from "./judgement";

/** An ejection in force. */
export interface Ejection {
    target: string;
    /** Failure domains whose instances avoid the target; empty when the whole fleet does. */
    domains: readonly string[];
    evidence: string;
    /** Number of consecutive ejections. */
    count: number;
    /** Monotonic time in milliseconds from which the target may return. */
    until: number;
}

/** A target that evidence speaks against. */
export interface EjectionCandidate {
    target: string;
    evidence: EvidenceKind;
    severity: number;
}

/**
 * Fits the ejections in force and new candidates under the floor. Ejections in force come first, those with the most
 * consecutive ejections before the others, so that a flapping target gives way last; then the worst candidates.
 */
export function fitEjections(
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

/** Tells whether an ejection binds the instances of a failure domain. */
export function bindsDomain(ejection: Pick<Ejection, "domains">, domain: string): boolean {
    return ejection.domains.length === 0 || ejection.domains.includes(domain);
}

/** Tells whether an element of a selection is an ejection in force rather than a candidate. */
export function isEjection(element: Ejection | EjectionCandidate): element is Ejection {
    return "until" in element;
}
