import type { LimitGroup, LimitState } from "@trefoilladder/limits";
import type { Route } from "@trefoilladder/serving";
import type { DecisionLog } from "@trefoilladder/telemetry";
import { Counter, Gauge, Histogram, Registry } from "prom-client";

/** Labels of a request that ended; the metrics name its end `answer`. */
export interface ResponseLabels {
    route: Route;
    organisation: string;
    answer: string;
}

/** Counters and histograms of the request path. */
export interface Metrics {
    recordResponse(labels: ResponseLabels, ms: number): void;
    /** Counts a refusal; `priority` is that of the request if the refusal depends on it. */
    countRefusal(code: string, priority?: number): void;
    /** Renders all metrics in the Prometheus text format. */
    render(): Promise<string>;
}

/** Organisations with time series of their own; further ones share a series. */
const maxOrganisations = 200;
const latencyBucketsSeconds = [0.05, 0.1, 0.2, 0.4, 0.8, 1.2, 2, 4, 8, 16];

/** Gauges of each organisation's limit. */
const limitGauges: Record<string, (state: LimitState) => number> = {
    limit_level: ({ level }) => level,
    limit_admitted: ({ admitted }) => admitted,
    limit_rejected: ({ rejected }) => rejected,
    limit_reporters: ({ reporters }) => reporters,
    limit_news_age_seconds: ({ oldestAgeMs }) => oldestAgeMs / 1_000,
};

/** Creates the metrics of a process; `gauges` and `limits` are read whenever the metrics are rendered. */
export function createMetrics(
    log: DecisionLog,
    limits: Pick<LimitGroup, "all">,
    now: () => number,
    gauges: Record<string, () => number>,
): Metrics {
    const registry = new Registry();
    const registers = [registry];
    const organisations = new Set<string>();
    const requests = new Counter({
        name: "trefoilladder_requests_total",
        help: "Requests by organisation and answer",
        labelNames: ["organisation", "answer"],
        registers,
    });
    const latencies = new Histogram({
        name: "trefoilladder_request_seconds",
        help: "Time from a request's arrival to its answer",
        labelNames: ["priority", "idempotent", "answer"],
        buckets: latencyBucketsSeconds,
        registers,
    });
    const refusals = new Counter({
        name: "trefoilladder_refusals_total",
        help: "Answers of the instance's own by reason",
        labelNames: ["code"],
        registers,
    });
    const classRefusals = new Counter({
        name: "trefoilladder_class_refusals_total",
        help: "Requests refused by expected work, by priority",
        labelNames: ["priority"],
        registers,
    });
    new Gauge({
        name: "trefoilladder_events_total",
        help: "Logged events, with those that the log left out",
        labelNames: ["event"],
        registers,
        collect() {
            log.counters().forEach((count, event) => this.set({ event }, count));
        },
    });
    for (const [name, read] of Object.entries(gauges)) {
        new Gauge({
            name: `trefoilladder_${name}`,
            help: name.replaceAll("_", " "),
            registers,
            collect() {
                this.set(read());
            },
        });
    }

    const limitMetrics = Object.entries(limitGauges).map(([name, read]) => ({
        read,
        gauge: new Gauge({
            name: `trefoilladder_${name}`,
            help: `${name.replaceAll("_", " ")} by organisation`,
            labelNames: ["organisation"],
            registers,
        }),
    }));

    function updateLimitMetrics(): void {
        limitMetrics.forEach(({ gauge }) => gauge.reset());
        for (const [organisation, limit] of limits.all()) {
            if (organisationLabel(organisation) === organisation) {
                const state = limit.state(now());
                limitMetrics.forEach(({ gauge, read }) => gauge.set({ organisation }, read(state)));
            }
        }
    }

    /** Returns the label of an organisation; the number of labels is bounded. */
    function organisationLabel(organisation: string): string {
        if (organisations.size < maxOrganisations) {
            organisations.add(organisation);
        }
        return organisations.has(organisation) ? organisation : "other";
    }

    return {
        recordResponse({ route, organisation, answer }, ms) {
            requests.inc({ organisation: organisationLabel(organisation), answer });
            const labels = { priority: route.priority, idempotent: String(route.idempotent), answer };
            latencies.observe(labels, ms / 1_000);
        },
        countRefusal(code, priority) {
            refusals.inc({ code });
            if (priority !== undefined) {
                classRefusals.inc({ priority });
            }
        },
        render() {
            updateLimitMetrics();
            return registry.metrics();
        },
    };
}
