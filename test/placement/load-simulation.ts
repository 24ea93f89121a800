import { chooseTarget, createTargetLoad } from "@trefoilladder/placement";
import type { LoadReport } from "@trefoilladder/placement";
import { createRandomSource } from "../../packages/routing/src/random-source";

/** Load of one service that instances place without coordination. */
export interface SimulatedLoad {
    seed: number;
    instances: number;
    targets: number;
    slots: number;
    requestsPerSecond: number;
    /** Mean service time of a request in milliseconds; single requests deviate by up to 30 %. */
    meanServiceMs: number;
    domains: number;
    durationMs: number;
}

/** Result of a simulation. */
export interface SimulationResult {
    meanWaitMs: number;
    /** Share of requests that took more than twice the mean service time. */
    slowShare: number;
    /** Share of requests that were sent to another failure domain. */
    crossDomainShare: number;
}

interface Target {
    running: number;
    queue: { arrivedAt: number; serviceMs: number; instance: number; }[];
}

interface Completion {
    at: number;
    target: number;
    instance: number;
}

const digestIntervalMs = 200;
const stepMs = 5;

/** Simulates a load in time steps; all instances exchange digests of their newest reports. */
export function simulateLoad(load: SimulatedLoad): SimulationResult {
    const source = createRandomSource(load.seed);
    const random = () => source.next();
    const targets: Target[] = Array.from({ length: load.targets }, () => ({ running: 0, queue: [] }));
    const loadsByInstance = Array.from({ length: load.instances }, () => targets.map(() => createTargetLoad()));
    const peerUtilisation = loadsByInstance.map(() => 0);
    const pendingReports = loadsByInstance.map(() => new Map<number, LoadReport>());
    let completions: Completion[] = [];
    const latencies: number[] = [];
    let totalWaitMs = 0;
    let crossDomainCount = 0;

    function applyReport(instance: number, target: number, report: LoadReport, now: number): void {
        loadsByInstance[instance]![target]!.report(report, now);
        peerUtilisation[instance]! += 0.05
            * ((report.running + report.waiting) / report.slots - peerUtilisation[instance]!);
    }

    function begin(target: number, arrivedAt: number, serviceMs: number, instance: number, now: number): void {
        targets[target]!.running += 1;
        totalWaitMs += now - arrivedAt;
        latencies.push(now - arrivedAt + serviceMs);
        completions.push({ at: now + serviceMs, target, instance });
    }

    function arrive(now: number): void {
        const instance = Math.floor(random() * load.instances);
        const domain = instance % load.domains;
        const candidates = targets.map((_, index) => ({
            index,
            unhealthyProbability: 0.02,
            pathFailureProbability: 0.02,
            utilisation: loadsByInstance[instance]![index]!.utilisation(load.slots, now, peerUtilisation[instance]!),
            isCold: false,
            isSameDomain: index % load.domains === domain,
        }));
        const chosen = chooseTarget(candidates, { isRetryable: false, transferKb: 1 }, random)!;
        crossDomainCount += chosen.isSameDomain ? 0 : 1;
        loadsByInstance[instance]![chosen.index]!.begin();
        const serviceMs = load.meanServiceMs * (0.7 + 0.6 * random());
        const target = targets[chosen.index]!;
        if (target.running < load.slots) {
            begin(chosen.index, now, serviceMs, instance, now);
            return;
        }
        target.queue.push({ arrivedAt: now, serviceMs, instance });
    }

    function end({ target: index, instance }: Completion, now: number): void {
        const target = targets[index]!;
        target.running -= 1;
        const next = target.queue.shift();
        if (next !== undefined) {
            begin(index, next.arrivedAt, next.serviceMs, next.instance, now);
        }
        const report = { running: target.running, waiting: target.queue.length, slots: load.slots };
        loadsByInstance[instance]![index]!.end();
        applyReport(instance, index, report, now);
        pendingReports[instance]!.set(index, report);
    }

    for (let now = 0; now < load.durationMs; now += stepMs) {
        const due = completions.filter(({ at }) => at <= now);
        completions = completions.filter(({ at }) => at > now);
        due.forEach(completion => end(completion, now));
        for (let expected = load.requestsPerSecond * stepMs / 1_000; expected > 0; expected -= 1) {
            if (random() < expected) {
                arrive(now);
            }
        }
        pendingReports.forEach((reports, sender) => {
            // Instances send at different times within the interval.
            if ((now + sender * stepMs) % digestIntervalMs !== 0) {
                return;
            }
            loadsByInstance.forEach((_, receiver) => {
                if (receiver !== sender) {
                    reports.forEach((report, target) => applyReport(receiver, target, report, now));
                }
            });
            reports.clear();
        });
    }
    return {
        meanWaitMs: totalWaitMs / latencies.length,
        slowShare: latencies.filter(ms => ms > 2 * load.meanServiceMs).length / latencies.length,
        crossDomainShare: crossDomainCount / latencies.length,
    };
}
