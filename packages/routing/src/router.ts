import { createMonotonicClock } from "@trefoilladder/clock";
import type { Clock } from "@trefoilladder/clock";
import { instanceRole, instanceState } from "@trefoilladder/platform";
import type { ListedInstance } from "@trefoilladder/platform";
import type { EjectionDecision, ReportEvidenceResponse, TargetEvidence } from "@trefoilladder/protocol";
import type { Telemetry } from "@trefoilladder/telemetry";
import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";
import { randomInt } from "node:crypto";
import type { Attempt, SlotRequest } from "./attempt";
import { attemptOutcome } from "./attempt";
import { trackProgress } from "./attempt-progress";
import { appliesToDomain } from "./ejection-decisions";
import type { Ejection } from "./ejection-decisions";
import { countHealthy, minimumHealthy } from "./ejection-floor";
import type { FloorTarget } from "./ejection-floor";
import { collectRow, toDecision } from "./evidence-report";
import type { EvidenceSample } from "./evidence-window";
import { probeHealth } from "./health-probe";
import { adjustInFlightLimit } from "./in-flight-limit";
import { decideLocalEjections, selectFleetEjections } from "./local-ejections";
import { assignProbers, isProbeDue } from "./prober-assignment";
import type { ProbingMember } from "./prober-assignment";
import { createRandomSource } from "./random-source";
import type { RandomSource } from "./random-source";
import { RoutingFailure } from "./routing-failure";
import { resolveRoutingPolicy } from "./routing-policy";
import type { RoutingPolicy } from "./routing-policy";
import { createServiceState } from "./service-state";
import type { ServiceState, SlotWaiter } from "./service-state";
import type { Target } from "./target";
import { assessTargets } from "./target-assessment";
import type { TargetAssessment } from "./target-assessment";
import { chooseTarget } from "./target-choice";
import { createTargetPool } from "./target-pool";
import {
    createTargetState,
    isCold,
    isLeaving,
    isUsable,
    markDraining,
    originOf,
    trafficShare,
    usableSlots,
} from "./target-state";
import type { TargetState } from "./target-state";

/** State of a target at this instance. */
export interface TargetView extends Target {
    leaving: boolean;
    cold: boolean;
    ejected: boolean;
    inFlight: number;
    /** Slots that this instance may use on the target now. */
    slots: number;
}

/** Evidence of one instance on the targets of a service since the previous collection. */
export interface EvidenceReport {
    intervalMs: number;
    targets: TargetEvidence[];
    /** Ejections in force at this instance. */
    inForce: EjectionDecision[];
}

/** Chooses targets for requests and limits the requests in flight on each. */
export interface Router {
    /** Replaces the targets with those of the platform's list. */
    updateTargets(instances: readonly ListedInstance[]): void;
    /** Waits for a slot on a target; fails if none becomes free before the deadline. */
    acquire(request: SlotRequest): Promise<Result<Attempt, RoutingFailure>>;
    /** Replaces the entry instances that share the probing of targets; without any, this instance probes all. */
    setProbingMembers(members: readonly ProbingMember[]): void;
    /** Returns the services that have listed targets. */
    services(): string[];
    /** Returns the listed targets of a service. */
    targets(service: string): TargetView[];
    /** Returns the ejections in force for a service, either the coordinator's or this instance's own. */
    ejections(service: string): EjectionDecision[];
    /** Returns the evidence collected since the previous call for the service. */
    collectEvidence(service: string): EvidenceReport;
    /** Applies the decisions of a service's coordinator; ignores responses of other instances. */
    applyDecisions(service: string, response: Omit<ReportEvidenceResponse, "$typeName">): void;
    close(): Promise<void>;
}

/** Options of the router. */
export interface RouterOptions {
    /** @default the clock of the process */
    clock?: Clock;
    /** Without it, the router emits no metrics or state changes. */
    telemetry?: Telemetry;
    /** @default a source with a random seed */
    random?: RandomSource;
    /**
     * This instance, for the assignment of probers and for decisions that apply to a single failure domain.
     * @default an instance without id and domain
     */
    self?: ProbingMember;
    /** Fields that differ from the default policy. */
    policy?: Partial<RoutingPolicy>;
    /**
     * Creates the connection pool of a target.
     * @default an undici pool
     */
    createPool?: typeof createTargetPool;
}

