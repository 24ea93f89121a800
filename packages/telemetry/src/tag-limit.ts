import { redactKeys } from "./redaction";

/** Tags of one value of a metric. */
export type Tags = Record<string, string>;

/** Keeps the number of series of each metric bounded. */
export interface TagLimit {
    /** Returns the tags to use: without keys, sorted by name, and with "other" for values beyond the limit. */
    bound(metric: string, tags: Tags): Tags;
}

/** Tag value that stands for every value beyond the limit. */
export const otherValue = "other";

/** Creates a limit of distinct values of each tag of a metric. */
export function createTagLimit(maxValues: number): TagLimit {
    const known = new Map<string, Set<string>>();

    function boundValue(metric: string, tag: string, value: string): string {
        const identity = `${metric}\0${tag}`;
        let values = known.get(identity);
        if (values === undefined) {
            values = new Set();
            known.set(identity, values);
        }
        if (values.has(value)) {
            return value;
        }
        const clean = redactKeys(value);
        if (!values.has(clean)) {
            if (values.size >= maxValues) {
                return otherValue;
            }
            values.add(clean);
        }
        return clean;
    }

    return {
        bound: (metric, tags) =>
            Object.fromEntries(
                Object.entries(tags)
                    .sort(([a], [b]) => a < b ? -1 : 1)
                    .map(([tag, value]) => [tag, boundValue(metric, tag, value)]),
            ),
    };
}
