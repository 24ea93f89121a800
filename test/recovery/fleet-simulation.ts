import {
    chooseProbe,
    chooseTarget,
    createLatencyProfile,
    createRetryBudget,
    explainedWaitMs,
    hedgeReserveShare,
    mayRetry,
    outcome,
    probeReserveShare,
    retryAfterSeconds,
    retryReserveShare,
} from "@trefoilladder/placement";
import type { AttemptEnd, LatencyProfile, Outcome, RetryBudget } from "@trefoilladder/placement";
import type { ListedTarget, TargetDirectory } from "@trefoilladder/replication";
import { admitLoad } from "../../packages/gateway/src/admission";
import { createTargetTracker } from "../../packages/gateway/src/target-tracker";
import type { TargetCandidate, TargetTracker } from "../../packages/gateway/src/target-tracker";
import { createRandomSource } from "../../packages/routing/src/random-source";
import { silentLog } from "../replication/silent-log";
import { createEventQueue, stepMs } from "./event-queue";
import { createSimulatedDigests } from "./simulated-digests";
import { createSimulatedTarget } from "./simulated-target";

/** Requests of one route. */
export interface SimulatedRoute {
    /** Share of the service's requests. */
    share: number;
    idempotent: boolean;
    /** Mean service time in milliseconds; single requests deviate by up to 30 %. */
    meanServiceMs: number;
    objectiveMs: number;
    deadlineMs: number;
    timeoutMs: number;
}

/** A fleet of instances in front of one service. */
export interface SimulatedFleet {
    seed: number;
    instances: number;
    targets: number;
    domains: number;
    slots: number;
    /** Requests that a target queues beside those it runs; it sheds any more. */
    queueCapacity: number;
    /** Offered load as a share of the slots of all targets. */
    loadShare: number;
    routes: readonly SimulatedRoute[];
    durationMs: number;
    /** Returns the share of requests that a target fails at once. */
    failingShare?(target: number, now: number): number;
    /** Sets the estimates of the instances at the start. */
    prepare?(fleet: PreparedFleet): void;
    /** Share of the digests that are lost on the way to each receiver. */
    digestLossShare: number;
}

/** State of the instances that `prepare` may change. */
export interface PreparedFleet {
    trackers: readonly TargetTracker[];
    targetIds: readonly string[];
    /** Latency profiles by instance and route. */
    profiles: readonly (readonly LatencyProfile[])[];
    slots: number;
    queueCapacity: number;
    random(): number;
}

/** Results of the requests that callers sent in one second. */
export interface SecondResult {
    sent: number;
    /** Requests with a response within the latency objective. */
    inTime: number;
    late: number;
    /** Requests that were refused until their caller gave up. */
    refused: number;
    failed: number;
}

/** Result of a simulation. */
export interface FleetResult {
    seconds: SecondResult[];
    shedCount: number;
    /** Non-idempotent requests that failed at a failing target, as a share of those sent. */
    failedShare: number;
    /** Arrivals at the busiest target divided by the mean, over the second half. */
    busiestRatio: number;
    /** Latest time in milliseconds at which a target received its first request. */
    lastFirstArrivalMs: number;
}

interface CallerRequest {
    route: number;
    sentAt: number;
    retries: number;
}

const connectMs = 4;
const maxCallerRetries = 3;
const maxAttempts = 3;
/** Weight of the newest request in an instance's share of refused requests. */
const newestRequestWeight = 0.15;
const retryRatio = 0.2;
const service = "dossier";

function listTargets(fleet: SimulatedFleet): ListedTarget[] {
    return Array.from({ length: fleet.targets }, (_, index) => ({
        id: `t${index}`,
        service,
        address: "127.0.0.1",
        port: index + 1,
        domain: String(index % fleet.domains),
        slots: fleet.slots,
        draining: false,
        coldMs: 0,
        coldUntil: 0,
        startedAt: 0,
        sequence: 1,
    }));
}

/** Creates a retry budget that all instances share without delay. */
function createFleetRetryBudget(targets: number, now: () => number): RetryBudget {
    const reserve = 2 * targets;
    let tokens = reserve / 4;
    return createRetryBudget({ ratio: retryRatio, reserve }, {
        take() {
            tokens -= 1;
            return 0;
        },
        refund(_, count) {
            tokens = Math.min(reserve / 2, tokens + count);
        },
        level: () => tokens,
    }, now);
}

