import { create } from "@bufbuild/protobuf";
import type { Clock } from "@trefoilladder/clock";
import { ReportEvidenceResponseSchema } from "@trefoilladder/protocol";
import type { EjectionDecision, ReportEvidenceRequest, ReportEvidenceResponse } from "@trefoilladder/protocol";
import type { Telemetry } from "@trefoilladder/telemetry";
import { consecutiveEjections, ejectionTime } from "./ejection-backoff";
import type { EjectionHistory } from "./ejection-backoff";
import { isEjection, selectEjections } from "./ejection-decisions";
import type { Ejection, EjectionCandidate } from "./ejection-decisions";
import type { FloorTarget } from "./ejection-floor";
import { toDecision } from "./evidence-report";
import { badRatio, countBadAttempts, slowRatio } from "./outlier-detection";
import type { EvidenceTotals } from "./outlier-detection";
import type { RandomSource } from "./random-source";
import { assessReports } from "./report-assessment";
import type { ReceivedReport, ReportAssessment } from "./report-assessment";
import { longestWindow, resolveRoutingPolicy } from "./routing-policy";
import type { RoutingPolicy } from "./routing-policy";

/** Decides which targets of a service are ejected, from the evidence of all instances. */
export interface EjectionCoordinator {
    /** Records the evidence of an instance and returns the decisions in force. */
    handleReport(request: Omit<ReportEvidenceRequest, "$typeName">): ReportEvidenceResponse;
}

/** Options of an ejection coordinator. */
export interface EjectionCoordinatorOptions {
    service: string;
    clock: Clock;
    random: RandomSource;
    /** Returns the targets of the service that the coordinator's instance lists now. */
    targets(): readonly FloorTarget[];
    telemetry?: Telemetry;
    /** Fields that differ from the default policy. */
    policy?: Partial<RoutingPolicy>;
}

interface DomainProbe {
    reportedAt: number;
    healthy: boolean;
}

/** A candidate with the domains whose instances have to avoid the target; empty for the whole fleet. */
interface DomainCandidate extends EjectionCandidate {
    domains: readonly string[];
}

/**
 * Time in milliseconds for which a new coordinator only adopts the reported decisions in force. Every instance reports
 * within 500 ms, and one report may be lost.
 */
const adoptionMs = 1_250;
/** Time in milliseconds after the end of an ejection at which a target returns without probe results. */
const unprobedReturnMs = 10_000;
/** Interval between two reports of an instance in milliseconds. */
const reportIntervalMs = 500;
/** Minimum time between two decisions in milliseconds, which limits their cost when many instances report. */
const decisionIntervalMs = 100;
/** Minimum bad or slow attempts in a domain, and minimum ratio of bad ones, to corroborate a fleet-wide finding. */
const minCorroboratingAttempts = 2;
const minCorroboratingBadRatio = 0.15;

function corroborates(totals: EvidenceTotals): boolean {
    return countBadAttempts(totals) >= minCorroboratingAttempts && badRatio(totals) >= minCorroboratingBadRatio
        || totals.slow >= minCorroboratingAttempts && slowRatio(totals) >= 0.5;
}

/**
 * Returns the domains that have to avoid a target: empty for the whole fleet, undefined without a finding. The whole
 * fleet avoids a target with findings in two domains, or with a pooled finding that two domains corroborate. Evidence
 * from one domain may stem from a partition and applies to that domain only.
 */
export function affectedDomains(
    target: string,
    byDomain: ReadonlyMap<string, ReadonlyMap<string, ReportAssessment>>,
    pooled: ReportAssessment | undefined,
): readonly string[] | undefined {
    const domainsWithFinding = [...byDomain].filter(([, assessments]) => assessments.get(target)?.finding !== undefined)
        .map(([name]) => name);
    const corroboratingDomains = [...byDomain.values()].filter(assessments => {
        const totals = assessments.get(target)?.totals;
        return totals !== undefined && corroborates(totals);
    });
    if (domainsWithFinding.length >= 2 || pooled?.finding !== undefined && corroboratingDomains.length >= 2) {
        return [];
    }
    return domainsWithFinding.length === 1 ? domainsWithFinding : undefined;
}

/** Returns the domains of two merged decisions; decisions in two domains apply to the whole fleet. */
function mergeDomains(a: readonly string[], b: readonly string[]): readonly string[] {
    const merged = [...new Set([...a, ...b])];
    return a.length === 0 || b.length === 0 || merged.length > 1 ? [] : merged;
}

