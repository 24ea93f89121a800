import type { Route } from "./edit";

/** A route, or something that carries one. */
interface RouteCarrier {
    route: Route;
}

/** Routes by path prefix; a lookup costs one map access for each distinct prefix length. */
export interface RouteIndex<Entry extends RouteCarrier> {
    byPrefix: Map<string, Entry[]>;
    /** Number of prefixes of each length. */
    lengths: Map<number, number>;
    /** Distinct prefix lengths, longest first. */
    sortedLengths: number[];
}

/** Creates an empty index. */
export function createRouteIndex<Entry extends RouteCarrier>(): RouteIndex<Entry> {
    return { byPrefix: new Map(), lengths: new Map(), sortedLengths: [] };
}

function sortLengths(index: RouteIndex<RouteCarrier>): void {
    index.sortedLengths = [...index.lengths.keys()].sort((a, b) => b - a);
}

/** Adds entries; those with the same prefix are ordered by `precedes`, then by the order of addition. */
export function addRoutes<Entry extends RouteCarrier>(
    index: RouteIndex<Entry>,
    entries: readonly Entry[],
    precedes: (a: Entry, b: Entry) => boolean = () => false,
): void {
    for (const entry of entries) {
        const prefix = entry.route.pathPrefix;
        const existing = index.byPrefix.get(prefix);
        if (existing === undefined) {
            index.byPrefix.set(prefix, [entry]);
            index.lengths.set(prefix.length, (index.lengths.get(prefix.length) ?? 0) + 1);
        }
        else {
            const position = existing.findIndex(other => precedes(entry, other));
            existing.splice(position === -1 ? existing.length : position, 0, entry);
        }
    }
    sortLengths(index);
}

/** Removes entries. */
export function removeRoutes<Entry extends RouteCarrier>(
    index: RouteIndex<Entry>,
    entries: readonly Entry[],
    equals: (a: Entry, b: Entry) => boolean,
): void {
    for (const entry of entries) {
        const prefix = entry.route.pathPrefix;
        const remaining = (index.byPrefix.get(prefix) ?? []).filter(other => !equals(entry, other));
        if (remaining.length > 0) {
            index.byPrefix.set(prefix, remaining);
        }
        else if (index.byPrefix.delete(prefix)) {
            const count = index.lengths.get(prefix.length)! - 1;
            if (count === 0) {
                index.lengths.delete(prefix.length);
            }
            else {
                index.lengths.set(prefix.length, count);
            }
        }
    }
    sortLengths(index);
}

/** Returns the entry with the longest prefix that matches the path on whole segments and allows the method. */
export function findRoute<Entry extends RouteCarrier>(
    index: RouteIndex<Entry>,
    method: string,
    path: string,
): Entry | undefined {
    for (const length of index.sortedLengths) {
        const onBoundary = length === path.length || path[length - 1] === "/" || path[length] === "/";
        if (length > path.length || !onBoundary) {
            continue;
        }
        const found = index.byPrefix.get(path.slice(0, length))
            ?.find(({ route }) => (route.methods as string[]).includes(method));
        if (found !== undefined) {
            return found;
        }
    }
    return undefined;
}
