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
import { observeProgress } from "./attempt-progress";
import { bindsDomain } from "./ejection-decisions";
import type { Ejection } from "./ejection-decisions";
import { collectRow, toDecision } from "./evidence-report";
import type { EvidenceSample } from "./evidence-window";
import { countHealthy, minimumHealthy } from "./floor";
import type { FloorTarget } from "./floor";
import { probeHealth } from "./health-probe";
import { adjustInFlightLimit } from "./in-flight-limit";
import { decideOwnEjections, decideWithFleet } from "./own-ejections";
import { probeIsDue, probersOf } from "./probing-duty";
import type { ProbingMember } from "./probing-duty";
import { createRandomSource } from "./random-source";
import type { RandomSource } from "./random-source";
import { RoutingFailure } from "./routing-failure";
import { resolveRoutingPolicy } from "./routing-policy";
import type { RoutingPolicy } from "./routing-policy";
import { judgeService } from "./service-evidence";
import type { JudgedTarget } from "./service-evidence";
import { createServiceState } from "./service-state";
import type { ServiceState, SlotWaiter } from "./service-state";
import type { Target } from "./target";
import { chooseTarget } from "./target-choice";
import { createTargetPool } from "./target-pool";
import {
    createTargetState,
    isCold,
    isLeaving,
    isUsable,
    markDraining,
    originOf,
    shareOf,
    slotsOf,
} from "./target-state";
import type { TargetState } from "./target-state";

/** A target as this instance sees it. */
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

/** Chooses targets and bounds the work in flight on each. */
export interface Router {
    /** Replaces the known targets by those of the platform's list. */
    update(instances: readonly ListedInstance[]): void;
    /** Waits for a slot on a target; fails when none comes in time. */
    acquire(request: SlotRequest): Promise<Result<Attempt, RoutingFailure>>;
    /** Replaces the entry instances between which the probing of targets is divided; without any, this one probes all. */
    setMembers(members: readonly ProbingMember[]): void;
    /** Returns the services that have listed targets. */
    services(): string[];
    /** Returns the listed targets of a service. */
    targets(service: string): TargetView[];
    /** Returns the ejections in force for a service, the coordinator's or this instance's own. */
    ejections(service: string): EjectionDecision[];
    /** Returns the evidence since the previous call for the service. */
    collectEvidence(service: string): EvidenceReport;
    /** Puts the decisions of a service's coordinator in force; an answer of another instance changes nothing. */
    applyDecisions(service: string, response: Omit<ReportEvidenceResponse, "$typeName">): void;
    close(): Promise<void>;
}

/** Options of the router. */
export interface RouterOptions {
    /** @default the clock of the process */
    clock?: Clock;
    /** Gauges and state changes are dropped without it. */
    telemetry?: Telemetry;
    /** @default a source with a random seed */
    random?: RandomSource;
    /**
     * This instance, for probing duty and for decisions that bind one failure domain only.
     * @default an instance without id and domain
     */
    self?: ProbingMember;
    /** Fields that differ from the default policy. */
    policy?: Partial<RoutingPolicy>;
    /**
     * Creates the connections to a target.
     * @default a pool of undici
     */
    createPool?: typeof createTargetPool;
}

/** Weight of the newest request in the average time that a request holds a slot. */
const holdWeight = 0.1;
/** Longest pause after a shed response, so that a wrong Retry-After cannot keep a target unused for long. */
const maxPauseMs = 60_000;
/** Time for which the floor still counts as reached, so that one bad episode is one state change. */
const floorReportMs = 5_000;

