import { createMonotonicClock } from "@trefoilladder/clock";
import type { Clock } from "@trefoilladder/clock";
import { instanceRole, instanceState } from "@trefoilladder/platform";
import type { ListedInstance } from "@trefoilladder/platform";
import type { EjectionDecision, ReportEvidenceResponse } from "@trefoilladder/protocol";
import type { Telemetry } from "@trefoilladder/telemetry";
import type { Result } from "neverthrow";
import { randomInt } from "node:crypto";
import type { Attempt, SlotRequest } from "./attempt";
import { createEjectionEvaluation } from "./ejection-evaluation";
import type { EvidenceReport } from "./ejection-evaluation";
import { assignProbers } from "./prober-assignment";
import type { ProbingMember } from "./prober-assignment";
import { createRandomSource } from "./random-source";
import type { RandomSource } from "./random-source";
import type { RoutingFailure } from "./routing-failure";
import { resolveRoutingPolicy } from "./routing-policy";
import type { RoutingPolicy } from "./routing-policy";
import { createServiceState } from "./service-state";
import type { ServiceState } from "./service-state";
import { createSlotAllocation } from "./slot-allocation";
import type { Target } from "./target";
import { createTargetPool } from "./target-pool";
import { createTargetProbing } from "./target-probing";
import { createTargetState, isCold, isLeaving, originOf, usableSlots } from "./target-state";
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
    const slots = createSlotAllocation({ clock, telemetry, policy, random });
    const probeTargets = createTargetProbing({ clock, telemetry, policy, isProber });
    const evaluation = createEjectionEvaluation({
        clock,
        telemetry,
        policy,
        random,
        domain: self.domain,
        isProber,
        evaluated: slots.serveWaiters,
    });

    function isProber(target: string): boolean {
        return members.length === 0 || assignProbers(target, members).some(({ id }) => id === self.id);
    }

    async function runEvaluationLoop(): Promise<void> {
        while (!closed) {
            for (const service of services.values()) {
                evaluation.evaluate(service);
                probeTargets(service);
            }
            evaluationDelay = new AbortController();
            await clock.sleep(policy.evaluationIntervalMs, evaluationDelay.signal);
        }
    }

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
                evaluation.evaluate(service);
            }
            evaluationLoop ??= runEvaluationLoop();
        },
        acquire: request => slots.acquire(services.get(request.service), request),
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
        collectEvidence: name => evaluation.collect(getOrCreateService(name)),
        ejections: name => evaluation.inForce(getOrCreateService(name), clock.now()),
        applyDecisions(name, response) {
            if (response.isCoordinator) {
                evaluation.apply(getOrCreateService(name), response);
            }
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
