import type { TargetDigest } from "@trefoilladder/mesh";
import { chooseTarget, outcome } from "@trefoilladder/placement";
import type { ListedTarget, TargetDirectory } from "@trefoilladder/replication";
import { createRequestWorks } from "../../packages/gateway/src/request-works";
import { createTargetTracker } from "../../packages/gateway/src/target-tracker";
import { createRandomSource } from "../../packages/routing/src/random-source";
import { createEventQueue } from "../recovery/event-queue";
import { createSimulatedTarget } from "../recovery/simulated-target";
import { silentLog } from "../replication/silent-log";

/** Requests of one route. */
export interface WorkClass {
    /** Share of the service's requests. */
    share: number;
    /** Mean service time in milliseconds; single requests deviate by up to 30 %. */
    serviceMs: number;
    objectiveMs: number;
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
    /** Whether targets are chosen by expected work instead of by the number of requests. */
    byWork: boolean;
}

/** Result for the requests of one class. */
export interface ClassResult {
    requests: number;
    meanWaitMs: number;
    /** Wait that a tenth of the requests exceeds. */
    p90WaitMs: number;
    /** Share of the requests that missed the latency objective; rejected ones count as such. */
    lateShare: number;
    /** Share of the requests that a target rejected because its queue was full. */
    rejectedShare: number;
}

const service = "dossier";
const domains = 3;
const connectMs = 4;
/** Interval of the digests of 118 instances, and their delay through a relay. */
const digestIntervalMs = 536;
const minDigestDelayMs = 90;

function listTargets({ targets, slots }: WorkLoad): ListedTarget[] {
    return Array.from({ length: targets }, (_, index) => ({
        id: `t${index}`,
        service,
        address: "127.0.0.1",
        port: index + 1,
        domain: String(index % domains),
        slots,
        draining: false,
        coldMs: 0,
        coldUntil: 0,
        startedAt: 0,
        sequence: 1,
    }));
}

/**
 * Simulates instances that choose targets by the reports in digests; one attempt for each request. The instances of a failure domain
 * share one tracker, which receives every report with the delay of a digest: an instance that sends a request to a given target
 * once in ten seconds knows little else.
 */
export function simulateWork(load: WorkLoad): ClassResult[] {
    const source = createRandomSource(load.seed);
    const random = () => source.next();
    const queue = createEventQueue();
    const now = () => queue.now;
    const { schedule } = queue;
    const listed = listTargets(load);
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
            onUrgentChange: () => undefined,
        }));
    const works = Array.from({ length: load.instances }, () => createRequestWorks());
    const results = load.classes.map(() => ({ waits: [] as number[], late: 0, rejected: 0 }));

    function arrive(): void {
        const instance = Math.floor(random() * load.instances);
        const tracker = trackers[instance % domains]!;
        let rest = random();
        const classIndex = Math.max(0, load.classes.findIndex(({ share }) => (rest -= share) < 0));
        const { serviceMs, objectiveMs } = load.classes[classIndex]!;
        const request = {
            service,
            latencyObjectiveMs: objectiveMs,
            route: String(classIndex),
            method: "GET",
            bodyBytes: 0,
            organisation: undefined,
        };
        const work = load.byWork ? works[instance]!.of(request) : undefined;
        works[instance]!.count(request);
        const candidates = tracker.candidates(service, new Set(), work);
        const { target } = chooseTarget(candidates, { isRetryable: true, transferKb: 1 }, random)!;
        const index = indexById.get(target.id)!;
        const slowdown = index < load.slow.count ? load.slow.factor : 1;
        const ownMs = serviceMs * slowdown * (0.7 + 0.6 * random());
        const arrivedAt = now();
        const isCounted = arrivedAt >= load.warmUpMs;
        const simulated = targets[index]!;
        schedule(connectMs, () =>
            simulated.run(ownMs, kind => {
                const ms = now() - arrivedAt;
                const report = simulated.load();
                const digest: TargetDigest = {
                    target: target.id,
                    outcomes: [[kind, 1]],
                    load: [report.running, report.waiting, report.slots],
                };
                const delayMs = minDigestDelayMs + random() * digestIntervalMs;
                schedule(delayMs, () => trackers.forEach(receiver => receiver.applyPeerDigest(digest)));
                if (kind === outcome.success && report.waiting === 0) {
                    works[instance]!.record(request, ms);
                }
                if (isCounted) {
                    const result = results[classIndex]!;
                    const isRejected = kind !== outcome.success;
                    result.rejected += isRejected ? 1 : 0;
                    result.late += isRejected || ms > objectiveMs ? 1 : 0;
                    result.waits.push(isRejected ? 0 : Math.max(0, ms - ownMs - connectMs));
                }
            }));
    }

    const meanMs = load.classes.reduce((sum, { share, serviceMs }) => sum + share * serviceMs, 0);
    const requestsPerMs = load.loadShare * load.targets * load.slots / meanMs;
    let nextAt = 0;
    while (queue.now < load.durationMs) {
        queue.step();
        while (nextAt <= queue.now) {
            arrive();
            nextAt -= Math.log(1 - random()) / requestsPerMs;
        }
    }
    return results.map(({ waits, late, rejected }) => ({
        requests: waits.length,
        meanWaitMs: waits.reduce((sum, ms) => sum + ms, 0) / waits.length,
        p90WaitMs: waits.sort((a, b) => a - b)[Math.floor(waits.length * 0.9)]!,
        lateShare: late / waits.length,
        rejectedShare: rejected / waits.length,
    }));
}