/** Creates the coordinator of a service. */
export function createEjectionCoordinator(options: EjectionCoordinatorOptions): EjectionCoordinator {
    const { service, clock, random, telemetry } = options;
    const policy = resolveRoutingPolicy(options.policy);
    const histories = new Map<string, EjectionHistory>();
    const coldTargets = new Set<string>();
    /**
     * Monotonic time after which received rows of a target count. For one report interval after a return or the end of
     * a cold start, rows still cover the time before it.
     */
    const countedAfter = new Map<string, number>();
    const probes = new Map<string, Map<string, DomainProbe>>();
    let reports: ReceivedReport[] = [];
    let inForce = new Map<string, Ejection>();
    let startedAt: number | undefined;
    let decidedAt = -Infinity;
    let version = 0n;
    let floorReached = false;

    function adopt(decisions: readonly EjectionDecision[], now: number): void {
        for (const { target, domains, evidence, count, remainingMs } of decisions) {
            const current = inForce.get(target);
            inForce.set(target, {
                target,
                domains: current === undefined ? domains : mergeDomains(current.domains, domains),
                evidence,
                count: Math.max(count, current?.count ?? 1),
                endsAt: Math.max(now + remainingMs, current?.endsAt ?? -Infinity),
            });
        }
    }

    function recordReport(request: Omit<ReportEvidenceRequest, "$typeName">, now: number): void {
        const { incarnation, domain, targets: rows } = request;
        reports = reports.filter(({ receivedAt }) => now - receivedAt <= longestWindow(policy));
        reports.push({ incarnation, domain, receivedAt: now, rows });
        for (const row of rows.filter(({ probes: probeCount }) => probeCount > 0)) {
            const targetProbes = probes.get(row.target) ?? new Map<string, DomainProbe>();
            probes.set(row.target, targetProbes.set(domain, { reportedAt: now, healthy: row.probeFailures === 0 }));
        }
    }

    function hasEnded(ejection: Ejection, now: number): boolean {
        if (now < ejection.endsAt) {
            return false;
        }
        const recent = [...probes.get(ejection.target) ?? []]
            .filter(([domain, { reportedAt }]) =>
                now - reportedAt <= 2 * policy.probeIntervalMs + policy.probeTimeoutMs
                && (ejection.domains.length === 0 || ejection.domains.includes(domain))
            )
            .map(([, probe]) => probe);
        if (recent.length > 0) {
            return recent.every(({ healthy }) => healthy);
        }
        return ejection.domains.length > 0 || now >= ejection.endsAt + unprobedReturnMs;
    }

    function trackColdTargets(targets: readonly FloorTarget[], now: number): void {
        for (const target of targets) {
            if (target.cold) {
                coldTargets.add(target.id);
            }
            else if (coldTargets.delete(target.id)) {
                countedAfter.set(target.id, now + reportIntervalMs);
            }
        }
    }

    function findCandidates(targets: readonly FloorTarget[], now: number): DomainCandidate[] {
        const context = { countedAfter, now, windowsMs: policy.windowsMs };
        const domains = [...new Set(reports.map(({ domain }) => domain))];
        const byDomain = new Map(domains.map(name => {
            const domainReports = reports.filter(({ domain }) => domain === name);
            return [name, assessReports(domainReports, targets, context)];
        }));
        const pooled = assessReports(reports, targets, context);
        return targets.flatMap(({ id }) => {
            const affected = affectedDomains(id, byDomain, pooled.get(id));
            const finding = pooled.get(id)?.finding
                ?? [...byDomain.values()].map(assessments => assessments.get(id)?.finding).find(found =>
                    found !== undefined
                );
            return affected === undefined || finding === undefined
                ? []
                : [{ target: id, evidence: finding.kind, severity: finding.severity, domains: affected }];
        });
    }

    function startEjection(candidate: DomainCandidate, now: number): Ejection {
        const { target, evidence, domains } = candidate;
        const count = consecutiveEjections(histories.get(target), now, policy) + 1;
        const ejection = { target, domains, evidence, count, endsAt: now + ejectionTime(count, policy, random) };
        telemetry?.stateChange("fleet_ejected_target", {
            service,
            target,
            evidence,
            count,
            domains: domains.join(",") || "all",
        });
        return ejection;
    }

    function endEjection(ejection: Ejection, now: number, reason: string): void {
        histories.set(ejection.target, { count: ejection.count, returnedAt: now });
        countedAfter.set(ejection.target, now + reportIntervalMs);
        telemetry?.stateChange("fleet_returned_target", { service, target: ejection.target, reason });
    }

    function decide(now: number, adopting: boolean): void {
        const targets = options.targets();
        trackColdTargets(targets, now);
        const remaining: Ejection[] = [];
        for (const ejection of inForce.values()) {
            if (!adopting && hasEnded(ejection, now)) {
                endEjection(ejection, now, "probes succeeded");
            }
            else {
                remaining.push(ejection);
            }
        }
        const candidates = adopting ? [] : findCandidates(targets, now);
        const widened = remaining.map(ejection => {
            const candidate = candidates.find(({ target }) => target === ejection.target);
            return candidate === undefined
                ? ejection
                : { ...ejection, domains: mergeDomains(ejection.domains, candidate.domains) };
        });
        const { accepted, rejected } = selectEjections(widened, candidates, targets, policy.minHealthyFraction);
        const byTarget = new Map(candidates.map(candidate => [candidate.target, candidate]));
        rejected.filter(isEjection).forEach(ejection => endEjection(ejection, now, "floor"));
        inForce = new Map(accepted.map(element => [
            element.target,
            isEjection(element) ? element : startEjection(byTarget.get(element.target)!, now),
        ]));
        reportFloorState(rejected.length);
        version += 1n;
    }

    function reportFloorState(keptInUse: number): void {
        if (floorReached !== keptInUse > 0) {
            floorReached = keptInUse > 0;
            telemetry?.stateChange(floorReached ? "fleet_ejection_floor_reached" : "fleet_ejection_floor_left", {
                service,
                keptInUse,
            });
        }
        telemetry?.gauge("coordinator.kept_by_floor", keptInUse, { service });
    }

    return {
        handleReport(request) {
            const now = clock.now();
            startedAt ??= now;
            const adopting = now - startedAt < adoptionMs;
            if (adopting) {
                adopt(request.inForce, now);
            }
            recordReport(request, now);
            if (adopting || now - decidedAt >= decisionIntervalMs) {
                decidedAt = now;
                decide(now, adopting);
            }
            return create(ReportEvidenceResponseSchema, {
                isCoordinator: true,
                decisions: [...inForce.values()].map(ejection => toDecision(ejection, now)),
                version,
                floorReached,
            });
        },
    };
}