/** Weight of the latest request in the moving average of the time that a request holds a slot. */
const holdWeight = 0.1;
/** Maximum pause after a shed response, so that a wrong Retry-After cannot exclude a target for long. */
const maxPauseMs = 60_000;
/** Time for which the floor still counts as reached, so that one incident is one state change. */
const floorReachedHoldMs = 5_000;

/** Creates a router without targets. It evaluates evidence and probes targets from the first update until closed. */
export function createRouter(options: RouterOptions = {}): Router {
    const clock = options.clock ?? createMonotonicClock();
    const random = options.random ?? createRandomSource(randomInt(2 ** 31));
    const self = options.self ?? { id: "", domain: "" };
    const policy = resolveRoutingPolicy(options.policy);
    const { telemetry, createPool = createTargetPool } = options;
    const services = new Map<string, ServiceState>();
    const removedTargets = new Set<TargetState>();
    let members: readonly ProbingMember[] = [];
    let evaluationLoop: Promise<void> | undefined;
    let evaluationDelay = new AbortController();
    let closed = false;

    function floorTargets(service: ServiceState, now: number): FloorTarget[] {
        return [...service.targets.values()].map(state => ({
            id: state.target.id,
            leaving: isLeaving(state, now),
            cold: isCold(state, now),
        }));
    }

    function ejectionsInForce(service: ServiceState, now: number): EjectionDecision[] {
        const ejections = service.fleetDecisions?.ejections
            ?? [...service.localEjections.values()].map(ejection => ({ ...ejection, domains: [self.domain] }));
        return ejections.map(ejection => toDecision(ejection, now));
    }

    function isProber(target: string): boolean {
        return members.length === 0 || assignProbers(target, members).some(({ id }) => id === self.id);
    }

    // Slots

    function tryAcquire(service: ServiceState, request: SlotRequest): Attempt | undefined {
        const now = clock.now();
        const candidates = [...service.targets.values()]
            .filter(state =>
                isUsable(state, now) && now >= state.pausedUntil && !request.excludedTargets.has(state.target.id)
            )
            .map(state => ({
                state,
                inFlight: state.inFlight,
                slots: usableSlots(state, now, policy),
                share: trafficShare(state, now, policy),
            }))
            .filter(({ inFlight, slots }) => inFlight < slots);
        const established = request.idempotent === false ? candidates.filter(({ share }) => share === 1) : [];
        const choice = chooseTarget(established.length > 0 ? established : candidates, random);
        return choice === undefined ? undefined : startAttempt(service, choice.state, request);
    }

    function startAttempt(service: ServiceState, state: TargetState, request: SlotRequest): Attempt {
        const startedAt = clock.now();
        const { dispatcher, progress } = trackProgress(state.pool.dispatcher(), clock);
        let released = false;
        state.inFlight += 1;
        state.lastTrafficAt = startedAt;
        state.pendingAttempts.add(progress);
        return {
            target: state.target,
            dispatcher,
            release(report) {
                if (released) {
                    return;
                }
                released = true;
                const now = clock.now();
                const measured = { ...report, headersMs: progress.headersMs ?? report.headersMs };
                state.limit = adjustInFlightLimit(state.limit, measured, {
                    now,
                    inFlight: state.inFlight,
                    max: policy.maxInFlight,
                });
                state.inFlight -= 1;
                state.pendingAttempts.delete(progress);
                state.evidenceWindow.add({
                    startedAt,
                    endedAt: now,
                    outcome: report.outcome,
                    headersMs: measured.headersMs,
                });
                if (report.draining === true) {
                    startDraining(state, "response");
                }
                if (report.outcome === attemptOutcome.shed) {
                    const pauseMs = Math.min(maxPauseMs, report.retryAfterMs ?? policy.shedPauseMs);
                    state.pausedUntil = Math.max(state.pausedUntil, now + pauseMs);
                }
                service.averageHoldMs += holdWeight * (now - startedAt - service.averageHoldMs);
                service.queue.releaseSlot(request.organisation);
                serveWaiters(service);
            },
        };
    }

    function startDraining(state: TargetState, source: string): void {
        const now = clock.now();
        if (!isLeaving(state, now)) {
            telemetry?.stateChange("target_leaving", { target: state.target.id, source });
        }
        markDraining(state, now, policy);
    }

    function serveWaiters(service: ServiceState): void {
        if (service.queue.size === 0) {
            return;
        }
        service.queue.serveAll(waiter => {
            const attempt = tryAcquire(service, waiter.request);
            if (attempt !== undefined) {
                waiter.grant(attempt);
            }
            return attempt !== undefined;
        });
    }

    /** Returns the expected wait of a new waiter of the organisation in milliseconds. */
    function expectedWait(service: ServiceState, request: SlotRequest, usable: readonly TargetState[]): number {
        const now = clock.now();
        const pauseMs = Math.max(0, Math.min(...usable.map(state => state.pausedUntil)) - now);
        const slots = usable.reduce((sum, state) => sum + usableSlots(state, now, policy), 0);
        return pauseMs + service.queue.countWaitersAhead(request.organisation) * service.averageHoldMs / slots;
    }

    function waitForSlot(service: ServiceState, request: SlotRequest): Promise<Result<Attempt, RoutingFailure>> {
        return new Promise(resolve => {
            const timer = new AbortController();
            const settle = (result: Result<Attempt, RoutingFailure>) => {
                request.signal.removeEventListener("abort", cancel);
                timer.abort();
                resolve(result);
            };
            const waiter: SlotWaiter = {
                organisation: request.organisation,
                request,
                grant: attempt => settle(ok(attempt)),
                reject: failure => settle(err(failure)),
            };
            const cancel = () => {
                service.queue.remove(waiter);
                waiter.reject(new RoutingFailure("cancelled", "the caller went away"));
            };
            request.signal.addEventListener("abort", cancel, { once: true });
            void clock.sleep(request.deadlineAt - clock.now(), timer.signal).then(() => {
                if (!timer.signal.aborted) {
                    service.queue.remove(waiter);
                    waiter.reject(new RoutingFailure("deadline_too_short", "no slot came before the deadline"));
                }
            });
            const displaced = service.queue.push(waiter);
            displaced?.reject(new RoutingFailure("queue_full", "too many requests wait for the service"));
            serveWaiters(service);
        });
    }

    // Evidence and ejection

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
                    .filter(ejection => appliesToDomain(ejection, self.domain))
                    .map(ejection => [ejection.target, { ...ejection, domains: [] }]),
            );
            service.fleetDecisions = undefined;
        }
        const decision = service.fleetDecisions !== undefined
            ? selectFleetEjections(service.fleetDecisions, self.domain, targets, policy.minHealthyFraction)
            : decideLocalEjections({
                inForce: [...service.localEjections.values()],
                assessments: assessService(service, now),
                targetStates: service.targets,
                targets,
                isProber,
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
        serveWaiters(service);
    }

    // Probing

    async function probe(service: ServiceState, state: TargetState): Promise<void> {
        state.probeInProgress = true;
        state.lastProbeAt = clock.now();
        const result = await probeHealth(state.pool.dispatcher(), policy.probeTimeoutMs);
        const now = clock.now();
        state.probeInProgress = false;
        state.probes += 1;
        state.probeFailures += result.healthy ? 0 : 1;
        state.lastProbeFailed = !result.healthy;
        if (result.healthy) {
            state.lastProbeSucceededAt = now;
        }
        // The health endpoint may be wrong, so it alone cannot reduce the healthy targets below the floor.
        const targets = floorTargets(service, now);
        const ejected = new Set([...service.targets.values()].filter(other => other.ejected).map(s => s.target.id));
        if (
            result.draining
            && countHealthy(targets, ejected) > minimumHealthy(targets.length, policy.minHealthyFraction)
        ) {
            startDraining(state, "health");
        }
    }

    function probeTargets(service: ServiceState): void {
        const now = clock.now();
        for (const state of service.targets.values()) {
            const due = !state.probeInProgress && !isLeaving(state, now)
                && isProbeDue({ ...state, cold: isCold(state, now) }, now, policy.probeIntervalMs);
            if (due && isProber(state.target.id)) {
                void probe(service, state);
            }
        }
    }

    async function runEvaluationLoop(): Promise<void> {
        while (!closed) {
            for (const service of services.values()) {
                evaluate(service);
                probeTargets(service);
            }
            evaluationDelay = new AbortController();
            await clock.sleep(policy.evaluationIntervalMs, evaluationDelay.signal);
        }
    }

    // Targets

    function getOrCreateService(name: string): ServiceState {
        let service = services.get(name);
        if (service === undefined) {
            service = createServiceState(name, clock.now(), policy.maxWaitingRequests);
            services.set(name, service);
        }
        return service;
    }

    function removeTarget(service: ServiceState, state: TargetState): void {
        service.targets.delete(state.target.id);
        service.localEjections.delete(state.target.id);
        removedTargets.add(state);
        state.pool.close();
    }

    function updateTarget(instance: ListedInstance, knownServices: ReadonlySet<string>): void {
        const service = getOrCreateService(instance.service ?? "");
        const previous = service.targets.get(instance.id);
        if (previous !== undefined && previous.target.origin === originOf(instance)) {
            previous.listedLeaving = instance.state === instanceState.leaving;
            return;
        }
        if (previous !== undefined) {
            removeTarget(service, previous);
        }
        // At startup, other instances already use the targets of a service that is new to this instance.
        const cold = knownServices.has(service.name);
        service.targets.set(instance.id, createTargetState(instance, { now: clock.now(), cold, policy, createPool }));
    }

    function findService(request: SlotRequest): Result<ServiceState, RoutingFailure> {
        const now = clock.now();
        const service = services.get(request.service);
        const usable = [...service?.targets.values() ?? []]
            .filter(state => isUsable(state, now) && !request.excludedTargets.has(state.target.id));
        if (request.signal.aborted) {
            return err(new RoutingFailure("cancelled", "the caller went away"));
        }
        if (service === undefined || usable.length === 0) {
            return err(new RoutingFailure("no_target", "no target of the service is available"));
        }
        if (request.deadlineAt <= now || now + expectedWait(service, request, usable) > request.deadlineAt) {
            return err(new RoutingFailure("deadline_too_short", "the wait for a slot would outlast the deadline"));
        }
        return ok(service);
    }

    return {
        updateTargets(instances) {
            const knownServices = new Set(services.keys());
            const listed = new Map(
                instances.filter(({ role }) => role === instanceRole.target).map(instance => [instance.id, instance]),
            );
            for (const service of services.values()) {
                for (const state of [...service.targets.values()]) {
                    if (listed.get(state.target.id)?.service !== state.target.service) {
                        removeTarget(service, state);
                    }
                }
            }
            for (const instance of listed.values()) {
                updateTarget(instance, knownServices);
            }
            for (const service of services.values()) {
                evaluate(service);
            }
            evaluationLoop ??= runEvaluationLoop();
        },
        async acquire(request) {
            const found = findService(request);
            if (found.isErr()) {
                return err(found.error);
            }
            const service = found.value;
            const attempt = service.queue.size === 0 ? tryAcquire(service, request) : undefined;
            if (attempt !== undefined) {
                service.queue.recordSlot(request.organisation);
                return ok(attempt);
            }
            return waitForSlot(service, request);
        },
        setProbingMembers(next) {
            members = next;
        },
        services: () => [...services.values()].filter(({ targets }) => targets.size > 0).map(({ name }) => name),
        targets(service) {
            const now = clock.now();
            return [...services.get(service)?.targets.values() ?? []].map(state => ({
                ...state.target,
                leaving: isLeaving(state, now),
                cold: isCold(state, now),
                ejected: state.ejected,
                inFlight: state.inFlight,
                slots: usableSlots(state, now, policy),
            }));
        },
        collectEvidence(name) {
            const service = getOrCreateService(name);
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
                inForce: ejectionsInForce(service, now),
            };
        },
        ejections: name => ejectionsInForce(getOrCreateService(name), clock.now()),
        applyDecisions(name, response) {
            if (!response.isCoordinator) {
                return;
            }
            const service = getOrCreateService(name);
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
        async close() {
            closed = true;
            evaluationDelay.abort();
            await evaluationLoop;
            const states = [...services.values()].flatMap(({ targets }) => [...targets.values()]);
            await Promise.all([...states, ...removedTargets].map(({ pool }) => pool.destroy()));
        },
    };
}
