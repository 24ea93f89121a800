import type { TargetDigest } from "@trefoilladder/mesh";
import { chooseTarget, createLatencyProfile, outcome, retryAfterSeconds } from "@trefoilladder/placement";
import type { TargetDirectory } from "@trefoilladder/replication";
import { admitLoad } from "../../packages/gateway/src/admission";
import { createRequestWorks } from "../../packages/gateway/src/request-works";
import { createTargetTracker } from "../../packages/gateway/src/target-tracker";
import { createWorkAdmission } from "../../packages/gateway/src/work-admission";
import { createRandomSource } from "../../packages/routing/src/random-source";
import { createEventQueue } from "../recovery/event-queue";
import { createSimulatedTarget } from "../recovery/simulated-target";
import { silentLog } from "../replication/silent-log";
import { listTargets } from "./listed-targets";

/** Requests of one route. */
export interface WorkClass {
    /** Share of the service's requests. */
    share: number;
    /** Mean service time in milliseconds; single requests deviate by up to 30 %. */
    serviceMs: number;
    objectiveMs: number;
    deadlineMs: number;
    /** 0 is the most urgent. */
    priority: number;
}

/** Load of one service whose requests cause different amounts of work. */
export interface WorkLoad {
    seed: number;
    instances: number;
    targets: number;
    slots: number;
    queueCapacity: number;
    classes: readonly WorkClass[];
    /** Offered work as a share of the slots of all targets. */
    loadShare: number;
    /** The first `count` targets are slower by a factor. */
    slow: { count: number; factor: number; };
    durationMs: number;
    /** Time at the start that the result leaves out, in milliseconds. */
    warmUpMs: number;
    /** Requests that arrive later are not counted, since they may not end before the simulation does. */
    countedUntilMs: number;
    /** Whether targets are chosen by expected work instead of by the number of requests. */
    byWork: boolean;
    /** Organisations that send alike. */
    organisations: number;
    /** A class or an organisation that sends more than usual for some time. */
    surge: { classIndex?: number; organisation?: number; factor: number; fromMs: number; toMs: number; } | undefined;
}

/** Result for the requests of one group. */
export interface GroupResult {
    requests: number;
    /** Mean and 90th percentile of the queue waits of served requests. */
    meanWaitMs: number;
    p90WaitMs: number;
    /** Share of the requests that missed the latency objective, and the deadline; refused ones count as such. */
    lateShare: number;
    missedShare: number;
    /** Arrivals that an instance or a target refused, divided by the requests. */
    refusals: number;
}

/** Result of a simulation. */
export interface WorkResult {
    classes: GroupResult[];
    /** Requests of the organisation that surges, and of all others. */
    hotOrganisation: GroupResult;
    otherOrganisations: GroupResult;
    /** Returns of refused requests in each quarter of a second. */
    returns: number[];
    /** First arrivals in each quarter of a second. */
    arrivals: number[];
}

interface Group {
    waits: number[];
    requests: number;
    inTime: number;
    inDeadline: number;
    refusals: number;
}

interface SimulatedRequest {
    classIndex: number;
    organisation: number;
    sentAt: number;
    retries: number;
    groups: Group[];
}

const service = "dossier";
const domains = 3;
const connectMs = 4;
const maxCallerRetries = 3;
const quarterMs = 250;
/** Weight of the newest request in an instance's share of refused requests. */
const newestRequestWeight = 0.15;
/** Interval of the digests of 118 instances, and their delay through a relay. */
const digestIntervalMs = 536;
const minDigestDelayMs = 90;

/**
 * Simulates instances that choose targets by the reports in digests; a request has at most two attempts, and callers
 * return up to three times after a refusal. The instances of a failure domain
 * share one tracker, which receives every report with the delay of a digest: an instance that sends a request to a given target
 * once in ten seconds knows little else.
 */
