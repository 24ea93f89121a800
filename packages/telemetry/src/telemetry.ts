import type { Histogram } from "hdr-histogram-js";
import { StatsD } from "hot-shots";
import log from "loglevel";
import { createHistogram } from "./histogram-transfer";
import { redactKeys } from "./redaction";
import { createTagLimit, otherTagValue } from "./tag-limit";
import type { Tags } from "./tag-limit";

/** Fields of one log line. Don't pass keys or bodies; text that looks like a key is redacted. */
export type LogFields = Record<string, string | number | boolean | undefined>;

/** Options of the telemetry. */
export interface TelemetryOptions {
    /** Instance id, added to every line and metric. */
    instance: string;
    /**
     * Lowest level that is written.
     * @default "info"
     */
    level?: log.LogLevelDesc;
    /** StatsD address; without it, metrics stay in the process. */
    statsd?: { host: string; port: number; };
}

/** Counters, gauges, histograms and the log of state changes. */
export interface Telemetry {
    count(name: string, tags?: Record<string, string>, value?: number): void;
    gauge(name: string, value: number, tags?: Record<string, string>): void;
    /** Records a duration in milliseconds for an organisation and a request class. */
    recordDuration(organisation: string, requestClass: string, ms: number): void;
    /** Writes a line about a state change. */
    stateChange(event: string, fields?: LogFields): void;
    /** Writes a line about a fault that needs an operator. */
    fault(event: string, fields?: LogFields): void;
    /** Returns the values of the counters and gauges, for the status document. */
    metricValues(): Record<string, number>;
    /** Returns the histograms by organisation and request class, in microseconds. */
    histograms(): ReadonlyMap<string, Histogram>;
    close(): void;
}

/** Organisations beyond this number share the histograms of "other". Each histogram takes about 20 KB. */
const maxTrackedOrganisations = 1_000;
/** Maximum number of distinct values of one tag of a metric; a further value counts as "other". */
const maxTagValues = 1_000;
/** Maximum number of series of all metrics together; bounds the memory when tags combine. */
const maxSeries = 20_000;
// One datagram fits the usual path MTU.
const statsdBufferBytes = 1_400;

/** Creates the telemetry of a process. */
export function createTelemetry(options: TelemetryOptions): Telemetry {
    const logger = log.getLogger(`trefoilladder-${options.instance}`);
    logger.setLevel(options.level ?? "info", false);
    const values = new Map<string, number>();
    const histograms = new Map<string, Histogram>();
    const trackedOrganisations = new Set<string>();
    const tagLimit = createTagLimit(maxTagValues);
    const statsd = options.statsd === undefined
        ? undefined
        : new StatsD({
            ...options.statsd,
            prefix: "trefoilladder.",
            globalTags: { instance: options.instance },
            maxBufferSize: statsdBufferBytes,
            errorHandler: () => add("telemetry.statsd_failures", 1),
        });

    /** Returns whether a series may be written: it exists, or the limit is not reached. Counts dropped series. */
    function admitSeries(series: string): boolean {
        if (values.has(series) || values.size < maxSeries) {
            return true;
        }
        values.set("telemetry.dropped_series", (values.get("telemetry.dropped_series") ?? 0) + 1);
        return false;
    }

    function add(series: string, value: number): void {
        if (admitSeries(series)) {
            values.set(series, (values.get(series) ?? 0) + value);
        }
    }

    function seriesName(name: string, tags: Tags | undefined): string {
        if (tags === undefined) {
            return name;
        }
        return `${name}{${Object.entries(tags).map(([key, value]) => `${key}=${value}`).join(",")}}`;
    }

    function write(level: "info" | "warn", event: string, fields: LogFields): void {
        const line = Object.entries({ event, instance: options.instance, ...fields })
            .map(([name, value]) => [redactKeys(name), typeof value === "string" ? redactKeys(value) : value]);
        logger[level](JSON.stringify({ time: new Date().toISOString(), level, ...Object.fromEntries(line) }));
    }

    function trackedName(organisation: string): string {
        if (trackedOrganisations.has(organisation)) {
            return organisation;
        }
        const redacted = redactKeys(organisation);
        if (!trackedOrganisations.has(redacted)) {
            if (trackedOrganisations.size >= maxTrackedOrganisations) {
                return otherTagValue;
            }
            trackedOrganisations.add(redacted);
        }
        return redacted;
    }

    function histogramOf(organisation: string, requestClass: string): Histogram {
        const name = `${trackedName(organisation)}/${requestClass}`;
        let histogram = histograms.get(name);
        if (histogram === undefined) {
            histogram = createHistogram();
            histograms.set(name, histogram);
        }
        return histogram;
    }

    return {
        count(name, tags, value = 1) {
            const limitedTags = tags === undefined ? undefined : tagLimit.limitTags(name, tags);
            add(seriesName(name, limitedTags), value);
            statsd?.increment(name, value, limitedTags);
        },
        gauge(name, value, tags) {
            const limitedTags = tags === undefined ? undefined : tagLimit.limitTags(name, tags);
            const series = seriesName(name, limitedTags);
            if (admitSeries(series)) {
                values.set(series, value);
            }
            statsd?.gauge(name, value, limitedTags);
        },
        recordDuration(organisation, requestClass, ms) {
            histogramOf(organisation, requestClass).recordValue(Math.max(1, Math.round(ms * 1000)));
            statsd?.timing("request.duration", ms, { class: requestClass });
        },
        stateChange: (event, fields = {}) => write("info", event, fields),
        fault: (event, fields = {}) => write("warn", event, fields),
        metricValues: () => Object.fromEntries(values),
        histograms: () => histograms,
        close: () => statsd?.close(),
    };
}
