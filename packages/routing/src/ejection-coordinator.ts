import { create } from "@bufbuild/protobuf";
import type { Clock } from "@trefoilladder/clock";
import { ReportEvidenceResponseSchema } from "@trefoilladder/protocol";
import type { EjectionDecision, ReportEvidenceRequest, ReportEvidenceResponse } from "@trefoilladder/protocol";
import type { Telemetry } from "@trefoilladder/telemetry";
import { ejectionTime, rememberedCount } from "./ejection-backoff";
import type { EjectionHistory } from "./ejection-backoff";
import { fitEjections, isEjection } from "./ejection-decisions";
import type { Ejection, EjectionCandidate } from "./ejection-decisions";
import { toDecision } from "./evidence-report";
import type { FloorTarget } from "./floor";
import { badRatio, countBad, slowRatio } from "./judgement";
import type { EvidenceTotals } from "./judgement";
import type { RandomSource } from "./random-source";
import { longestWindow, resolveRoutingPolicy } from "./routing-policy";
import type { RoutingPolicy } from "./routing-policy";
import { judgeRows } from "./row-evidence";
import type { JudgedRows, ReceivedReport } from "./row-evidence";

/** Decides for a whole service which targets are ejected, from the evidence of all instances. */
export interface EjectionCoordinator {
    /** Takes the evidence of an instance and returns the decisions in force. */
    report(request: Omit<ReportEvidenceRequest, "$typeName">): ReportEvidenceResponse;
}

/** Options of a coordinator. */
export interface EjectionCoordinatorOptions {
    service: string;
    clock: Clock;
    random: RandomSource;
    /** Returns the listed targets of the service as the coordinator's instance sees them now. */
    targets(): readonly FloorTarget[];
    telemetry?: Telemetry;
    /** Fields that differ from the default policy. */
    policy?: Partial<RoutingPolicy>;
}

interface DomainProbe {
    at: number;
    healthy: boolean;
}

/** A candidate with the domains whose instances avoid the target; none means the whole fleet. */
interface DomainCandidate extends EjectionCandidate {
    domains: readonly string[];
}

/**
 * Time in milliseconds for which a new coordinator only adopts the decisions in force: every instance reports within
 * 500 ms, and one report may be lost.
 */
const adoptionMs = 1_250;
/** Time in milliseconds after the end of an ejection at which a target without any probe returns. */
const unprobedMs = 10_000;
/** Time in milliseconds between two reports of an instance. */
const reportIntervalMs = 500;
/** Time in milliseconds between two decisions, which bounds their cost when many instances report. */
const decisionMs = 100;
/** Bad or slow signs outside the worst domain that make the evidence that of more than one domain. */
const minSignsElsewhere = 2;
const minRatioElsewhere = 0.15;

function isBadElsewhere(totals: EvidenceTotals): boolean {
    return countBad(totals) >= minSignsElsewhere && badRatio(totals) >= minRatioElsewhere
        || totals.slow >= minSignsElsewhere && slowRatio(totals) >= 0.5;
}

/**
 * Returns the domains that have to avoid a target: none listed for the whole fleet, undefined when nothing speaks
 * against it. The whole fleet avoids a target that two domains find bad, or that all rows together find bad with signs
 * from two domains; one domain's evidence may stem from a partition and binds that domain only.
 */
export function domainsToAvoid(
    target: string,
    byDomain: ReadonlyMap<string, ReadonlyMap<string, JudgedRows>>,
    pooled: JudgedRows | undefined,
): readonly string[] | undefined {
    const found = [...byDomain].filter(([, judged]) => judged.get(target)?.finding !== undefined).map(([name]) => name);
    const withSigns = [...byDomain.values()].filter(judged => {
        const totals = judged.get(target)?.totals;
        return totals !== undefined && isBadElsewhere(totals);
    });
    if (found.length >= 2 || pooled?.finding !== undefined && withSigns.length >= 2) {
        return [];
    }
    return found.length === 1 ? found : undefined;
}

/** Returns the domains of a decision to which another domain's finding was added; two domains bind the whole fleet. */
function mergeDomains(a: readonly string[], b: readonly string[]): readonly string[] {
    const merged = [...new Set([...a, ...b])];
    return a.length === 0 || b.length === 0 || merged.length > 1 ? [] : merged;
}

