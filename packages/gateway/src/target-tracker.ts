/**
 * State of each target on this instance: health, load and network path.
 */

import type { TargetDigest } from "@trefoilladder/mesh";
import {
    createOutcomeBaseline,
    createTargetHealth,
    createTargetLoad,
    createTargetPace,
    outcome,
    outcomeWeight,
} from "@trefoilladder/placement";
import type {
    Candidate,
    ExpectedFinish,
    LoadReport,
    Outcome,
    OutcomeBaseline,
    ProbeCandidate,
    TargetHealth,
    TargetLoad,
    TargetPace,
} from "@trefoilladder/placement";
import type { ListedTarget, TargetDirectory } from "@trefoilladder/replication";
import type { DecisionLog } from "@trefoilladder/telemetry";
import { idleReset } from "./idle-limits";
import type { IdleLimits } from "./idle-limits";
import { roundToThousandths } from "./rounding";
import { createServiceWork } from "./service-work";
import type { RequestWork } from "./service-work";
import type { TargetSets } from "./target-sets";

/** A target that can be selected for a request. */
export interface TargetCandidate extends Candidate, ProbeCandidate {
    target: ListedTarget;
}

/** What the choice of a target takes into account of the request. */
export interface PlacedRequest {
    /** Longest idle time in milliseconds of a connection that may carry the request. */
    maxIdleMs?: number;
    /** Expected work; with it, the candidates have an expected finish. */
    work?: RequestWork | undefined;
}

/** Tracks the state of all targets. */
export interface TargetTracker {
    /**
     * Returns the targets of a service that a request can be sent to, without the excluded ids, with what is known of the request.
     */
    candidates(service: string, excluded: ReadonlySet<string>, request?: PlacedRequest): TargetCandidate[];
    /**
     * Returns the estimated utilisation of the least used target of a service that `allows` returns true for; undefined without a
     * target.
     */
    leastUtilisation(service: string, allows?: (target: ListedTarget) => boolean): number | undefined;
    /** Counts a request to a target; `workMs` is its expected service time, if known. */
    begin(target: string, workMs?: number): void;
    end(target: string): void;
    /** Returns the estimated utilisation of a target: its requests divided by its slots. */
    utilisation(target: ListedTarget): number;
    /** Records the outcome of an attempt by this instance. */
    observe(target: string, kind: Outcome): void;
    /** Records that a target reset a pooled connection before any byte of the response. */
    observeIdleReset(target: string): void;
    /** Records a load report of a target. */
    reportLoad(target: string, load: LoadReport): void;
    /** Excludes a target until its start time changes, since another process responds at its address. */
    markReplaced(target: ListedTarget): void;
    /** Merges the observations of another instance. */
    applyPeerDigest(digest: TargetDigest): void;
    /** Returns the observations since the previous call. */
    collectObservations(): TargetDigest[];
    remove(target: string): void;
}

interface Entry {
    health: TargetHealth;
    pathHealth: TargetHealth;
    load: TargetLoad;
    /** Undefined unless paces are learned. */
    pace: TargetPace | undefined;
    /** Monotonic time in milliseconds at which any instance last received a successful response. */
    lastSuccessAt: number;
    /** Monotonic time in milliseconds at which any instance last observed an outcome, or this one last sent a request. */
    lastOutcomeAt: number;
    /** Start time of the incarnation whose address another process has taken over. */
    replacedStartedAt: number | undefined;
    suspected: boolean;
}

interface PendingReport {
    outcomes: Map<Outcome | typeof idleReset, number>;
    load: LoadReport | undefined;
}

/** Outcomes that are evidence about the network path. */
const pathOutcomes = new Set<Outcome>([outcome.success, outcome.late, outcome.timedOut, outcome.unreachable]);
/** Outcomes of requests that a target has run and ended. */
const ranOutcomes = new Set<Outcome>([outcome.success, outcome.requestFailure]);
/** Time in milliseconds for which the average utilisation of a service is cached. */
const averageLifetimeMs = 100;
/** Probabilities of being unhealthy at which a target becomes suspected, and below which it becomes trusted again. */
const suspectProbability = 0.6;
const trustProbability = 0.3;

/**
 * Increase of the probability that is reported to other instances at once. Outcomes that all targets of a service share, or that
 * come from a target known to be unhealthy, change the probability little and wait for the next digest.
 */
const urgentIncrease = 0.1;

const knownOutcomes = new Set<string>(Object.values(outcome));