/** Simulates instances that choose targets by their own estimates and exchange these by digests. */
export function simulateFleet(fleet: SimulatedFleet): FleetResult {
    const source = createRandomSource(fleet.seed);
    const random = () => source.next();
    const queue = createEventQueue();
    const now = () => queue.now;
    const { schedule } = queue;
    const listed = listTargets(fleet);
    const indexById = new Map(listed.map(({ id }, index) => [id, index]));
    const targets = listed.map((_, index) =>
        createSimulatedTarget({
            ...fleet,
            now,
            schedule,
            fails: () => random() < (fleet.failingShare?.(index, now()) ?? 0),
        })
    );
    const directory = {
        get: (id: string) => listed[indexById.get(id) ?? -1],
        serving: () => listed,
    } as unknown as TargetDirectory;
    const trackers = Array.from({ length: fleet.instances }, (_, instance) =>
        createTargetTracker({
            directory,
            domain: String(instance % fleet.domains),
            now,
            log: silentLog(),
            onUrgentChange: () => digests.request(instance),
        }));
    const digests = createSimulatedDigests({ trackers, queue, random, lossShare: fleet.digestLossShare });
    const profiles = trackers.map(() => fleet.routes.map(() => createLatencyProfile()));
    const refusedShares = trackers.map(() => 0);
    const retryBudget = createFleetRetryBudget(fleet.targets, now);
    const seconds = Array.from(
        { length: Math.ceil(fleet.durationMs / 1_000) },
        (): SecondResult => ({ sent: 0, inTime: 0, late: 0, refused: 0, failed: 0 }),
    );
    let shedCount = 0;
    let nonIdempotentSent = 0;
    let nonIdempotentFailed = 0;

    function recordRefusal(instance: number, refused: boolean): void {
        refusedShares[instance]! += newestRequestWeight * ((refused ? 1 : 0) - refusedShares[instance]!);
    }

    /** Handles a caller's request at an instance that the platform draws. */
    function arrive(request: CallerRequest): void {
        const instance = Math.floor(random() * fleet.instances);
        const tracker = trackers[instance]!;
        const route = fleet.routes[request.route]!;
        const profile = profiles[instance]![request.route]!;
        const result = seconds[Math.floor(request.sentAt / 1_000)]!;
        const callerEndAt = request.sentAt + route.deadlineMs;
        const endAt = Math.min(callerEndAt, now() + route.timeoutMs);

        function refuse(waitSeconds: number): void {
            recordRefusal(instance, true);
            const waitMs = Math.min(waitSeconds * 1_000, (callerEndAt - now()) / 3);
            if (request.retries >= maxCallerRetries || now() + waitMs >= callerEndAt) {
                result.refused += 1;
                return;
            }
            schedule(waitMs, () => arrive({ ...request, retries: request.retries + 1 }));
        }

        const admission = admitLoad({
            remainingMs: endAt - now(),
            priority: route.idempotent ? 2 : 1,
            typicalMs: profile.meanMs(),
            leastUsed: tracker.leastUtilisation(service),
            refusedShare: refusedShares[instance]!,
            msUntilServing: () => 0,
            random,
        });
        if (admission.isErr()) {
            refuse(admission.error.retryAfterSeconds!);
            return;
        }
        retryBudget.deposit();
        const excluded = new Set<string>();
        const running = new Set<ListedTarget>();
        const lateAfterMs = profile.lateAfterMs(route.objectiveMs);
        let arrivals = 0;
        let settled = false;

        function choose(): TargetCandidate {
            const canRetry = route.idempotent && arrivals + 1 < maxAttempts && retryBudget.hasTokens();
            const mayProbe = canRetry && arrivals === 0 && retryBudget.hasTokens(probeReserveShare);
            const candidates = tracker.candidates(service, excluded);
            const profile = { isRetryable: canRetry, transferKb: 1 };
            const probed = mayProbe ? chooseProbe(candidates, profile, random) : undefined;
            return probed ?? chooseTarget(candidates, profile, random)!;
        }

        function startAttempt(): void {
            const { target } = choose();
            excluded.add(target.id);
            running.add(target);
            arrivals += 1;
            tracker.begin(target.id);
            schedule(connectMs, () => sendTo(target));
        }

        function sendTo(target: ListedTarget): void {
            const sentAt = now();
            const isWaiting = () => running.has(target) && !settled;

            function reportLate(): void {
                const explainedMs = explainedWaitMs(tracker.utilisation(target), profile.meanMs());
                const remainingMs = lateAfterMs + explainedMs - (now() - sentAt);
                if (remainingMs <= 0) {
                    tracker.observe(target.id, outcome.late);
                    return;
                }
                schedule(remainingMs, () => isWaiting() && reportLate());
            }

            schedule(lateAfterMs, () => {
                if (!isWaiting()) {
                    return;
                }
                reportLate();
                const canHedge = route.idempotent && running.size === 1 && arrivals < maxAttempts;
                if (canHedge && retryBudget.take(hedgeReserveShare)) {
                    startAttempt();
                }
            });
            const serviceMs = route.meanServiceMs * (0.7 + 0.6 * random());
            const simulated = targets[indexById.get(target.id)!]!;
            simulated.run(serviceMs, kind => {
                running.delete(target);
                tracker.reportLoad(target.id, simulated.load());
                tracker.end(target.id);
                if (!settled) {
                    tracker.observe(target.id, kind);
                    onResponse(kind, now() - sentAt);
                }
            });
        }

        function onResponse(kind: Outcome, ms: number): void {
            if (kind === outcome.success) {
                settled = true;
                recordRefusal(instance, false);
                profile.record(ms);
                result[now() - request.sentAt <= route.objectiveMs ? "inTime" : "late"] += 1;
                return;
            }
            const isFailure = kind === outcome.failure;
            shedCount += isFailure ? 0 : 1;
            nonIdempotentFailed += isFailure && !route.idempotent ? 1 : 0;
            if (running.size === 0) {
                onAttemptsEnded(isFailure ? "failed" : "not_run");
            }
        }

        function onAttemptsEnded(end: AttemptEnd): void {
            const retries = mayRetry(end, {
                idempotent: route.idempotent,
                arrivals,
                maxAttempts,
                failedConnections: 0,
                remainingMs: endAt - now(),
                budgetLeft: retryBudget.hasTokens(retryReserveShare(end)),
                bodyBuffered: true,
            });
            if (retries) {
                retryBudget.take();
                startAttempt();
                return;
            }
            settled = true;
            if (end === "not_run") {
                refuse(retryAfterSeconds(refusedShares[instance]!, random));
                return;
            }
            recordRefusal(instance, false);
            result.failed += 1;
        }

        function timeOut(): void {
            if (!settled) {
                settled = true;
                running.forEach(target => tracker.observe(target.id, outcome.timedOut));
                result.failed += 1;
            }
        }

        nonIdempotentSent += route.idempotent ? 0 : 1;
        schedule(endAt - now(), timeOut);
        startAttempt();
    }

    function drawRoute(): number {
        let rest = random();
        return Math.max(0, fleet.routes.findIndex(({ share }) => (rest -= share) < 0));
    }

    const meanServiceMs = fleet.routes.reduce((sum, route) => sum + route.share * route.meanServiceMs, 0);
    const requestsPerStep = fleet.loadShare * fleet.targets * fleet.slots / meanServiceMs * stepMs;
    fleet.prepare?.({ ...fleet, trackers, profiles, targetIds: listed.map(({ id }) => id), random });
    digests.start();
    while (now() < fleet.durationMs - stepMs) {
        queue.step();
        if (now() === Math.ceil(fleet.durationMs / 2 / stepMs) * stepMs) {
            targets.forEach(target => target.resetArrivals());
        }
        for (let expected = requestsPerStep; expected > 0; expected -= 1) {
            if (random() < expected) {
                seconds[Math.floor(now() / 1_000)]!.sent += 1;
                arrive({ route: drawRoute(), sentAt: now(), retries: 0 });
            }
        }
    }
    const meanArrivals = targets.reduce((sum, { arrivals }) => sum + arrivals, 0) / targets.length;
    return {
        seconds,
        shedCount,
        failedShare: nonIdempotentFailed / nonIdempotentSent,
        busiestRatio: Math.max(...targets.map(({ arrivals }) => arrivals)) / meanArrivals,
        lastFirstArrivalMs: Math.max(...targets.map(({ firstArrivalAt }) => firstArrivalAt)),
    };
}
