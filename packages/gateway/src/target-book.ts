/**
 * What this instance knows of each target: health, load and the path to it.
 */

import type { TargetDigest } from "@trefoilladder/mesh";
import {
    createTargetHealth,
    createTargetLoad,
    createUsualShares,
    outcome,
    outcomeWeight,
} from "@trefoilladder/placement";
import type { Candidate, LoadReport, Outcome, TargetHealth, TargetLoad, UsualShares } from "@trefoilladder/placement";
import type { ListedTarget, TargetDirectory } from "@trefoilladder/replication";
import type { DecisionLog } from "@trefoilladder/telemetry";

/** A target that may be chosen. */
export interface TargetCandidate extends Candidate {
    target: ListedTarget;
}

/** Knowledge about targets. */
export interface TargetBook {
    /** Returns the targets of a service that a request may be sent to. */
    candidates(service: string, excluded: ReadonlySet<string>): TargetCandidate[];
    /** Returns the estimated requests by slots at the least used target of a service; undefined without a target. */
    leastUtilisation(service: string): number | undefined;
    begin(target: string): void;
    end(target: string): void;
    /** Returns the estimated requests at a target by its slots. */
    utilisation(target: ListedTarget): number;
    /** Notes the outcome of an attempt of this instance. */
    observe(target: string, kind: Outcome): void;
    /** Notes a load that the target reported. */
    reportLoad(target: string, load: LoadReport): void;
    /** Leaves a target out until its record changes, since another process answers at its address. */
    markReplaced(target: ListedTarget): void;
    /** Applies what another instance observed. */
    learn(digest: TargetDigest): void;
    /** Returns what was observed since the previous call. */
    collectNews(): TargetDigest[];
    forget(target: string): void;
}

interface Entry {
    health: TargetHealth;
    path: TargetHealth;
    load: TargetLoad;
    /** Monotonic time in milliseconds at which any instance last got an answer. */
    answeredAt: number;
    replaced: number | undefined;
    suspected: boolean;
}

interface Pending {
    outcomes: Map<Outcome, number>;
    load: LoadReport | undefined;
}

/** Outcomes that say something about the path. */
const pathOutcomes = new Set<Outcome>([outcome.success, outcome.late, outcome.timedOut, outcome.unreachable]);
/** Weight of the newest report in the usual utilisation of a service's targets. */
const newestLoadWeight = 0.05;
/** Probability from which the log reports a target as suspected, and below which it no longer does. */
const suspectedFrom = 0.6;
const trustedBelow = 0.3;

/**
 * Growth of the probability that other instances have to hear of soon. What happens at all targets of a service, or at one that
 * is known to be sick, changes little and can wait for the next digest.
 */
const urgentChange = 0.1;

const outcomes = new Set<string>(Object.values(outcome));