/** Creates the coordinator of a service. */
export function createEjectionCoordinator(options: EjectionCoordinatorOptions): EjectionCoordinator {
    const { service, clock, random, telemetry } = options;
    const policy = resolveRoutingPolicy(options.policy);
    const histories = new Map<string, EjectionHistory>();
    const cold = new Set<string>();
    /**
     * Monotonic time after which rows of a target count. Rows on the time before a return or before the end of a cold
     * start arrive for one more report interval.
     */
    const since = new Map<string, number>();
    const probes = new Map<string, Map<string, DomainProbe>>();
    let reports: ReceivedReport[] = [];
    let inForce = new Map<string, Ejection>();
    let startedAt: number | undefined;
    let decidedAt = -Infinity;
    let version = 0n;
    let floorReached = false;

    function adopt(decisions: readonly EjectionDecision[], now: number): void {
        for (const { target, domains, evidence, count, remainingMs } of decisions) {
            const known = inForce.get(target);
            inForce.set(target, {
                target,
                domains: known === undefined ? domains : mergeDomains(known.domains, domains),
                evidence,
                count: Math.max(count, known?.count ?? 1),
                until: Math.max(now + remainingMs, known?.until ?? -Infinity),
            });
        }
    }

    function receive(request: Omit<ReportEvidenceRequest, "$typeName">, now: number): void {
        const { incarnation, domain, targets: rows } = request;
        reports = reports.filter(({ at }) => now - at <= longestWindow(policy));
        reports.push({ incarnation, domain, at: now, rows });
        for (const row of rows.filter(({ probes: sent }) => sent > 0)) {
            const ofTarget = probes.get(row.target) ?? new Map<string, DomainProbe>();
            probes.set(row.target, ofTarget.set(domain, { at: now, healthy: row.probeFailures === 0 }));
        }
    }

    function isOver(ejection: Ejection, now: number): boolean {
        if (now < ejection.until) {
            return false;
        }
        const recent = [...probes.get(ejection.target) ?? []]
            .filter(([domain, { at }]) =>
                now - at <= 2 * policy.probeIntervalMs + policy.probeTimeoutMs
                && (ejection.domains.length === 0 || ejection.domains.includes(domain))
            )
            .map(([, probe]) => probe);
        if (recent.length > 0) {
            return recent.every(({ healthy }) => healthy);
        }
        return ejection.domains.length > 0 || now >= ejection.until + unprobedMs;
    }

    function noteWarmTargets(targets: readonly FloorTarget[], now: number): void {
        for (const target of targets) {
            if (target.cold) {
                cold.add(target.id);
            }
            else if (cold.delete(target.id)) {
                since.set(target.id, now + reportIntervalMs);
            }
        }
    }

    function findCandidates(targets: readonly FloorTarget[], now: number): DomainCandidate[] {
        const context = { since, now, windowsMs: policy.windowsMs };
        const domains = [...new Set(reports.map(({ domain }) => domain))];
        const byDomain = new Map(domains.map(name => {
            const own = reports.filter(({ domain }) => domain === name);
            return [name, judgeRows(own, targets, context)];
        }));
        const pooled = judgeRows(reports, targets, context);
        return targets.flatMap(({ id }) => {
            const avoiding = domainsToAvoid(id, byDomain, pooled.get(id));
            const finding = pooled.get(id)?.finding
                ?? [...byDomain.values()].map(judged => judged.get(id)?.finding).find(found => found !== undefined);
            return avoiding === undefined || finding === undefined
                ? []
                : [{ target: id, evidence: finding.kind, severity: finding.severity, domains: avoiding }];
        });
    }

    function startEjection(candidate: DomainCandidate, now: number): Ejection {
        const { target, evidence, domains } = candidate;
        const count = rememberedCount(histories.get(target), now, policy) + 1;
        const ejection = { target, domains, evidence, count, until: now + ejectionTime(count, policy, random) };
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
        since.set(ejection.target, now + reportIntervalMs);
        telemetry?.stateChange("fleet_returned_target", { service, target: ejection.target, reason });
    }

    function decide(now: number, adopting: boolean): void {
        const targets = options.targets();
        noteWarmTargets(targets, now);
        const remaining: Ejection[] = [];
        for (const ejection of inForce.values()) {
            if (!adopting && isOver(ejection, now)) {
                endEjection(ejection, now, "probes succeeded");
            }
            else {
                remaining.push(ejection);
            }
        }
        const candidates = adopting ? [] : findCandidates(targets, now);
        const widened = remaining.map(ejection => {
            const more = candidates.find(({ target }) => target === ejection.target);
            return more === undefined
                ? ejection
                : { ...ejection, domains: mergeDomains(ejection.domains, more.domains) };
        });
        const { accepted, refused } = fitEjections(widened, candidates, targets, policy.floor);
        const byTarget = new Map(candidates.map(candidate => [candidate.target, candidate]));
        refused.filter(isEjection).forEach(ejection => endEjection(ejection, now, "floor"));
        inForce = new Map(accepted.map(element => [
            element.target,
            isEjection(element) ? element : startEjection(byTarget.get(element.target)!, now),
        ]));
        reportFloor(refused.length);
        version += 1n;
    }

    function reportFloor(keptInUse: number): void {
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
        report(request) {
            const now = clock.now();
            startedAt ??= now;
            const adopting = now - startedAt < adoptionMs;
            if (adopting) {
                adopt(request.inForce, now);
            }
            receive(request, now);
            if (adopting || now - decidedAt >= decisionMs) {
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
