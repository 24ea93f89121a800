import {
    chooseTarget,
    createOutcomeBaseline,
    createTargetHealth,
    createTargetLoad,
    explainedWaitMs,
    outcome,
    outcomeWeight,
} from "@trefoilladder/placement";
import type { Outcome } from "@trefoilladder/placement";
import { createRandomSource } from "../../packages/routing/src/random-source";

/** A service most of whose targets fail requests at once, while the others have barely enough capacity for its load. */
export interface UnhealthyMajority {
    seed: number;
    healthyTargets: number;
    unhealthyTargets: number;
    slots: number;
    /** Requests that each target queues in addition to those it runs; it sheds any more. */
    queueCapacity: number;
    requestsPerSecond: number;
    meanServiceMs: number;
    /** Share of the requests at unhealthy targets that fail. */
    failingShare: number;
    timeoutMs: number;
    lateAfterMs: number;
    durationMs: number;
}

/** Result for the requests, none of which can be retried. */
export interface UnhealthyMajorityResult {
    /** Share of requests that failed at an unhealthy target. */
    failedShare: number;
    /** Share of requests that received a response before their timeout. */
    servedShare: number;
}

interface Request {
    sentAt: number;
    serviceMs: number;
    target: number;
    lateRecorded: boolean;
}

const stepMs = 5;
/** Time in milliseconds after which all instances have received an outcome. */
const digestDelayMs = 60;

/** Simulates the load with evidence that all instances share. */
export function simulateUnhealthyMajority(load: UnhealthyMajority): UnhealthyMajorityResult {
    const source = createRandomSource(load.seed);
    const random = () => source.next();
    const size = load.healthyTargets + load.unhealthyTargets;
    const targets = Array.from({ length: size }, (_, index) => ({
        isUnhealthy: index >= load.healthyTargets,
        running: [] as { request: Request; endsAt: number; }[],
        waiting: [] as Request[],
        health: createTargetHealth(0),
        load: createTargetLoad(),
        lastResponseAt: 0,
    }));
    const baseline = createOutcomeBaseline();
    let pendingUpdates: { at: number; apply(now: number): void; }[] = [];
    let peerUtilisation = 0;
    let sent = 0;
    let failed = 0;
    let served = 0;

    function utilisationOf(target: number, now: number): number {
        return targets[target]!.load.utilisation(load.slots, now, peerUtilisation);
    }

    function observe(target: number, kind: Outcome, at: number): void {
        pendingUpdates.push({
            at: at + digestDelayMs,
            apply(now) {
                const entry = targets[target]!;
                entry.lastResponseAt = kind === outcome.success ? now : entry.lastResponseAt;
                baseline.record(String(target), kind);
                const weight = outcomeWeight(kind, now - entry.lastResponseAt);
                entry.health.observe(kind, now, weight, baseline.share(kind, now));
            },
        });
    }

    function report(index: number, now: number): void {
        const target = targets[index]!;
        const loadReport = { running: target.running.length, waiting: target.waiting.length, slots: load.slots };
        target.load.report(loadReport, now);
        peerUtilisation += 0.05 * ((loadReport.running + loadReport.waiting) / load.slots - peerUtilisation);
    }

    function arrive(now: number): void {
        sent += 1;
        const candidates = targets.map(({ health }, index) => ({
            index,
            unhealthyProbability: health.unhealthyProbability(now),
            pathFailureProbability: 0.02,
            utilisation: utilisationOf(index, now),
            isCold: false,
            isSameDomain: true,
        }));
        const { index } = chooseTarget(candidates, { isRetryable: false, transferKb: 1 }, random)!;
        const target = targets[index]!;
        if (target.isUnhealthy && random() < load.failingShare) {
            failed += 1;
            observe(index, outcome.failure, now);
            report(index, now);
            return;
        }
        if (target.waiting.length >= load.queueCapacity) {
            observe(index, outcome.shed, now);
            report(index, now);
            return;
        }
        target.load.begin();
        target.waiting.push({
            sentAt: now,
            serviceMs: load.meanServiceMs * (0.7 + 0.6 * random()),
            target: index,
            lateRecorded: false,
        });
    }

    function recordLateness(request: Request, now: number): void {
        const explainedMs = explainedWaitMs(utilisationOf(request.target, now), load.meanServiceMs);
        if (!request.lateRecorded && now - request.sentAt >= load.lateAfterMs + explainedMs) {
            request.lateRecorded = true;
            observe(request.target, outcome.late, now);
        }
    }

    function advanceTarget(index: number, now: number): void {
        const target = targets[index]!;
        for (const ended of target.running.filter(({ endsAt }) => endsAt <= now)) {
            target.running.splice(target.running.indexOf(ended), 1);
            target.load.end();
            const isInTime = now - ended.request.sentAt <= load.timeoutMs;
            served += isInTime ? 1 : 0;
            observe(index, isInTime ? outcome.success : outcome.timedOut, now);
            report(index, now);
        }
        while (target.running.length < load.slots && target.waiting.length > 0) {
            const request = target.waiting.shift()!;
            target.running.push({ request, endsAt: now + request.serviceMs });
        }
        target.waiting.forEach(request => recordLateness(request, now));
        target.running.forEach(({ request }) => recordLateness(request, now));
    }

    for (let now = 0; now < load.durationMs; now += stepMs) {
        const due = pendingUpdates.filter(({ at }) => at <= now);
        pendingUpdates = pendingUpdates.filter(({ at }) => at > now);
        due.forEach(({ apply }) => apply(now));
        targets.forEach((_, index) => advanceTarget(index, now));
        if (random() < load.requestsPerSecond * stepMs / 1_000) {
            arrive(now);
        }
    }
    return { failedShare: failed / sent, servedShare: served / sent };
}