/** Creates a router without targets. It evaluates its evidence and probes until it is closed. */
export function createRouter(options: RouterOptions = {}): Router {
    const clock = options.clock ?? createMonotonicClock();
    const random = options.random ?? createRandomSource(randomInt(2 ** 31));
    const self = options.self ?? { id: "", domain: "" };
    const policy = resolveRoutingPolicy(options.policy);
    const { telemetry, createPool = createTargetPool } = options;
    const services = new Map<string, ServiceState>();
    const removed = new Set<TargetState>();
    let members: readonly ProbingMember[] = [];
    let evaluating: Promise<void> | undefined;
    let pause = new AbortController();
    let closed = false;

    function floorTargets(service: ServiceState, now: number): FloorTarget[] {
        return [...service.targets.values()].map(state => ({
            id: state.target.id,
            leaving: isLeaving(state, now),
            cold: isCold(state, now),
        }));
    }

    function ejectionsInForce(service: ServiceState, now: number): EjectionDecision[] {
        const ejections = service.fleet?.ejections
            ?? [...service.own.values()].map(ejection => ({ ...ejection, domains: [self.domain] }));
        return ejections.map(ejection => toDecision(ejection, now));
    }

    function isProber(target: string): boolean {
        return members.length === 0 || probersOf(target, members).some(({ id }) => id === self.id);
    }

    // Slots

    function take(service: ServiceState, request: SlotRequest): Attempt | undefined {
        const now = clock.now();
        const free = [...service.targets.values()]
            .filter(state => isUsable(state, now) && now >= state.pausedUntil && !request.excluded.has(state.target.id))
            .map(state => ({
                state,
                inFlight: state.inFlight,
                slots: slotsOf(state, now, policy),
                share: shareOf(state, now, policy),
            }))
            .filter(({ inFlight, slots }) => inFlight < slots);
        const established = request.idempotent === false ? free.filter(({ share }) => share === 1) : [];
        const choice = chooseTarget(established.length > 0 ? established : free, random);
        return choice === undefined ? undefined : startAttempt(service, choice.state, request);
    }

    function startAttempt(service: ServiceState, state: TargetState, request: SlotRequest): Attempt {
        const startedAt = clock.now();
        const { dispatcher, progress } = observeProgress(state.pool.dispatcher(), clock);
        let released = false;
        state.inFlight += 1;
        state.lastTrafficAt = startedAt;
        state.pending.add(progress);
        return {
            target: state.target,
            dispatcher,
            release(report) {
                if (released) {
                    return;
                }
                released = true;
                const now = clock.now();
                const observed = { ...report, headersMs: progress.headersMs ?? report.headersMs };
                state.limit = adjustInFlightLimit(state.limit, observed, {
                    now,
                    inFlight: state.inFlight,
                    max: policy.maxInFlight,
                });
                state.inFlight -= 1;
                state.pending.delete(progress);
                state.window.add({ startedAt, at: now, outcome: report.outcome, headersMs: observed.headersMs });
                if (report.draining === true) {
                    leave(state, "response");
                }
                if (report.outcome === attemptOutcome.shed) {
                    const pauseMs = Math.min(maxPauseMs, report.retryAfterMs ?? policy.shedPauseMs);
                    state.pausedUntil = Math.max(state.pausedUntil, now + pauseMs);
                }
                service.holdMs += holdWeight * (now - startedAt - service.holdMs);
                service.queue.release(request.organisation);
                serveWaiters(service);
            },
        };
    }

    function leave(state: TargetState, source: string): void {
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
            const attempt = take(service, waiter.request);
            if (attempt !== undefined) {
                waiter.grant(attempt);
            }
            return attempt !== undefined;
        });
    }

    /** Returns the time after which a waiter of the organisation expects a slot in milliseconds. */
    function expectedWait(service: ServiceState, request: SlotRequest, usable: readonly TargetState[]): number {
        const now = clock.now();
        const pauseMs = Math.max(0, Math.min(...usable.map(state => state.pausedUntil)) - now);
        const slots = usable.reduce((sum, state) => sum + slotsOf(state, now, policy), 0);
        return pauseMs + service.queue.countAhead(request.organisation) * service.holdMs / slots;
    }

    function wait(service: ServiceState, request: SlotRequest): Promise<Result<Attempt, RoutingFailure>> {
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
                refuse: failure => settle(err(failure)),
            };
            const cancel = () => {
                service.queue.remove(waiter);
                waiter.refuse(new RoutingFailure("cancelled", "the caller went away"));
            };
            request.signal.addEventListener("abort", cancel, { once: true });
            void clock.sleep(request.deadlineAt - clock.now(), timer.signal).then(() => {
                if (!timer.signal.aborted) {
                    service.queue.remove(waiter);
                    waiter.refuse(new RoutingFailure("deadline_too_short", "no slot came before the deadline"));
                }
            });
            const displaced = service.queue.push(waiter);
            displaced?.refuse(new RoutingFailure("queue_full", "too many requests wait for the service"));
            serveWaiters(service);
        });
    }

    // Evidence and ejection

    /** Returns the samples of a target; those from its cold time do not count once it is warm. */
    function samplesToJudge(state: TargetState, now: number): readonly EvidenceSample[] {
        const samples = state.window.samples(now);
        return isCold(state, now) ? samples : samples.filter(({ startedAt }) => startedAt >= state.coldUntil);
    }

    function judgeTargets(service: ServiceState, now: number): JudgedTarget[] {
        return judgeService(
            [...service.targets.values()].map(state => ({
                id: state.target.id,
                cold: isCold(state, now),
                samples: samplesToJudge(state, now),
                pending: state.pending,
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
                remainingMs: Math.max(0, Math.round(ejection.until - now)),
            });
            return;
        }
        // Old evidence would eject the target again before its first new request.
        state.window.clear();
        state.slowStartAt = now;
        telemetry?.stateChange("target_returned", fields);
    }

    function reportFloor(service: ServiceState, refused: number, now: number): void {
        if (refused > 0) {
            service.floorReachedUntil = now + floorReportMs;
        }
        const reached = now < service.floorReachedUntil;
        if (reached !== service.floorReached) {
            service.floorReached = reached;
            telemetry?.stateChange(reached ? "ejection_floor_reached" : "ejection_floor_left", {
                service: service.name,
                keptInUse: refused,
            });
            telemetry?.gauge("routing.floor_reached", reached ? 1 : 0, { service: service.name });
        }
    }

    function evaluate(service: ServiceState): void {
        const now = clock.now();
        const targets = floorTargets(service, now);
        const fleetInForce = service.fleet !== undefined && now - service.fleet.receivedAt < policy.fleetDecisionMs;
        if (!fleetInForce && service.fleet !== undefined) {
            telemetry?.stateChange("ejection_coordinator_silent", { service: service.name });
            service.own = new Map(
                service.fleet.ejections
                    .filter(ejection => bindsDomain(ejection, self.domain))
                    .map(ejection => [ejection.target, { ...ejection, domains: [] }]),
            );
            service.fleet = undefined;
        }
        const outcome = service.fleet !== undefined
            ? decideWithFleet(service.fleet, self.domain, targets, policy.floor)
            : decideOwnEjections({
                inForce: [...service.own.values()],
                judged: judgeTargets(service, now),
                states: service.targets,
                targets,
                isProber,
                now,
                policy,
                random,
            });
        service.own = service.fleet === undefined ? outcome.inForce : new Map();
        for (const state of service.targets.values()) {
            setEjected(service, state, outcome.inForce.get(state.target.id));
        }
        reportFloor(service, outcome.refused, now);
        telemetry?.gauge("routing.ejected", outcome.inForce.size, { service: service.name });
        serveWaiters(service);
    }

    // Probing

    async function probe(service: ServiceState, state: TargetState): Promise<void> {
        state.probing = true;
        state.lastProbeAt = clock.now();
        const result = await probeHealth(state.pool.dispatcher(), policy.probeTimeoutMs);
        const now = clock.now();
        state.probing = false;
        state.probes += 1;
        state.probeFailures += result.healthy ? 0 : 1;
        state.lastProbeFailed = !result.healthy;
        if (result.healthy) {
            state.lastProbeSucceededAt = now;
        }
        // The health endpoint may mislead, so on its word alone no target leaves below the floor.
        const targets = floorTargets(service, now);
        const ejected = new Set([...service.targets.values()].filter(other => other.ejected).map(s => s.target.id));
        if (result.draining && countHealthy(targets, ejected) > minimumHealthy(targets.length, policy.floor)) {
            leave(state, "health");
        }
    }

    function probeTargets(service: ServiceState): void {
        const now = clock.now();
        for (const state of service.targets.values()) {
            const due = !state.probing && !isLeaving(state, now)
                && probeIsDue({ ...state, cold: isCold(state, now) }, now, policy.probeIntervalMs);
            if (due && isProber(state.target.id)) {
                void probe(service, state);
            }
        }
    }

    async function runEvaluation(): Promise<void> {
        while (!closed) {
            for (const service of services.values()) {
                evaluate(service);
                probeTargets(service);
            }
            pause = new AbortController();
            await clock.sleep(policy.evaluationMs, pause.signal);
        }
    }

    // Targets

    function serviceOf(name: string): ServiceState {
        let service = services.get(name);
        if (service === undefined) {
            service = createServiceState(name, clock.now(), policy.maxWaiting);
            services.set(name, service);
        }
        return service;
    }

    function removeTarget(service: ServiceState, state: TargetState): void {
        service.targets.delete(state.target.id);
        service.own.delete(state.target.id);
        removed.add(state);
        state.pool.close();
    }

    function listTarget(instance: ListedInstance, known: ReadonlySet<string>): void {
        const service = serviceOf(instance.service ?? "");
        const previous = service.targets.get(instance.id);
        if (previous !== undefined && previous.target.origin === originOf(instance)) {
            previous.listedLeaving = instance.state === instanceState.leaving;
            return;
        }
        if (previous !== undefined) {
            removeTarget(service, previous);
        }
        // The targets that a starting instance finds on the list have been in use by others.
        const cold = known.has(service.name);
        service.targets.set(instance.id, createTargetState(instance, { now: clock.now(), cold, policy, createPool }));
    }

    function find(request: SlotRequest): Result<ServiceState, RoutingFailure> {
        const now = clock.now();
        const service = services.get(request.service);
        const usable = [...service?.targets.values() ?? []]
            .filter(state => isUsable(state, now) && !request.excluded.has(state.target.id));
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
        update(instances) {
            const known = new Set(services.keys());
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
                listTarget(instance, known);
            }
            for (const service of services.values()) {
                evaluate(service);
            }
            evaluating ??= runEvaluation();
        },
        async acquire(request) {
            const found = find(request);
            if (found.isErr()) {
                return err(found.error);
            }
            const service = found.value;
            const attempt = service.queue.size === 0 ? take(service, request) : undefined;
            if (attempt !== undefined) {
                service.queue.hold(request.organisation);
                return ok(attempt);
            }
            return wait(service, request);
        },
        setMembers(next) {
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
                slots: slotsOf(state, now, policy),
            }));
        },
        collectEvidence(name) {
            const service = serviceOf(name);
            const now = clock.now();
            const since = service.collectedAt;
            const totals = new Map(judgeTargets(service, now).map(judged => [judged.id, judged.totals]));
            const rows = [...service.targets.values()].map(state =>
                collectRow(state, totals.get(state.target.id)!, since, now)
            );
            service.collectedAt = now;
            return {
                intervalMs: Math.round(now - since),
                targets: rows.filter(row => row.requests + row.overdue + row.probes > 0),
                inForce: ejectionsInForce(service, now),
            };
        },
        ejections: name => ejectionsInForce(serviceOf(name), clock.now()),
        applyDecisions(name, response) {
            if (!response.isCoordinator) {
                return;
            }
            const service = serviceOf(name);
            const now = clock.now();
            service.fleet = {
                receivedAt: now,
                floorReached: response.floorReached,
                ejections: response.decisions.map(({ target, domains, evidence, count, remainingMs }) => ({
                    target,
                    domains,
                    evidence,
                    count,
                    until: now + remainingMs,
                })),
            };
            evaluate(service);
        },
        async close() {
            closed = true;
            pause.abort();
            await evaluating;
            const states = [...services.values()].flatMap(({ targets }) => [...targets.values()]);
            await Promise.all([...states, ...removed].map(({ pool }) => pool.destroy()));
        },
    };
}
