import { chooseProbe, chooseTarget, maxUnrankedTargets, outcome } from "@trefoilladder/placement";
import type { Outcome } from "@trefoilladder/placement";
import type { TargetDirectory } from "@trefoilladder/replication";
import { createIdleLimits } from "../../packages/gateway/src/idle-limits";
import { createTargetSets } from "../../packages/gateway/src/target-sets";
import { createTargetTracker } from "../../packages/gateway/src/target-tracker";
import { createRandomSource } from "../../packages/routing/src/random-source";
import { createEventQueue, stepMs } from "../recovery/event-queue";
import { createSimulatedDigests } from "../recovery/simulated-digests";
import { createSimulatedTarget } from "../recovery/simulated-target";
import { silentLog } from "../replication/silent-log";
import { listTargets } from "./listed-targets";
import { createSimulatedPool } from "./simulated-pool";

/** Load of one service from a large fleet, each instance of which sends few requests. */
export interface ConnectionLoad {
    seed: number;
    instances: number;
    targets: number;
    slots: number;
    queueCapacity: number;
    domains: number;
    /** Requests per second of the whole fleet. */
    requestsPerSecond: number;
    /** Mean service time of a request in milliseconds; single requests deviate by up to 30 %. */
    meanServiceMs: number;
    idempotentShare: number;
    /** Size in kilobytes of a request's body and of a typical response. */
    transferKb: number;
    durationMs: number;
    /** Returns the load of the callers of a domain in proportion to their usual load. */
    loadFactor?(domain: number, now: number): number;
    /** Returns the share of the requests that a target fails. */
    failingShare?(target: number, now: number): number;
    /** Returns whether a target is in the directory. */
    isListed?(target: number, now: number): boolean;
}

/** Result of a simulation; the first seconds, in which all connections are new, are left out. */
export interface ConnectionResult {
    /** Connections opened for each request. */
    openedShare: number;
    /** Share of the requests that were sent to another failure domain. */
    crossDomainShare: number;
    /** Largest number of requests that waited at one target. */
    largestQueue: number;
    /** Share of the requests that arrived at a target all of whose slots were in use. */
    queuedShare: number;
    /** Share of the requests that received no response from a sound target. */
    failedShare: number;
    /** Smallest share of the sound targets that received requests in an interval of two seconds. */
    smallestCoverage: number;
    /** Largest load of a target in proportion to the mean, in responses over the whole run. */
    largestLoadRatio: number;
    /** Time of the first request at each target, in milliseconds. */
    firstArrivals: number[];
}

const service = "dossier";
const connectMs = 4;
const maxAttempts = 3;
const warmUpMs = 3_000;
const coverageIntervalMs = 2_000;

