/**
 * Expected service time of a request, learned from responses of targets where no request waited.
 *
 * Load pattern: requests to one service take 94 ms or 577 ms of a slot. A count of requests says little about the time until a
 * slot is free. The route is the common predictor; method, body size and organisation refine it where they predict better.
 */

/** Properties of a request that its service time may depend on. */
export interface WorkFeatures {
    route: string;
    method: string;
    /** Size of the body in bytes; undefined when unknown. */
    bodyBytes: number | undefined;
    organisation: string | undefined;
}

/** Expected service time of a request. */
export interface WorkEstimate {
    meanMs: number;
    /** Mean absolute deviation in milliseconds. */
    spreadMs: number;
}

/** Learned service times. */
export interface ExpectedWork {
    /** Returns the estimate for a request; undefined before the first response on its route. */
    estimate(features: WorkFeatures): WorkEstimate | undefined;
    record(features: WorkFeatures, serviceMs: number): void;
    /** Returns the mean absolute error of the latest estimates as a share of the mean service time; 0 before the first. */
    meanError(): number;
    /** Number of stored entries. */
    readonly size: number;
}

interface Entry {
    meanMs: number;
    spreadMs: number;
    count: number;
}

/** Mean errors of a refinement and of the route alone over the same responses. */
interface Comparison {
    refinedMs: number;
    routeMs: number;
    count: number;
}

/** Weight of the newest response once an entry has more responses than its inverse. */
const newestWeight = 0.05;
/** Responses from which a refined entry is used and compared. */
const minResponses = 8;
/** Compared responses from which a refinement may replace the route. */
const minComparisons = 16;
/** A refinement replaces the route when its error is below this share of the route's error. */
const maxErrorShare = 0.9;
/** Maximum number of entries; the one that was recorded least recently is removed first. */
const defaultMaxEntries = 2_000;

/** Returns the size class of a body: classes grow by powers of four. */
function sizeClass(bodyBytes: number | undefined): string {
    return bodyBytes === undefined ? "unknown" : String(Math.ceil(Math.log2(Math.max(1, bodyBytes)) / 2));
}

/** Refinements of a route, by the property that they add. */
const refinements: Record<string, (features: WorkFeatures) => string> = {
    method: ({ method }) => method,
    size: ({ bodyBytes }) => sizeClass(bodyBytes),
    organisation: ({ organisation }) => organisation ?? "",
};
const refinementNames = Object.keys(refinements);

function update(entry: Entry, serviceMs: number): void {
    entry.count += 1;
    const weight = Math.max(newestWeight, 1 / entry.count);
    entry.spreadMs += weight * (Math.abs(serviceMs - entry.meanMs) - entry.spreadMs);
    entry.meanMs += weight * (serviceMs - entry.meanMs);
}

/** Creates the estimator without responses. */
export function createExpectedWork({ maxEntries = defaultMaxEntries } = {}): ExpectedWork {
    const entries = new Map<string, Entry>();
    const comparisons = new Map<string, Comparison>();
    let errorMs = 0;
    let meanMs = 0;

    const keyOf = (name: string, features: WorkFeatures) =>
        JSON.stringify([features.route, name, refinements[name]!(features)]);
    const comparisonKey = (name: string, route: string) => JSON.stringify([route, name]);

    function recordEntry(key: string, serviceMs: number): void {
        const entry = entries.get(key) ?? { meanMs: serviceMs, spreadMs: 0, count: 0 };
        update(entry, serviceMs);
        // Insertion order is the order of removal.
        entries.delete(key);
        entries.set(key, entry);
        if (entries.size > maxEntries) {
            entries.delete(entries.keys().next().value!);
        }
    }

    function refinedEntry(name: string, features: WorkFeatures): Entry | undefined {
        const entry = entries.get(keyOf(name, features));
        return entry !== undefined && entry.count >= minResponses ? entry : undefined;
    }

    /** Returns the error of a refinement as a share of the route's error; Infinity while it is unknown. */
    function errorShare(name: string, route: string): number {
        const comparison = comparisons.get(comparisonKey(name, route));
        return comparison === undefined || comparison.count < minComparisons || comparison.routeMs === 0
            ? Infinity
            : comparison.refinedMs / comparison.routeMs;
    }

    function compare(name: string, features: WorkFeatures, serviceMs: number): void {
        const route = entries.get(features.route);
        const refined = refinedEntry(name, features);
        if (route === undefined || refined === undefined) {
            return;
        }
        const key = comparisonKey(name, features.route);
        const comparison = comparisons.get(key) ?? { refinedMs: 0, routeMs: 0, count: 0 };
        comparison.count += 1;
        const weight = Math.max(newestWeight, 1 / comparison.count);
        comparison.refinedMs += weight * (Math.abs(serviceMs - refined.meanMs) - comparison.refinedMs);
        comparison.routeMs += weight * (Math.abs(serviceMs - route.meanMs) - comparison.routeMs);
        comparisons.delete(key);
        comparisons.set(key, comparison);
        if (comparisons.size > maxEntries) {
            comparisons.delete(comparisons.keys().next().value!);
        }
    }

    function estimate(features: WorkFeatures): WorkEstimate | undefined {
        let best = entries.get(features.route);
        let lowest = maxErrorShare;
        for (const name of refinementNames) {
            const share = errorShare(name, features.route);
            const refined = share < lowest ? refinedEntry(name, features) : undefined;
            if (refined !== undefined) {
                best = refined;
                lowest = share;
            }
        }
        return best === undefined ? undefined : { meanMs: best.meanMs, spreadMs: best.spreadMs };
    }

    return {
        estimate,
        record(features, serviceMs) {
            const before = estimate(features);
            if (before !== undefined) {
                errorMs += newestWeight * (Math.abs(serviceMs - before.meanMs) - errorMs);
                meanMs += newestWeight * (serviceMs - meanMs);
            }
            for (const name of refinementNames) {
                compare(name, features, serviceMs);
                recordEntry(keyOf(name, features), serviceMs);
            }
            recordEntry(features.route, serviceMs);
        },
        meanError: () => meanMs === 0 ? 0 : errorMs / meanMs,
        get size() {
            return entries.size;
        },
    };
}
