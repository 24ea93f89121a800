import { build as buildHistogram } from "hdr-histogram-js";
import type { Histogram } from "hdr-histogram-js";
import { StatsD } from "hot-shots";
import log from "loglevel";

/** Fields of one log line. Keys and bodies are never logged. */
export type LogFields = Record<string, string | number | boolean | undefined>;

/** Options of the telemetry. */
export interface TelemetryOptions {
    /** Instance id that every line and metric carries. */
    instance: string;
    /**
     * Lowest level that is written.
     * @default "info"
     */
    level?: log.LogLevelDesc;
    /** StatsD address; metrics stay in the process without one. */
    statsd?: { host: string; port: number; };
}

/** Counters, gauges, histograms and the log of changes of state. */
export interface Telemetry {
    count(name: string, tags?: Record<string, string>, value?: number): void;
    gauge(name: string, value: number, tags?: Record<string, string>): void;
    /** Records a duration in milliseconds for an organisation and a request class. */
    recordDuration(organisation: string, requestClass: string, ms: number): void;
    /** Writes a line for a change of state. */
    stateChange(event: string, fields?: LogFields): void;
    /** Writes a line for a fault that needs a person. */
    fault(event: string, fields?: LogFields): void;
    /** Values of the counters and gauges, for the status page. */
    snapshot(): Record<string, number>;
    /** Histograms by organisation and class, in microseconds. */
    histograms(): ReadonlyMap<string, Histogram>;
    close(): void;
}

/** Organisations beyond this number share one histogram and tag, which bounds memory and tag cardinality. */
const maxTrackedOrganisations = 1_000;
const otherOrganisations = "other";

/** Creates the telemetry of a process. */
export function createTelemetry(options: TelemetryOptions): Telemetry {
    const logger = log.getLogger(`trefoilladder-${options.instance}`);
    logger.setLevel(options.level ?? "info", false);
    const statsd = options.statsd === undefined
        ? undefined
        : new StatsD({ ...options.statsd, prefix: "trefoilladder.", globalTags: { instance: options.instance } });
    const values = new Map<string, number>();
    const histograms = new Map<string, Histogram>();

    function seriesName(name: string, tags?: Record<string, string>): string {
        if (tags === undefined) {
            return name;
        }
        return `${name}{${Object.entries(tags).map(([key, value]) => `${key}=${value}`).join(",")}}`;
    }

    function write(level: "info" | "warn", event: string, fields: LogFields): void {
        const line = { time: new Date().toISOString(), level, event, instance: options.instance, ...fields };
        logger[level](JSON.stringify(line));
    }

    function histogramOf(organisation: string, requestClass: string): Histogram {
        const wanted = `${organisation}/${requestClass}`;
        const known = histograms.get(wanted);
        if (known !== undefined) {
            return known;
        }
        const name = histograms.size < maxTrackedOrganisations ? wanted : `${otherOrganisations}/${requestClass}`;
        const existing = histograms.get(name);
        if (existing !== undefined) {
            return existing;
        }
        const histogram = buildHistogram({
            lowestDiscernibleValue: 1,
            highestTrackableValue: 60_000_000,
            numberOfSignificantValueDigits: 2,
        });
        histograms.set(name, histogram);
        return histogram;
    }

    return {
        count(name, tags, value = 1) {
            const series = seriesName(name, tags);
            values.set(series, (values.get(series) ?? 0) + value);
            statsd?.increment(name, value, tags);
        },
        gauge(name, value, tags) {
            values.set(seriesName(name, tags), value);
            statsd?.gauge(name, value, tags);
        },
        recordDuration(organisation, requestClass, ms) {
            histogramOf(organisation, requestClass).recordValue(Math.max(1, Math.round(ms * 1000)));
            statsd?.timing("request.duration", ms, { class: requestClass });
        },
        stateChange: (event, fields = {}) => write("info", event, fields),
        fault: (event, fields = {}) => write("warn", event, fields),
        snapshot: () => Object.fromEntries(values),
        histograms: () => histograms,
        close: () => statsd?.close(),
    };
}
