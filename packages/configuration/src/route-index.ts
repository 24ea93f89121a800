import type { Route } from "./edit";

/** Entry of a route index. */
interface RouteEntry {
    route: Route;
}

/** Routes by path prefix. A lookup takes at most one map access for each distinct prefix length. */
export interface RouteIndex<Entry extends RouteEntry> {
    byPrefix: Map<string, Entry[]>;
    /** Number of distinct prefixes by length. */
    prefixCountByLength: Map<number, number>;
    /** Distinct prefix lengths, longest first. */
    sortedPrefixLengths: number[];
}

/** Creates an empty index. */
export function createRouteIndex<Entry extends RouteEntry>(): RouteIndex<Entry> {
    return { byPrefix: new Map(), prefixCountByLength: new Map(), sortedPrefixLengths: [] };
}

function updateSortedPrefixLengths(index: RouteIndex<RouteEntry>): void {
    index.sortedPrefixLengths = [...index.prefixCountByLength.keys()].sort((a, b) => b - a);
}

/** Adds entries. Entries with the same prefix are ordered by `precedes`, then by insertion. */
export function addRoutes<Entry extends RouteEntry>(
    index: RouteIndex<Entry>,
    entries: readonly Entry[],
    precedes: (a: Entry, b: Entry) => boolean = () => false,
): void {
    for (const entry of entries) {
        const prefix = entry.route.pathPrefix;
        const existing = index.byPrefix.get(prefix);
        if (existing === undefined) {
            index.byPrefix.set(prefix, [entry]);
            index.prefixCountByLength.set(prefix.length, (index.prefixCountByLength.get(prefix.length) ?? 0) + 1);
        }
        else {
            const position = existing.findIndex(other => precedes(entry, other));
            existing.splice(position === -1 ? existing.length : position, 0, entry);
        }
    }
    updateSortedPrefixLengths(index);
}

/** Removes every entry that equals one of the given entries. */
export function removeRoutes<Entry extends RouteEntry>(
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
            const count = index.prefixCountByLength.get(prefix.length)! - 1;
            if (count === 0) {
                index.prefixCountByLength.delete(prefix.length);
            }
            else {
                index.prefixCountByLength.set(prefix.length, count);
            }
        }
    }
    updateSortedPrefixLengths(index);
}

/** Returns the entry with the longest prefix that matches the path on whole segments and allows the method. */
export function findRoute<Entry extends RouteEntry>(
    index: RouteIndex<Entry>,
    method: string,
    path: string,
): Entry | undefined {
    for (const length of index.sortedPrefixLengths) {
        const endsAtSegment = length === path.length || path[length - 1] === "/" || path[length] === "/";
        if (length > path.length || !endsAtSegment) {
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
