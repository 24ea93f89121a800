/** State of a target that the floor depends on. The floor is the minimum healthy fraction of a service's targets. */
export interface FloorTarget {
    id: string;
    leaving: boolean;
    cold: boolean;
}

/** Result of limiting ejections by the floor. */
export interface FloorSelection<T> {
    accepted: T[];
    /** Ejections that would violate the floor; their targets stay in use. */
    rejected: T[];
}

/** Returns the minimum number of healthy targets that ejection must leave. */
export function minimumHealthy(listed: number, floor: number): number {
    return Math.ceil(listed * floor - 1e-9);
}

/** Counts the targets that are not leaving, not cold and not ejected. */
export function countHealthy(targets: readonly FloorTarget[], ejected: ReadonlySet<string>): number {
    return targets.filter(({ id, leaving, cold }) => !leaving && !cold && !ejected.has(id)).length;
}

/**
 * Accepts wanted ejections in order while the number of healthy targets stays at or above the floor, a fraction of all
 * listed targets. Ejecting a cold or leaving target takes no healthy capacity but counts towards the number of ejected
 * targets, so that a service whose targets all start at once keeps some in use. A call after targets left or became
 * cold rejects the ejections in force that no longer fit.
 */
export function selectWithinFloor<T extends { target: string; }>(
    wanted: readonly T[],
    targets: readonly FloorTarget[],
    floor: number,
): FloorSelection<T> {
    const minimum = minimumHealthy(targets.length, floor);
    const byId = new Map(targets.map(target => [target.id, target]));
    const ejected = new Set<string>();
    const selection: FloorSelection<T> = { accepted: [], rejected: [] };
    let healthy = countHealthy(targets, ejected);
    for (const ejection of wanted) {
        const target = byId.get(ejection.target);
        if (target === undefined || ejected.has(target.id)) {
            continue;
        }
        const cost = target.leaving || target.cold ? 0 : 1;
        const fits = ejected.size + 1 <= targets.length - minimum && (cost === 0 || healthy - cost >= minimum);
        if (fits) {
            ejected.add(target.id);
            healthy -= cost;
        }
        selection[fits ? "accepted" : "rejected"].push(ejection);
    }
    return selection;
}
