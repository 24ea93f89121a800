/**
 * Target sets of this instance for each service, kept until the targets or the instances in contact change.
 */

import { maxUnrankedTargets, rankTargets, targetSetLength, targetSetSize } from "@trefoilladder/placement";
import type { Candidate, DomainMember, ProbeCandidate, TargetRanking } from "@trefoilladder/placement";
import type { ListedTarget } from "@trefoilladder/replication";

/** Target sets of all services. */
export interface TargetSets {
    /**
     * Returns the targets of a service in the order of preference for a request; undefined for a service without a set.
     * `countInProgress` returns the number of requests of this instance that are at these targets; it is only called for a
     * service with a set.
     */
    ranked(
        service: string,
        targets: readonly ListedTarget[],
        countInProgress: () => number,
    ): ListedTarget[] | undefined;
    /** Marks the ranked candidates of a service that are outside the set or need a new connection. */
    mark(service: string, ranked: readonly MarkedCandidate[], maxIdleMs: number): void;
}

/** A candidate with what the marks depend on. */
export interface MarkedCandidate extends Candidate, Pick<ProbeCandidate, "msSinceOutcome"> {
    target: ListedTarget;
}

/** Dependencies of the sets. */
export interface TargetSetParts {
    /** Id and failure domain of this instance. */
    self(): DomainMember;
    /** Returns the instances in contact, without this one. */
    peers(): readonly DomainMember[];
    /** Returns whether an idle connection to a target may carry a request. */
    hasIdleConnection(target: string, maxIdleMs: number): boolean;
    now(): number;
}

interface ServiceSet {
    targets: readonly DomainMember[];
    fleetRevision: number;
    setSize: number;
    ranking: TargetRanking;
    /** Moving average of the requests in progress when another one is sent. */
    concurrent: number;
}

/** Interval in milliseconds at which the instances in contact are compared with those of the ranking. */
const fleetCheckIntervalMs = 1_000;
/** Weight of the newest request in the average of concurrent requests. */
const newestRequestWeight = 0.05;
/**
 * Time in milliseconds without any outcome after which a new connection to a target costs nothing, so that a target to which
 * no instance has a connection, such as a new one, receives requests.
 */
const unusedAfterMs = 1_000;
/** Difference in size from which a set is ranked again. */
const minSizeChange = 2;

function isSameList(a: readonly DomainMember[], b: readonly DomainMember[]): boolean {
    return a.length === b.length
        && a.every(({ id, domain }, index) => id === b[index]!.id && domain === b[index]!.domain);
}

/** Creates the sets without rankings. */
export function createTargetSets(parts: TargetSetParts): TargetSets {
    const sets = new Map<string, ServiceSet>();
    let fleet: readonly DomainMember[] = [];
    let fleetRevision = 0;
    let fleetCheckedAt = -Infinity;

    function updateFleet(): void {
        if (parts.now() - fleetCheckedAt < fleetCheckIntervalMs) {
            return;
        }
        fleetCheckedAt = parts.now();
        const instances = [parts.self(), ...parts.peers()];
        if (!isSameList(instances, fleet)) {
            fleet = instances;
            fleetRevision += 1;
        }
    }

    function setOf(service: string, targets: readonly ListedTarget[], inProgress: number): ServiceSet {
        updateFleet();
        const known = sets.get(service);
        const average = known?.concurrent ?? 0;
        const concurrent = average + newestRequestWeight * (inProgress - average);
        const setSize = targetSetSize(concurrent);
        if (
            known !== undefined && known.fleetRevision === fleetRevision
            && Math.abs(known.setSize - setSize) < minSizeChange && isSameList(known.targets, targets)
        ) {
            known.concurrent = concurrent;
            return known;
        }
        const ranking = rankTargets(parts.self(), fleet, targets, setSize);
        const set = { targets, fleetRevision, setSize, ranking, concurrent };
        sets.set(service, set);
        return set;
    }

    return {
        ranked(service, targets, countInProgress) {
            if (targets.length <= maxUnrankedTargets) {
                sets.delete(service);
                return undefined;
            }
            return setOf(service, targets, countInProgress()).ranking.order.map(position => targets[position]!);
        },
        mark(service, ranked, maxIdleMs) {
            const { setSize, ranking } = sets.get(service)!;
            const length = targetSetLength(ranked, Math.max(setSize, ranking.coveredCount));
            ranked.forEach((candidate, index) => {
                candidate.isOutsideSet = index >= length;
                candidate.needsConnection = candidate.msSinceOutcome < unusedAfterMs
                    && !parts.hasIdleConnection(candidate.target.id, maxIdleMs);
            });
        },
    };
}
