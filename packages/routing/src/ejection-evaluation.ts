/**
 * Evidence on the targets of a service, and the ejections that follow from it or from the coordinator.
 */

import type { Clock } from "@trefoilladder/clock";
import type { EjectionDecision, ReportEvidenceResponse, TargetEvidence } from "@trefoilladder/protocol";
import type { Telemetry } from "@trefoilladder/telemetry";
import { appliesToDomain } from "./ejection-decisions";
import type { Ejection } from "./ejection-decisions";
import { collectRow, toDecision } from "./evidence-report";
import type { EvidenceSample } from "./evidence-window";
import { decideLocalEjections, selectFleetEjections } from "./local-ejections";
import type { RandomSource } from "./random-source";
import type { RoutingPolicy } from "./routing-policy";
import { floorTargets } from "./service-state";
import type { ServiceState } from "./service-state";
import { assessTargets } from "./target-assessment";
import type { TargetAssessment } from "./target-assessment";
import { isCold } from "./target-state";
import type { TargetState } from "./target-state";

/** Evidence of one instance on the targets of a service since the previous collection. */
export interface EvidenceReport {
    intervalMs: number;
    targets: TargetEvidence[];
    /** Ejections in force at this instance. */
    inForce: EjectionDecision[];
}

/** Dependencies of the evaluation. */
export interface EvaluationParts {
    clock: Clock;
    telemetry: Telemetry | undefined;
    policy: RoutingPolicy;
    random: RandomSource;
    /** Failure domain of this instance. */
    domain: string;
    /** Returns whether this instance probes a target. */
    isProber(target: string): boolean;
    /** Called after each evaluation of a service. */
    evaluated(service: ServiceState): void;
}

/** Evaluation of the evidence. */
export interface EjectionEvaluation {
    /** Decides on the ejections of a service and puts them in force. */
    evaluate(service: ServiceState): void;
    /** Returns the ejections in force for a service. */
    inForce(service: ServiceState, now: number): EjectionDecision[];
    /** Returns the evidence collected since the previous call for the service. */
    collect(service: ServiceState): EvidenceReport;
    /** Applies the decisions of a service's coordinator. */
    apply(service: ServiceState, response: Omit<ReportEvidenceResponse, "$typeName">): void;
}

/** Time for which the floor still counts as reached, so that one incident is one state change. */
const floorReachedHoldMs = 5_000;

/** Creates the evaluation. */
export function createEjectionEvaluation(parts: EvaluationParts): EjectionEvaluation {
    const { clock, telemetry, policy, random, domain } = parts;

    function inForce(service: ServiceState, now: number): EjectionDecision[] {
        const ejections = service.fleetDecisions?.ejections
            ?? [...service.localEjections.values()].map(ejection => ({ ...ejection, domains: [domain] }));
        return ejections.map(ejection => toDecision(ejection, now));
    }

    /** Returns the samples of a target; a warm target's samples from its cold phase do not count. */
    function countedSamples(state: TargetState, now: number): readonly EvidenceSample[] {
        const samples = state.evidenceWindow.samples(now);
        return isCold(state, now) ? samples : samples.filter(({ startedAt }) => startedAt >= state.coldUntil);
    }

    function assessService(service: ServiceState, now: number): TargetAssessment[] {
        return assessTargets(
            [...service.targets.values()].map(state => ({
                id: state.target.id,
                cold: isCold(state, now),
                samples: countedSamples(state, now),
                pendingAttempts: state.pendingAttempts,
                probeFailed: state.lastProbeFailed,
            })),
            now,
            policy.windowsMs,
        );
    }

    function setEjected(service: ServiceState, state: TargetState, ejection: Ejection | undefined): void {
        const ejected = ejection !== undefined;
        if (state.ejected === ejected) {
            return;
        }
        const now = clock.now();
        const fields = { target: state.target.id, service: service.name };
        state.ejected = ejected;
        if (ejected) {
            telemetry?.count("routing.ejections", { service: service.name, evidence: ejection.evidence });
            telemetry?.stateChange("target_ejected", {
                ...fields,
                evidence: ejection.evidence,
                count: ejection.count,
                remainingMs: Math.max(0, Math.round(ejection.endsAt - now)),
            });
            return;
        }
        // Evidence from before the ejection would eject the target again before its first new request.
        state.evidenceWindow.clear();
        state.slowStartAt = now;
        telemetry?.stateChange("target_returned", fields);
    }

    function reportFloor(service: ServiceState, keptInUse: number, now: number): void {
        if (keptInUse > 0) {
            service.floorReachedUntil = now + floorReachedHoldMs;
        }
        const reached = now < service.floorReachedUntil;
        if (reached !== service.floorReached) {
            service.floorReached = reached;
            telemetry?.stateChange(reached ? "ejection_floor_reached" : "ejection_floor_left", {
                service: service.name,
                keptInUse,
            });
            telemetry?.gauge("routing.floor_reached", reached ? 1 : 0, { service: service.name });
        }
    }

    function evaluate(service: ServiceState): void {
        const now = clock.now();
        const targets = floorTargets(service, now);
        const fleetInForce = service.fleetDecisions !== undefined
            && now - service.fleetDecisions.receivedAt < policy.fleetDecisionMaxAgeMs;
        if (!fleetInForce && service.fleetDecisions !== undefined) {
            telemetry?.stateChange("ejection_coordinator_silent", { service: service.name });
            service.localEjections = new Map(
                service.fleetDecisions.ejections
                    .filter(ejection => appliesToDomain(ejection, domain))
                    .map(ejection => [ejection.target, { ...ejection, domains: [] }]),
            );
            service.fleetDecisions = undefined;
        }
        const decision = service.fleetDecisions !== undefined
            ? selectFleetEjections(service.fleetDecisions, domain, targets, policy.minHealthyFraction)
            : decideLocalEjections({
                inForce: [...service.localEjections.values()],
                assessments: assessService(service, now),
                targetStates: service.targets,
                targets,
                isProber: parts.isProber,
                now,
                policy,
                random,
            });
        service.localEjections = service.fleetDecisions === undefined ? decision.inForce : new Map();
        for (const state of service.targets.values()) {
            setEjected(service, state, decision.inForce.get(state.target.id));
        }
        reportFloor(service, decision.keptByFloor, now);
        telemetry?.gauge("routing.ejected", decision.inForce.size, { service: service.name });
        parts.evaluated(service);
    }

    return {
        evaluate,
        inForce,
        collect(service) {
            const now = clock.now();
            const since = service.evidenceCollectedAt;
            const totals = new Map(assessService(service, now).map(assessment => [assessment.id, assessment.totals]));
            const rows = [...service.targets.values()].map(state =>
                collectRow(state, totals.get(state.target.id)!, since, now)
            );
            service.evidenceCollectedAt = now;
            return {
                intervalMs: Math.round(now - since),
                targets: rows.filter(row => row.requests + row.overdue + row.probes > 0),
                inForce: inForce(service, now),
            };
        },
        apply(service, response) {
            const now = clock.now();
            service.fleetDecisions = {
                receivedAt: now,
                floorReached: response.floorReached,
                ejections: response.decisions.map(({ target, domains, evidence, count, remainingMs }) => ({
                    target,
                    domains,
                    evidence,
                    count,
                    endsAt: now + remainingMs,
                })),
            };
            evaluate(service);
        },
    };
}