export function simulateWork(load: WorkLoad): WorkResult {
    const source = createRandomSource(load.seed);
    const random = () => source.next();
    const queue = createEventQueue();
    const now = () => queue.now;
    const { schedule } = queue;
    const listed = listTargets({ ...load, service, domains, idPrefix: "t" });
    const targets = listed.map(() => createSimulatedTarget({ ...load, now, schedule, fails: () => false }));
    const indexById = new Map(listed.map(({ id }, index) => [id, index]));
    const directory = {
        get: (id: string) => listed[indexById.get(id) ?? -1],
        serving: () => listed,
    } as unknown as TargetDirectory;
    const trackers = Array.from({ length: domains }, (_, domain) =>
        createTargetTracker({
            directory,
            domain: String(domain),
            now,
            log: silentLog(),
            learnsPaces: true,
            onUrgentChange: () => undefined,
        }));
    const works = Array.from({ length: load.instances }, () => createRequestWorks());
    const admissions = works.map(() => createWorkAdmission({ now, random }));
    const profiles = works.map(() => load.classes.map(() => createLatencyProfile()));
    const refusedShares = works.map(() => 0);
    const createGroup = (): Group => ({ waits: [], requests: 0, inTime: 0, inDeadline: 0, refusals: 0 });
    const classGroups = load.classes.map(createGroup);
    const hotGroup = createGroup();
    const otherGroup = createGroup();
    const quarters = Math.ceil(load.durationMs / quarterMs);
    const returns = Array.from({ length: quarters }, () => 0);
    const arrivals = Array.from({ length: quarters }, () => 0);

    function draw(): SimulatedRequest | undefined {
        let rest = random();
        const classIndex = Math.max(0, load.classes.findIndex(({ share }) => (rest -= share) < 0));
        const organisation = Math.floor(random() * load.organisations);
        const { surge } = load;
        const isHot = surge !== undefined && now() >= surge.fromMs && now() < surge.toMs
            && (surge.classIndex ?? classIndex) === classIndex && (surge.organisation ?? organisation) === organisation;
        // Requests are drawn at the rate of the surge and thinned out to the usual one.
        if (!isHot && random() >= 1 / (surge?.factor ?? 1)) {
            return undefined;
        }
        const groups = [classGroups[classIndex]!, organisation === surge?.organisation ? hotGroup : otherGroup];
        const counted = now() >= load.warmUpMs && now() < load.countedUntilMs ? groups : [];
        counted.forEach(group => group.requests += 1);
        return { classIndex, organisation, sentAt: now(), retries: 0, groups: counted };
    }

    function arrive(request: SimulatedRequest): void {
        const { classIndex, sentAt, groups } = request;
        const instance = Math.floor(random() * load.instances);
        const tracker = trackers[instance % domains]!;
        const profile = profiles[instance]![classIndex]!;
        const { serviceMs, objectiveMs, deadlineMs, priority } = load.classes[classIndex]!;
        (request.retries === 0 ? arrivals : returns)[Math.floor(now() / quarterMs)]! += 1;
        const worked = {
            service,
            latencyObjectiveMs: objectiveMs,
            route: String(classIndex),
            method: "GET",
            bodyBytes: 0,
            organisation: String(request.organisation),
        };
        const work = load.byWork ? works[instance]!.of(worked) : undefined;
        const remainingMs = sentAt + deadlineMs - now();
        const admission = work === undefined ? undefined : {
            remainingMs,
            priority,
            organisation: worked.organisation,
            work,
            candidates: (own: typeof work) => tracker.candidates(service, new Set(), { work: own }),
        };
        const recordRefusal = (refused: boolean) =>
            refusedShares[instance]! += newestRequestWeight * ((refused ? 1 : 0) - refusedShares[instance]!);

        function refuse(seconds: number): void {
            recordRefusal(true);
            groups.forEach(group => group.refusals += 1);
            const leftMs = sentAt + deadlineMs - now();
            const waitMs = Math.min(seconds * 1_000, leftMs / 3);
            if (request.retries < maxCallerRetries && leftMs > serviceMs) {
                schedule(waitMs, () => arrive({ ...request, retries: request.retries + 1 }));
            }
        }

        const admitted = admission === undefined
            ? admitLoad({
                remainingMs,
                priority,
                typicalMs: profile.meanMs(),
                leastUsed: tracker.leastUtilisation(service),
                refusedShare: refusedShares[instance]!,
                msUntilServing: () => 0,
                random,
            })
            : admissions[instance]!.admit(admission);
        if (admitted.isErr()) {
            refuse(admitted.error.retryAfterSeconds!);
            return;
        }
        works[instance]!.count(worked);
        const excluded = new Set<string>();

        function attempt(): void {
            const candidates = tracker.candidates(service, excluded, { work });
            const { target } = chooseTarget(candidates, { isRetryable: true, transferKb: 1 }, random)!;
            excluded.add(target.id);
            const index = indexById.get(target.id)!;
            const slowdown = index < load.slow.count ? load.slow.factor : 1;
            const ownMs = serviceMs * slowdown * (0.7 + 0.6 * random());
            const attemptedAt = now();
            const simulated = targets[index]!;
            schedule(connectMs, () =>
                simulated.run(ownMs, kind => {
                    const report = simulated.load();
                    const digest: TargetDigest = {
                        target: target.id,
                        outcomes: [[kind, 1]],
                        load: [report.running, report.waiting, report.slots],
                    };
                    const delayMs = minDigestDelayMs + random() * digestIntervalMs;
                    schedule(delayMs, () => trackers.forEach(receiver => receiver.applyPeerDigest(digest)));
                    if (kind !== outcome.success) {
                        reject();
                        return;
                    }
                    serve(now() - attemptedAt, ownMs, report.waiting);
                }));
        }

        function reject(): void {
            if (excluded.size < 2) {
                attempt();
                return;
            }
            refuse(
                admission === undefined
                    ? retryAfterSeconds(refusedShares[instance]!, random)
                    : admissions[instance]!.rejectedRetryAfter(admission),
            );
        }

        function serve(ms: number, ownMs: number, waiting: number): void {
            recordRefusal(false);
            profile.record(ms);
            if (waiting === 0) {
                works[instance]!.record(worked, ms);
            }
            const totalMs = now() - sentAt;
            groups.forEach(group => {
                group.inTime += totalMs <= objectiveMs ? 1 : 0;
                group.inDeadline += totalMs <= deadlineMs ? 1 : 0;
                group.waits.push(Math.max(0, ms - ownMs - connectMs));
            });
        }

        attempt();
    }

    const meanMs = load.classes.reduce((sum, { share, serviceMs }) => sum + share * serviceMs, 0);
    const requestsPerMs = load.loadShare * load.targets * load.slots / meanMs * (load.surge?.factor ?? 1);
    let nextAt = 0;
    while (queue.now < load.durationMs - 5) {
        queue.step();
        while (nextAt <= queue.now) {
            const request = draw();
            if (request !== undefined) {
                arrive(request);
            }
            nextAt -= Math.log(1 - random()) / requestsPerMs;
        }
    }

    function resultOf({ waits, requests, inTime, inDeadline, refusals }: Group): GroupResult {
        return {
            requests,
            meanWaitMs: waits.reduce((sum, ms) => sum + ms, 0) / waits.length,
            p90WaitMs: waits.sort((a, b) => a - b)[Math.floor(waits.length * 0.9)]!,
            lateShare: 1 - inTime / requests,
            missedShare: 1 - inDeadline / requests,
            refusals: refusals / requests,
        };
    }

    return {
        classes: classGroups.map(resultOf),
        hotOrganisation: resultOf(hotGroup),
        otherOrganisations: resultOf(otherGroup),
        returns,
        arrivals,
    };
}
