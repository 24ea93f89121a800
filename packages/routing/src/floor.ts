/** What the floor depends on for one target of a service. */
export interface FloorTarget {
    id: string;
    leaving: boolean;
    cold: boolean;
}

/** Result of fitting wanted ejections under the floor. */
export interface FloorSelection<T> {
    accepted: T[];
    /** Ejections that the floor does not allow; their targets stay in use. */
    refused: T[];
}

/** Returns the smallest number of healthy targets that ejection may leave. */
export function minimumHealthy(listed: number, floor: number): number {
    return Math.ceil(listed * floor - 1e-9);
}

/** Counts the targets that are not leaving, not cold and not ejected. */
export function countHealthy(targets: readonly FloorTarget[], ejected: ReadonlySet<string>): number {
    return targets.filter(({ id, leaving, cold }) => !leaving && !cold && !ejected.has(id)).length;
}

/**
 * Accepts wanted ejections in their order as long as the healthy targets stay at or above the floor. Ejecting a cold or
 * leaving target takes no healthy capacity, but counts towards the number of ejected targets, so that a service whose
 * targets all start at once keeps some in use. The floor is a fraction of all listed targets. Calling this again after
 * targets left or became cold returns the ejections that no longer fit among the refused ones.
 */
export function selectWithinFloor<T extends { target: string; }>(
    wanted: readonly T[],
    targets: readonly FloorTarget[],
    floor: number,
): FloorSelection<T> {
    const minimum = minimumHealthy(targets.length, floor);
    const byId = new Map(targets.map(target => [target.id, target]));
    const ejected = new Set<string>();
    const selection: FloorSelection<T> = { accepted: [], refused: [] };
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
        selection[fits ? "accepted" : "refused"].push(ejection);
    }
    return selection;
}
