import { redactKeys } from "./redaction";

/** Tags of one data point of a metric. */
export type Tags = Record<string, string>;

/** Limits the distinct values of each tag, which bounds the number of series of each metric. */
export interface TagLimit {
    /** Returns the tags with keys redacted, sorted by name, and with "other" for values beyond the limit. */
    limitTags(metric: string, tags: Tags): Tags;
}

/** Tag value that replaces every value beyond the limit. */
export const otherTagValue = "other";

/** Creates a limit of `maxValues` distinct values for each tag of a metric. */
export function createTagLimit(maxValues: number): TagLimit {
    const knownValues = new Map<string, Set<string>>();

    function limitValue(metric: string, tag: string, value: string): string {
        const tagKey = `${metric}\0${tag}`;
        let values = knownValues.get(tagKey);
        if (values === undefined) {
            values = new Set();
            knownValues.set(tagKey, values);
        }
        if (values.has(value)) {
            return value;
        }
        const redacted = redactKeys(value);
        if (!values.has(redacted)) {
            if (values.size >= maxValues) {
                return otherTagValue;
            }
            values.add(redacted);
        }
        return redacted;
    }

    return {
        limitTags: (metric, tags) =>
            Object.fromEntries(
                Object.entries(tags)
                    .sort(([a], [b]) => a < b ? -1 : 1)
                    .map(([tag, value]) => [tag, limitValue(metric, tag, value)]),
            ),
    };
}