/** Creates the tracker without observations. */
export function createTargetTracker(parts: {
    directory: TargetDirectory;
    domain: string;
    now(): number;
    log: DecisionLog;
    /** Sets of preferred targets; without them, requests are sent to all targets alike. */
    targetSets?: TargetSets;
    /**
     * Whether the service times of targets are learned from digests, which expected work needs; it takes a tenth of the time of a
     * digest.
     * @default false
     */
    learnsPaces?: boolean;
    /** Receives the idle resets of all instances. */
    idleLimits?: Pick<IdleLimits, "recordReset">;
    /** Called when an outcome has to reach the other instances at once. */
    onUrgentChange(): void;
}): TargetTracker {
    const { directory, now, log, targetSets } = parts;
    const entries = new Map<string, Entry>();
    const baselines = new Map<string, OutcomeBaseline>();
    const averages = new Map<string, { utilisation: number; at: number; }>();
    const serviceWork = createServiceWork(directory, target => entryOf(target).pace);
    let pending = new Map<string, PendingReport>();

    function entryOf(target: string): Entry {
        let entry = entries.get(target);
        if (entry === undefined) {
            entry = {
                health: createTargetHealth(now()),
                pathHealth: createTargetHealth(now()),
                load: createTargetLoad(),
                pace: parts.learnsPaces === true ? createTargetPace() : undefined,
                lastSuccessAt: -Infinity,
                lastOutcomeAt: -Infinity,
                replacedStartedAt: undefined,
                suspected: false,
            };
            entries.set(target, entry);
        }
        return entry;
    }

    function pendingReportOf(target: string): PendingReport {
        let report = pending.get(target);
        if (report === undefined) {
            report = { outcomes: new Map(), load: undefined };
            pending.set(target, report);
        }
        return report;
    }

    function countPending(target: string, kind: Outcome | typeof idleReset): void {
        const { outcomes: counts } = pendingReportOf(target);
        counts.set(kind, (counts.get(kind) ?? 0) + 1);
    }

    /** Returns whether the reset shortens the idle limit of the target's service. */
    function recordIdleReset(target: string, source: string): boolean {
        const service = directory.get(target)?.service;
        return service !== undefined && parts.idleLimits?.recordReset(service, target, source) === true;
    }

    /** Decides from the probability of being unhealthy whether a target is suspected, and logs a change. */
    function updateSuspicion(target: string, entry: Entry, probability: number, kind: Outcome, source: string): void {
        const suspected = entry.suspected ? probability >= trustProbability : probability >= suspectProbability;
        if (suspected !== entry.suspected) {
            entry.suspected = suspected;
            const event = suspected ? "target_suspected" : "target_trusted";
            log.stateChange(event, { target, sick: roundToThousandths(probability), outcome: kind, source });
        }
    }

    /** Adds an outcome to the shares of the target's service and returns the baseline share of this outcome there. */
    function updateShares(target: string, observed: Outcome): number {
        const service = directory.get(target)?.service ?? "";
        const baseline = baselines.get(service) ?? createOutcomeBaseline();
        baselines.set(service, baseline);
        baseline.record(target, observed);
        return baseline.share(observed, now());
    }

    /**
     * Returns the mean utilisation over the targets of a service. A mean over reports would be the load of the busiest targets,
     * since these send most reports; idle targets would then appear as busy and get no requests.
     */
    function averageUtilisation(service: string, at: number): number {
        const cached = averages.get(service);
        if (cached !== undefined && at - cached.at < averageLifetimeMs) {
            return cached.utilisation;
        }
        const targets = directory.serving(service);
        const total = targets.reduce((sum, { id }) => sum + entryOf(id).load.reportedUtilisation(at), 0);
        const utilisation = total / Math.max(1, targets.length);
        averages.set(service, { utilisation, at });
        return utilisation;
    }

    /** Applies an outcome and returns the probability that the target is unhealthy. */
    function updateHealth(target: string, kind: Outcome, count: number, source: string): number {
        const entry = entryOf(target);
        const at = now();
        entry.lastOutcomeAt = at;
        if (kind === outcome.success) {
            entry.lastSuccessAt = at;
        }
        if (entry.pace !== undefined && ranOutcomes.has(kind)) {
            entry.pace.ended(count, at);
        }
        const weight = outcomeWeight(kind, at - entry.lastSuccessAt) * count;
        const probability = entry.health.observe(kind, at, weight, updateShares(target, kind));
        updateSuspicion(target, entry, probability, kind, source);
        return probability;
    }

    function applyReport(target: string, load: LoadReport): void {
        const { load: targetLoad, pace } = entryOf(target);
        targetLoad.report(load, now());
        pace?.report(load.running, now());
    }

    function utilisationOf(target: ListedTarget, at: number): number {
        return entryOf(target.id).load.utilisation(target.slots, at, averageUtilisation(target.service, at));
    }

    /** Returns a function for the expected time of a request at a target of a service; what all targets share is read once. */
    function finishesOf(service: string, work: RequestWork, at: number): (target: ListedTarget) => ExpectedFinish {
        const workAt = serviceWork.of(service, at);
        const reserved = serviceWork.reserved(service, work.separation, at);
        const peerUtilisation = averageUtilisation(service, at);
        const isTight = reserved.size === 0 ? undefined : work.isTight;
        return ({ id, slots }) => {
            const { meanWorkMs = work.serviceMs, slowdown } = workAt(id);
            return {
                waitMs: entryOf(id).load.waitMs({ slots, peerUtilisation, meanWorkMs }, at),
                serviceMs: work.serviceMs * slowdown,
                objectiveMs: work.objectiveMs,
                slowdown,
                isTight,
                isReserved: reserved.has(id),
            };
        };
    }

    function candidateOf(
        target: ListedTarget,
        at: number,
        finishOf: ((target: ListedTarget) => ExpectedFinish) | undefined,
    ): TargetCandidate {
        const { health, pathHealth, lastOutcomeAt } = entryOf(target.id);
        return {
            target,
            finish: finishOf?.(target),
            unhealthyProbability: health.unhealthyProbability(at),
            pathFailureProbability: pathHealth.unhealthyProbability(at),
            utilisation: utilisationOf(target, at),
            msSinceOutcome: at - lastOutcomeAt,
            isCold: at < target.coldUntil,
            isSameDomain: target.domain === parts.domain,
        };
    }

    function usableTargets(service: string): ListedTarget[] {
        return directory.serving(service).filter(target =>
            entries.get(target.id)?.replacedStartedAt !== target.startedAt
        );
    }

    return {
        candidates(service, excluded, { maxIdleMs = 0, work } = {}) {
            const at = now();
            const usable = usableTargets(service);
            const ranked = targetSets?.ranked(
                service,
                usable,
                () => usable.reduce((sum, { id }) => sum + entryOf(id).load.inFlight, 0),
            );
            const finishOf = work === undefined ? undefined : finishesOf(service, work, at);
            const candidates = (ranked ?? usable)
                .filter(target => !excluded.has(target.id))
                .map(target => candidateOf(target, at, finishOf));
            if (ranked !== undefined) {
                targetSets!.mark(service, candidates, maxIdleMs);
            }
            return candidates;
        },
        leastUtilisation(service, allows = () => true) {
            const at = now();
            const utilisations = usableTargets(service).filter(allows).map(target => utilisationOf(target, at));
            return utilisations.length === 0 ? undefined : Math.min(...utilisations);
        },
        begin(target, workMs) {
            const entry = entryOf(target);
            entry.load.begin(workMs);
            entry.lastOutcomeAt = now();
        },
        end: target => entryOf(target).load.end(),
        utilisation: target => utilisationOf(target, now()),
        observe(target, kind) {
            const before = entryOf(target).health.unhealthyProbability(now());
            const after = updateHealth(target, kind, 1, "own");
            if (pathOutcomes.has(kind)) {
                entryOf(target).pathHealth.observe(kind, now());
            }
            countPending(target, kind);
            if (after - before >= urgentIncrease) {
                parts.onUrgentChange();
            }
        },
        observeIdleReset(target) {
            const isNews = recordIdleReset(target, "own");
            countPending(target, idleReset);
            // Each urgent digest costs processor time at all instances; further resets wait for the next digest.
            if (isNews) {
                parts.onUrgentChange();
            }
        },
        reportLoad(target, load) {
            applyReport(target, load);
            pendingReportOf(target).load = load;
        },
        markReplaced(target) {
            entryOf(target.id).replacedStartedAt = target.startedAt;
            log.stateChange("address_taken_over", { target: target.id, address: target.address, port: target.port });
        },
        applyPeerDigest({ target, outcomes: counts, load }) {
            if (directory.get(target) === undefined) {
                return;
            }
            for (const [kind, count] of counts) {
                if (kind === idleReset) {
                    recordIdleReset(target, "peer");
                }
                else if (knownOutcomes.has(kind)) {
                    updateHealth(target, kind as Outcome, count, "peer");
                }
            }
            if (load !== undefined) {
                const [running, waiting, slots] = load;
                applyReport(target, { running, waiting, slots });
            }
        },
        collectObservations() {
            const digests = [...pending].map(([target, { outcomes: counts, load }]): TargetDigest => ({
                target,
                outcomes: [...counts],
                load: load === undefined ? undefined : [load.running, load.waiting, load.slots],
            }));
            pending = new Map();
            return digests;
        },
        remove(target) {
            entries.delete(target);
            baselines.forEach(baseline => baseline.remove(target));
        },
    };
}