/** Simulates the choices of all instances with their estimates, digests and pools of connections. */
export function simulateConnections(load: ConnectionLoad): ConnectionResult {
    const source = createRandomSource(load.seed);
    const random = () => source.next();
    const queue = createEventQueue();
    const now = () => queue.now;
    const all = listTargets({ ...load, service, idPrefix: "target-" });
    const indexById = new Map(all.map(({ id }, index) => [id, index]));
    const failingShare = (target: number) => load.failingShare?.(target, now()) ?? 0;
    const isListed = (target: number) => load.isListed?.(target, now()) ?? true;
    const targets = all.map((_, index) =>
        createSimulatedTarget({
            ...load,
            now,
            schedule: queue.schedule,
            fails: () => random() < failingShare(index),
        })
    );
    const directory = {
        get: (id: string) => all[indexById.get(id) ?? -1],
        serving: () => all.filter((_, index) => isListed(index)),
    } as unknown as TargetDirectory;
    const members = Array.from({ length: load.instances }, (_, index) => ({
        id: `10.0.0.${index}:8500`,
        domain: String(index % load.domains),
    }));
    const instances = members.map((self, index) => {
        const pool = createSimulatedPool(now);
        const idleLimits = createIdleLimits({
            now,
            log: silentLog(),
            hasManyTargets: () => load.targets > maxUnrankedTargets,
            runningSince: () => 0,
            peersRunningSince: () => [],
        });
        const tracker = createTargetTracker({
            directory,
            domain: self.domain,
            idleLimits,
            now,
            log: silentLog(),
            targetSets: createTargetSets({
                self: () => self,
                peers: () => members.filter(member => member !== self),
                hasIdleConnection: pool.hasIdle,
                now,
            }),
            onUrgentChange: () => digests.request(index),
        });
        return { domain: index % load.domains, pool, tracker, idleLimits };
    });
    const digests = createSimulatedDigests({
        trackers: instances.map(({ tracker }) => tracker),
        queue,
        random,
        lossShare: 0,
    });
    const counts = { sent: 0, crossDomain: 0, queued: 0, failed: 0, opened: 0, largestQueue: 0 };
    const served = all.map(() => 0);
    let smallestCoverage = 1;

    function send(instance: number, isIdempotent: boolean, excluded: Set<string>): void {
        const { domain, pool, tracker, idleLimits } = instances[instance]!;
        const maxIdleMs = idleLimits.maxIdleMs(service, isIdempotent);
        const canRetry = isIdempotent && excluded.size + 1 < maxAttempts;
        const profile = { isRetryable: canRetry, transferKb: load.transferKb };
        const candidates = tracker.candidates(service, excluded, { maxIdleMs });
        const probed = canRetry && excluded.size === 0 ? chooseProbe(candidates, profile, random) : undefined;
        const { target } = probed ?? chooseTarget(candidates, profile, random)!;
        const index = indexById.get(target.id)!;
        const isCounted = now() >= warmUpMs;
        excluded.add(target.id);
        tracker.begin(target.id);
        const isNew = pool.take(target.id, maxIdleMs);
        counts.sent += isCounted ? 1 : 0;
        counts.opened += isCounted && isNew ? 1 : 0;
        counts.crossDomain += isCounted && target.domain !== String(domain) ? 1 : 0;
        queue.schedule(isNew ? connectMs : 0, () => {
            const { running, slots } = targets[index]!.load();
            counts.queued += isCounted && running >= slots ? 1 : 0;
            const serviceMs = load.meanServiceMs * (0.7 + 0.6 * random());
            targets[index]!.run(serviceMs, kind => respond(kind, index));
            counts.largestQueue = Math.max(counts.largestQueue, targets[index]!.load().waiting);
        });

        function respond(kind: Outcome, target: number): void {
            const { id } = all[target]!;
            tracker.end(id);
            tracker.reportLoad(id, targets[target]!.load());
            tracker.observe(id, kind);
            pool.release(id);
            if (kind === outcome.success) {
                served[target]! += 1;
            }
            else if (canRetry) {
                send(instance, isIdempotent, excluded);
            }
            else {
                counts.failed += isCounted ? 1 : 0;
            }
        }
    }

    function measureCoverage(): void {
        const sound = targets.filter((_, index) => isListed(index) && failingShare(index) === 0);
        const reached = sound.filter(({ arrivals }) => arrivals > 0).length;
        smallestCoverage = Math.min(smallestCoverage, reached / sound.length);
        targets.forEach(target => target.resetArrivals());
    }

    digests.start();
    const usualLoad = load.requestsPerSecond * stepMs / 1_000 / load.instances;
    while (queue.now < load.durationMs) {
        queue.step();
        instances.forEach(({ domain }, index) => {
            if (random() < usualLoad * (load.loadFactor?.(domain, now()) ?? 1)) {
                send(index, random() < load.idempotentShare, new Set());
            }
        });
        if (now() % coverageIntervalMs === 0) {
            measureCoverage();
        }
    }
    const totalServed = served.reduce((sum, count) => sum + count, 0);
    return {
        openedShare: counts.opened / counts.sent,
        crossDomainShare: counts.crossDomain / counts.sent,
        largestQueue: counts.largestQueue,
        queuedShare: counts.queued / counts.sent,
        failedShare: counts.failed / counts.sent,
        smallestCoverage,
        largestLoadRatio: Math.max(...served) / (totalServed / served.length),
        firstArrivals: targets.map(({ firstArrivalAt }) => firstArrivalAt),
    };
}
