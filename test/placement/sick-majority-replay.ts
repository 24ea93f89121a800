import {
    chooseCandidate,
    createTargetHealth,
    createTargetLoad,
    createUsualShares,
    explainedWaitMs,
    outcome,
    outcomeWeight,
} from "@trefoilladder/placement";
import type { Outcome } from "@trefoilladder/placement";
import { createRandomSource } from "../../packages/routing/src/random-source";

/** A service of which most targets fail at once, while the others have barely room for its requests. */
export interface SickMajority {
    seed: number;
    soundTargets: number;
    sickTargets: number;
    slots: number;
    /** Requests that each target keeps waiting beside those it works on; it turns away more. */
    queue: number;
    requestsPerSecond: number;
    workMs: number;
    /** Share of the requests at sick targets that fail. */
    failingShare: number;
    timeoutMs: number;
    lateAfterMs: number;
    lengthMs: number;
}

/** What came of the requests that cannot be repeated. */
export interface SickMajorityResult {
    /** Share of requests that failed at a sick target. */
    failedShare: number;
    /** Share of requests that were answered in time. */
    servedShare: number;
}

interface Request {
    sentAt: number;
    workMs: number;
    target: number;
    lateNoted: boolean;
}

const stepMs = 5;
/** Time in milliseconds after which all instances know an outcome. */
const digestMs = 60;

/** Replays the load with evidence that all instances share. */
export function replaySickMajority(load: SickMajority): SickMajorityResult {
    const source = createRandomSource(load.seed);
    const random = () => source.next();
    const size = load.soundTargets + load.sickTargets;
    const targets = Array.from({ length: size }, (_, index) => ({
        isSick: index >= load.soundTargets,
        running: [] as { request: Request; endsAt: number; }[],
        waiting: [] as Request[],
        health: createTargetHealth(0),
        load: createTargetLoad(),
        answeredAt: 0,
    }));
    const shares = createUsualShares();
    let told: { at: number; apply(now: number): void; }[] = [];
    let usual = 0;
    let sent = 0;
    let failed = 0;
    let served = 0;

    function utilisationOf(target: number, now: number): number {
        return targets[target]!.load.utilisation(load.slots, now, usual);
    }

    function observe(target: number, kind: Outcome, at: number): void {
        told.push({
            at: at + digestMs,
            apply(now) {
                const entry = targets[target]!;
                entry.answeredAt = kind === outcome.success ? now : entry.answeredAt;
                shares.note(String(target), kind);
                const weight = outcomeWeight(kind, now - entry.answeredAt);
                entry.health.observe(kind, now, weight, shares.usual(kind, now));
            },
        });
    }

    function report(index: number, now: number): void {
        const target = targets[index]!;
        const load_ = { running: target.running.length, waiting: target.waiting.length, slots: load.slots };
        target.load.report(load_, now);
        usual += 0.05 * ((load_.running + load_.waiting) / load.slots - usual);
    }

    function arrive(now: number): void {
        sent += 1;
        const candidates = targets.map(({ health }, index) => ({
            index,
            sick: health.sick(now),
            pathSick: 0.02,
            utilisation: utilisationOf(index, now),
            cold: false,
            near: true,
        }));
        const { index } = chooseCandidate(candidates, { repeatable: false, responseKb: 1 }, random)!;
        const target = targets[index]!;
        if (target.isSick && random() < load.failingShare) {
            failed += 1;
            observe(index, outcome.failure, now);
            report(index, now);
            return;
        }
        if (target.waiting.length >= load.queue) {
            observe(index, outcome.shed, now);
            report(index, now);
            return;
        }
        target.load.begin();
        target.waiting.push({
            sentAt: now,
            workMs: load.workMs * (0.7 + 0.6 * random()),
            target: index,
            lateNoted: false,
        });
    }

    function noteLateness(request: Request, now: number): void {
        const explainedMs = explainedWaitMs(utilisationOf(request.target, now), load.workMs);
        if (!request.lateNoted && now - request.sentAt >= load.lateAfterMs + explainedMs) {
            request.lateNoted = true;
            observe(request.target, outcome.late, now);
        }
    }

    function work(index: number, now: number): void {
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
            target.running.push({ request, endsAt: now + request.workMs });
        }
        target.waiting.forEach(request => noteLateness(request, now));
        target.running.forEach(({ request }) => noteLateness(request, now));
    }

    for (let now = 0; now < load.lengthMs; now += stepMs) {
        const due = told.filter(({ at }) => at <= now);
        told = told.filter(({ at }) => at > now);
        due.forEach(({ apply }) => apply(now));
        targets.forEach((_, index) => work(index, now));
        if (random() < load.requestsPerSecond * stepMs / 1_000) {
            arrive(now);
        }
    }
    return { failedShare: failed / sent, servedShare: served / sent };
}
