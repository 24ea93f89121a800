import { decodeHistogram, mergeHistograms } from "@trefoilladder/telemetry";
import { err, ok, safeTry } from "neverthrow";
import type { Result, ResultAsync } from "neverthrow";
import { ClientFailure } from "./exit-code";
import type { InstanceStatus } from "./fleet";
import type { Session } from "./session";

const histogramPercentiles = [50, 95, 99, 99.9];

function checkResponses(statuses: readonly InstanceStatus[]): Result<void, ClientFailure> {
    if (statuses.length === 0) {
        return err(new ClientFailure("fleetUnavailable", "the instance list has no live entry instance"));
    }
    return statuses.some(({ status }) => status !== undefined)
        ? ok(undefined)
        : err(new ClientFailure("fleetUnavailable", `none of ${statuses.length} live instances answers`));
}

function describeInstance({ instance, status, problem }: InstanceStatus): string {
    if (status === undefined) {
        return `${instance.id} (${instance.domain}): ${problem}`;
    }
    const lease = status.lease === undefined
        ? "unknown"
        : status.lease.held
        ? `held, ${Math.round(status.lease.remainingMs)} ms left`
        : "not held";
    const fresh = status.fresh === false ? ", configuration too old to admit" : "";
    return `${instance.id} (${instance.domain}): applied offset ${status.appliedOffset}, lease ${lease}${fresh}`;
}

interface Ejection {
    service: string;
    target: string;
    domains: string[];
    evidence: string;
    reportedBy: string[];
}

/** Merges the same ejection as reported by several instances. */
function mergeEjections(statuses: readonly InstanceStatus[]): Ejection[] {
    const ejections = new Map<string, Ejection>();
    for (const { instance, status } of statuses) {
        for (const { service, target, domains, evidence } of status?.ejections ?? []) {
            const key = JSON.stringify([service, target, domains, evidence]);
            const ejection = ejections.get(key) ?? { service, target, domains, evidence, reportedBy: [] };
            ejection.reportedBy.push(instance.id);
            ejections.set(key, ejection);
        }
    }
    return [...ejections.values()];
}

/** Shows the state of every live instance, the ejections with their evidence and the quota by organisation. */
export function showStatus(session: Session): ResultAsync<void, ClientFailure> {
    return safeTry(async function*() {
        const statuses = yield* await (yield* session.fleet()).fetchStatuses();
        yield* checkResponses(statuses);
        const ejections = mergeEjections(statuses);
        const quota = statuses
            .flatMap(({ instance, status }) => (status?.quota ?? []).map(row => ({ instance: instance.id, ...row })))
            .sort((a, b) => a.organisation < b.organisation ? -1 : a.organisation > b.organisation ? 1 : 0);
        const instances = statuses.map(({ instance, status, problem }) => ({
            id: instance.id,
            domain: instance.domain,
            problem,
            incarnation: status?.incarnation,
            appliedOffset: status?.appliedOffset,
            fresh: status?.fresh,
            lease: status?.lease,
        }));
        session.print({ instances, ejections, quota }, [
            ...statuses.map(describeInstance),
            ejections.length === 0 ? "no ejections" : "ejections:",
            ...ejections.map(({ service, target, domains, evidence, reportedBy }) =>
                `    ${service}/${target}, ${domains.length === 0 ? "whole fleet" : `domains ${domains.join(", ")}`}: `
                + `${evidence} (reported by ${reportedBy.length} instances)`
            ),
            quota.length === 0 ? "no quota held" : "quota:",
            ...quota.map(({ organisation, instance, role, ratePerSecond, burst, level }) =>
                `    ${organisation}: ${role} ${instance}, rate ${ratePerSecond}/s, burst ${burst}, `
                + `level ${level.toFixed(1)}`
            ),
        ]);
        return ok(undefined);
    });
}

/** Shows the request durations of the whole fleet by organisation and class. */
export function showHistograms(session: Session): ResultAsync<void, ClientFailure> {
    return safeTry(async function*() {
        const statuses = yield* await (yield* session.fleet()).fetchStatuses({ histograms: true });
        yield* checkResponses(statuses);
        const merged = mergeHistograms(
            statuses.flatMap(({ status }) => Object.entries(status?.histograms ?? {}))
                .map(([name, text]) => [name, decodeHistogram(text)] as const),
        );
        const rows = [...merged].sort(([a], [b]) => a < b ? -1 : 1).map(([name, histogram]) => ({
            name,
            count: histogram.totalCount,
            percentilesMs: Object.fromEntries(
                histogramPercentiles.map(percentile => [
                    `p${percentile}`,
                    histogram.getValueAtPercentile(percentile) / 1_000,
                ]),
            ),
            maxMs: histogram.maxValue / 1_000,
        }));
        const unanswered = statuses.filter(({ status }) => status === undefined);
        session.print(
            { histograms: rows, unanswered: unanswered.map(({ instance }) => instance.id) },
            [
                ...rows.map(({ name, count, percentilesMs, maxMs }) =>
                    `${name}: ${count} requests, `
                    + Object.entries(percentilesMs).map(([label, ms]) => `${label} ${ms.toFixed(1)} ms`).join(", ")
                    + `, max ${maxMs.toFixed(1)} ms`
                ),
                ...(rows.length === 0 ? ["no requests recorded"] : []),
                ...unanswered.map(({ instance, problem }) => `${instance.id}: ${problem}`),
            ],
        );
        return ok(undefined);
    });
}