/** Creates a book without knowledge. */
export function createTargetBook(parts: {
    directory: TargetDirectory;
    domain: string;
    now(): number;
    log: DecisionLog;
    /** Called when an outcome should reach the other instances soon. */
    urgent(): void;
}): TargetBook {
    const { directory, now, log } = parts;
    const entries = new Map<string, Entry>();
    const usualShares = new Map<string, UsualShares>();
    const usualUtilisation = new Map<string, number>();
    let pending = new Map<string, Pending>();

    function entryOf(target: string): Entry {
        let entry = entries.get(target);
        if (entry === undefined) {
            entry = {
                health: createTargetHealth(now()),
                path: createTargetHealth(now()),
                load: createTargetLoad(),
                answeredAt: -Infinity,
                replaced: undefined,
                suspected: false,
            };
            entries.set(target, entry);
        }
        return entry;
    }

    function pendingOf(target: string): Pending {
        let news = pending.get(target);
        if (news === undefined) {
            news = { outcomes: new Map(), load: undefined };
            pending.set(target, news);
        }
        return news;
    }

    function noteSuspicion(target: string, entry: Entry, sick: number, kind: Outcome, source: string): void {
        const suspected = entry.suspected ? sick >= trustedBelow : sick >= suspectedFrom;
        if (suspected !== entry.suspected) {
            entry.suspected = suspected;
            const event = suspected ? "target_suspected" : "target_trusted";
            log.belief(event, { target, sick: Math.round(sick * 1_000) / 1_000, outcome: kind, source });
        }
    }

    /** Notes an outcome for its service and returns the share that is usual there. */
    function noteShare(target: string, observed: Outcome): number {
        const service = directory.get(target)?.service ?? "";
        const shares = usualShares.get(service) ?? createUsualShares();
        usualShares.set(service, shares);
        shares.note(target, observed);
        return shares.usual(observed, now());
    }

    function noteLoad(target: string, load: LoadReport): void {
        entryOf(target).load.report(load, now());
        const service = directory.get(target)?.service;
        if (service !== undefined) {
            const usual = usualUtilisation.get(service) ?? 0;
            const utilisation = (load.running + load.waiting) / Math.max(1, load.slots);
            usualUtilisation.set(service, usual + newestLoadWeight * (utilisation - usual));
        }
    }

    /** Notes an outcome and returns the probability that the target is sick. */
    function noteHealth(target: string, kind: Outcome, count: number, source: string): number {
        const entry = entryOf(target);
        const at = now();
        if (kind === outcome.success) {
            entry.answeredAt = at;
        }
        const weight = outcomeWeight(kind, at - entry.answeredAt) * count;
        const sick = entry.health.observe(kind, at, weight, noteShare(target, kind));
        noteSuspicion(target, entry, sick, kind, source);
        return sick;
    }

    function utilisationOf(target: ListedTarget, at: number): number {
        return entryOf(target.id).load.utilisation(target.slots, at, usualUtilisation.get(target.service) ?? 0);
    }

    function candidateOf(target: ListedTarget, at: number): TargetCandidate {
        const { health, path } = entryOf(target.id);
        return {
            target,
            sick: health.sick(at),
            pathSick: path.sick(at),
            utilisation: utilisationOf(target, at),
            cold: at < target.coldUntil,
            near: target.domain === parts.domain,
        };
    }

    function usable(service: string): ListedTarget[] {
        return directory.serving(service).filter(target => entries.get(target.id)?.replaced !== target.startedAt);
    }

    return {
        candidates(service, excluded) {
            const at = now();
            return usable(service)
                .filter(target => !excluded.has(target.id))
                .map(target => candidateOf(target, at));
        },
        leastUtilisation(service) {
            const at = now();
            const utilisations = usable(service).map(target => utilisationOf(target, at));
            return utilisations.length === 0 ? undefined : Math.min(...utilisations);
        },
        begin: target => entryOf(target).load.begin(),
        end: target => entryOf(target).load.end(),
        utilisation: target => utilisationOf(target, now()),
        observe(target, kind) {
            const before = entryOf(target).health.sick(now());
            const after = noteHealth(target, kind, 1, "own");
            if (pathOutcomes.has(kind)) {
                entryOf(target).path.observe(kind, now());
            }
            const { outcomes: counts } = pendingOf(target);
            counts.set(kind, (counts.get(kind) ?? 0) + 1);
            if (after - before >= urgentChange) {
                parts.urgent();
            }
        },
        reportLoad(target, load) {
            noteLoad(target, load);
            pendingOf(target).load = load;
        },
        markReplaced(target) {
            entryOf(target.id).replaced = target.startedAt;
            log.belief("address_taken_over", { target: target.id, address: target.address, port: target.port });
        },
        learn({ target, outcomes: counts, load }) {
            if (directory.get(target) === undefined) {
                return;
            }
            for (const [kind, count] of counts) {
                if (outcomes.has(kind)) {
                    noteHealth(target, kind as Outcome, count, "peer");
                }
            }
            if (load !== undefined) {
                const [running, waiting, slots] = load;
                noteLoad(target, { running, waiting, slots });
            }
        },
        collectNews() {
            const news = [...pending].map(([target, { outcomes: counts, load }]): TargetDigest => ({
                target,
                outcomes: [...counts],
                load: load === undefined ? undefined : [load.running, load.waiting, load.slots],
            }));
            pending = new Map();
            return news;
        },
        forget(target) {
            entries.delete(target);
            usualShares.forEach(shares => shares.forget(target));
        },
    };
}
