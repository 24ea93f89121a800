import { outcome } from "@trefoilladder/placement";
import { createRandomSource } from "../../packages/routing/src/random-source";
import type { PreparedFleet, SimulatedFleet } from "./fleet-simulation";

/** Initial estimates of the instances, by name. */
export const initialStates: Record<string, ((fleet: PreparedFleet) => void) | undefined> = {
    fresh: undefined,
    allUnhealthy: fleet => forEachEstimate(fleet, markUnhealthy),
    allFull: fleet => forEachEstimate(fleet, markFull),
    allPathsBroken: fleet => forEachEstimate(fleet, markPathBroken),
    /** Half of the instances take one half of the targets for unhealthy, the others the other half. */
    split: fleet =>
        forEachEstimate(fleet, (instance, target) => {
            if (instance % 2 === target % 2) {
                markUnhealthy(instance, target, fleet);
            }
        }),
    random: fleet =>
        forEachEstimate(fleet, (instance, target) => {
            const choices = [markUnhealthy, markFull, markPathBroken, () => undefined];
            choices[Math.floor(fleet.random() * choices.length)]!(instance, target, fleet);
        }),
    /** All instances agree on a tenth of the targets and take the others for unhealthy and full. */
    fewTrusted: fleet =>
        forEachEstimate(fleet, (instance, target) => {
            if (target % 10 !== 0) {
                markUnhealthy(instance, target, fleet);
                markFull(instance, target, fleet);
            }
        }),
    /** Latencies as of a time in which every response was late. */
    slowProfiles: fleet =>
        fleet.profiles.flat().forEach(profile => {
            for (let count = 0; count < 40; count++) {
                profile.record(4_000);
            }
        }),
};

type Mark = (instance: number, target: number, fleet: PreparedFleet) => void;

function forEachEstimate(fleet: PreparedFleet, mark: Mark): void {
    fleet.trackers.forEach((_, instance) => fleet.targetIds.forEach((__, target) => mark(instance, target, fleet)));
}

function markUnhealthy(instance: number, target: number, { trackers, targetIds }: PreparedFleet): void {
    trackers[instance]!.applyPeerDigest({
        target: targetIds[target]!,
        outcomes: [[outcome.failure, 4]],
        load: undefined,
    });
}

function markFull(
    instance: number,
    target: number,
    { trackers, targetIds, slots, queueCapacity }: PreparedFleet,
): void {
    trackers[instance]!.applyPeerDigest({
        target: targetIds[target]!,
        outcomes: [],
        load: [slots, queueCapacity, slots],
    });
}

function markPathBroken(instance: number, target: number, { trackers, targetIds }: PreparedFleet): void {
    trackers[instance]!.observe(targetIds[target]!, outcome.unreachable);
    trackers[instance]!.observe(targetIds[target]!, outcome.unreachable);
}

/** A service like the users' dossier service, with a third of its load lookups and two thirds non-idempotent requests. */
export function dossierFleet(fleet: Pick<SimulatedFleet, "seed" | "instances" | "targets">): SimulatedFleet {
    return {
        domains: 3,
        slots: 6,
        queueCapacity: 24,
        loadShare: 0.5,
        digestLossShare: 0.02,
        durationMs: 8_000,
        routes: [
            {
                share: 0.32,
                idempotent: true,
                meanServiceMs: 300,
                objectiveMs: 1_250,
                deadlineMs: 4_150,
                timeoutMs: 2_100,
            },
            {
                share: 0.68,
                idempotent: false,
                meanServiceMs: 370,
                objectiveMs: 1_250,
                deadlineMs: 6_200,
                timeoutMs: 3_100,
            },
        ],
        ...fleet,
    };
}

/** Failing shares of targets that alternate between sound and failing spells of exponential length. */
export function failingSpells(options: {
    seed: number;
    targets: number;
    durationMs: number;
    meanSoundMs: number;
    meanFailingMs: number;
    failingShare: number;
}): (target: number, now: number) => number {
    const source = createRandomSource(options.seed);
    const isFailingStart = options.meanFailingMs / (options.meanSoundMs + options.meanFailingMs);
    const spells = Array.from({ length: options.targets }, () => {
        const times: number[] = [];
        let isFailing = source.next() < isFailingStart;
        const startsFailing = isFailing;
        for (let at = 0; at < options.durationMs;) {
            at -= Math.log(1 - source.next()) * (isFailing ? options.meanFailingMs : options.meanSoundMs);
            times.push(at);
            isFailing = !isFailing;
        }
        return { startsFailing, times };
    });
    return (target, now) => {
        const { startsFailing, times } = spells[target]!;
        const passed = times.filter(at => at <= now).length;
        return startsFailing === (passed % 2 === 0) ? options.failingShare : 0;
    };
}
