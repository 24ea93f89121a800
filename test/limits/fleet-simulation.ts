/**
 * Simulates the limits of one organisation on a fleet whose instances find each other, exchange digests and restart.
 */

import {
    createColdShares,
    createLimitGroup,
    createTokenClient,
    createTokenOwner,
    rankOwners,
    startDelayMs,
    startedTogether,
} from "@trefoilladder/limits";
import type { ColdShares, OwnerCandidate, TokenClient, TokenOwner } from "@trefoilladder/limits";
import { createRateLimits } from "../../packages/gateway/src/rate-limits";
import type { RateLimits } from "../../packages/gateway/src/rate-limits";
import { createPeers } from "../../packages/mesh/src/peers";
import type { Peers } from "../../packages/mesh/src/peers";
import { createRandomSource } from "../../packages/routing/src/random-source";

/** Plan of the organisation. */
export interface Plan {
    ratePerSecond: number;
    burst: number;
}

/**
 * Kinds of events: a kill and a start, a pause, a partition from all others with the other instances of the event or alone, and
 * a configuration without the organisation or with it.
 */
export type EventKind = "restart" | "pause" | "separate" | "isolate" | "withdraw" | "grant";

/** What happens to the instances of the given indices at a moment of the simulation. */
export interface FleetEvent {
    atMs: number;
    instances: readonly number[];
    kind: EventKind;
    /** How long the instances are away before they start without any knowledge, stand still or are cut off. */
    forMs?: number;
}

/** A fleet and the organisation's demand. */
export interface FleetScenario {
    seed: number;
    instances: number;
    plan: Plan;
    /**
     * Organisations among which the demand is divided in proportion to their rates.
     * @default one with `plan`
     */
    organisations?: readonly Plan[];
    /** Requests per second of all organisations over all instances. */
    demandPerSecond(nowMs: number): number;
    /**
     * Shortest and longest time in milliseconds from the arrival of a request to its deadline.
     * @default each request waits for a decision for 2 s
     */
    deadlinesMs?: readonly [shortest: number, longest: number];
    /**
     * Returns the time in milliseconds after its start at which an instance has its configuration; requests wait for it.
     * @default 0 for all instances
     */
    configurationDelayMs?(instance: number): number;
    /** Whether some instances receive many times as many requests as others. */
    isUneven?: boolean;
    /** Whether all instances receive their requests at the same moments. */
    isInStep?: boolean;
    /** Share of the digests that are lost, for each receiver. */
    lossShare?: number;
    events?: readonly FleetEvent[];
    /** Targets that are cold; all instances send them as many requests as they may. */
    coldTargets?: ColdTargets;
    durationMs?: number;
}

/** Targets that are cold from a moment on. */
export interface ColdTargets {
    ids: readonly string[];
    /** Requests per second that each of them handles. */
    perSecond: number;
    fromMs: number;
}

/** A request for which a token was asked. */
export interface RequestOutcome {
    /** Position among the organisations. */
    organisation: number;
    /** Times in milliseconds. */
    arrivedAt: number;
    decidedAt: number;
    deadlineAt: number;
    isAdmitted: boolean;
}

/** Times in milliseconds of the requests of the organisation. */
export interface FleetRun {
    requests: RequestOutcome[];
    /** Number of requests for tokens and of responses that instances sent to each other. */
    tokenMessages: number;
    admitted: number[];
    /** Requests at instances that had nothing else to reject them for. */
    rejected: number[];
    /** Times of the requests to each cold target. */
    sentToCold: Map<string, number[]>;
}

interface ArrivedRequest {
    organisation: number;
    arrivedAt: number;
}

interface Process {
    isConfigured: boolean;
    limits: RateLimits;
    group: ReturnType<typeof createLimitGroup>;
    owner: TokenOwner;
    client: TokenClient;
    coldShares: ColdShares;
    peers: Peers;
    incarnation: number;
    startedAt: number;
    digestSentAt: number;
}

interface Instance {
    index: number;
    address: string;
    weight: number;
    process: Process | undefined;
    startsAt: number;
    pausedUntil: number;
    /** Side of a partition; instances on different sides do not reach each other. */
    side: string;
    sideUntil: number;
    /** Requests and digests that arrived during a pause. */
    queuedRequests: ArrivedRequest[];
    queuedDigests: (() => void)[];
}

interface Delivery {
    at: number;
    apply(): void;
}

const stepMs = 10;
const tickMs = 200;
const heartbeatMs = 600;
const startIntervalMs = 50;
const startPhaseMs = 1_500;
const maxPeersAtBaseInterval = 44;
const directDelayMs = 2;
const minRelayDelayMs = 20;
const maxRelayDelayMs = 130;
const seedCount = 3;
/** Time in milliseconds for which a request waits for a decision. */
const maxDecisionMs = 2_000;
const addressesPerDigest = 2;
const defaultDurationMs = 20_000;
/** Time before the first request, in which the instances find each other. */
export const warmUpMs = 5_000;
const organisationName = "taipei";

/** Runs a scenario; the same seed gives the same run. */
export function simulateFleet(scenario: FleetScenario): FleetRun {
    const random = createRandomSource(scenario.seed);
    const { plan, lossShare = 0 } = scenario;
    const { organisations: plans = [plan], configurationDelayMs = () => 0 } = scenario;
    const organisations = plans.map((organisationPlan, index) => ({
        name: index === 0 ? organisationName : `${organisationName}-${index}`,
        keys: [],
        priority: undefined,
        ...organisationPlan,
    }));
    const totalRate = plans.reduce((sum, { ratePerSecond }) => sum + ratePerSecond, 0);
    let now = 0;
    const run: FleetRun = { requests: [], tokenMessages: 0, admitted: [], rejected: [], sentToCold: new Map() };
    const deliveries = new Map<number, Delivery[]>();
    const instances = Array.from({ length: scenario.instances }, (_, index): Instance => ({
        index,
        address: `i${index}`,
        weight: scenario.isUneven === true ? Math.exp(2 * random.next()) ** 2 : 1,
        process: undefined,
        startsAt: Math.floor(random.next() * 300 / stepMs) * stepMs,
        pausedUntil: 0,
        side: "",
        sideUntil: 0,
        queuedRequests: [],
        queuedDigests: [],
    }));
    const byAddress = new Map(instances.map(instance => [instance.address, instance]));
    const totalWeight = instances.reduce((sum, { weight }) => sum + weight, 0);
    let incarnations = 0;

    function start(instance: Instance): void {
        const group = createLimitGroup({ now: () => now, minChange: 1 });
        const limits = createRateLimits(group, () => now, { stateChange: () => undefined });
        const peers = createPeers(instance.address);
        instances.slice(0, seedCount).forEach(({ address }) => peers.discover(address, now));
        const startedAt = now;
        const incarnation = incarnations += 1;
        const owner = createTokenOwner({ group, now: () => now });
        const client = createTokenClient({
            self: () => instance.address,
            incarnation: String(incarnation),
            group,
            owner,
            now: () => now,
            schedule: (callback, ms) =>
                enqueue(instance, ms, () => instance.process?.incarnation === incarnation && callback()),
            owners: name =>
                rankOwners(name, candidates(instance.address, runningSince({ startedAt, group }), peers), now),
            fleetSize: () => Math.round((peers.inContact(now).length + 1) / peers.contactShare(now)),
            send(address, message) {
                const asked = byAddress.get(address)!;
                run.tokenMessages += 1;
                deliver(instance, asked, directDelayMs, receiver => {
                    const response = receiver.owner.answer(message);
                    run.tokenMessages += 1;
                    deliver(asked, instance, directDelayMs, () => instance.process?.client.receive(address, response));
                });
            },
            count: () => undefined,
        });
        const coldShares = createColdShares({
            self: () => instance.address,
            now: () => now,
            runningSince: () => runningSince({ startedAt, group }),
            candidates: () => candidates(instance.address, runningSince({ startedAt, group }), peers),
            hasOthers: () => true,
            contactShare: () => peers.contactShare(now),
        });
        instance.process = {
            isConfigured: false,
            limits,
            group,
            owner,
            client,
            coldShares,
            peers,
            incarnation,
            startedAt,
            digestSentAt: -Infinity,
        };
    }

    /** Returns the instances that may own limits, as one instance knows them. */
    function candidates(self: string, since: number, peers: Peers): OwnerCandidate[] {
        const known = peers.inContact(now).map(peer => ({ address: peer.address, runningSince: peer.runningSince! }));
        return [{ address: self, runningSince: since }, ...known];
    }

    function enqueue(to: Instance, delayMs: number, apply: () => void): void {
        const at = now + Math.max(stepMs, Math.round(delayMs / stepMs) * stepMs);
        const list = deliveries.get(at) ?? [];
        deliveries.set(at, list);
        list.push({
            at,
            apply() {
                if (now < to.pausedUntil) {
                    to.queuedDigests.push(apply);
                    return;
                }
                apply();
            },
        });
    }

    function sideOf({ side, sideUntil }: Instance): string {
        return now < sideUntil ? side : "";
    }

    function deliver(from: Instance, to: Instance, delayMs: number, apply: (process: Process) => void): void {
        if (random.next() < lossShare || sideOf(from) !== sideOf(to)) {
            return;
        }
        enqueue(to, delayMs, () => {
            if (to.process !== undefined) {
                apply(to.process);
            }
        });
    }

    function sendDigest(
        from: Instance,
        process: Process,
        to: readonly Instance[],
        delayMs: number,
        isProbe: boolean,
    ): void {
        const totals = isProbe ? [] : process.group.collectChangedTotals();
        const inContact = process.peers.inContact(now);
        const addresses = Array.from(
            { length: inContact.length === 0 ? 0 : addressesPerDigest },
            () => inContact[Math.floor(random.next() * inContact.length)]!.address,
        );
        const sender = `${from.address}/${process.incarnation}`;
        const uptimeMs = now - runningSince(process);
        to.forEach(other =>
            deliver(from, other, delayMs, receiver => {
                recordSender(receiver, from, process, uptimeMs);
                addresses.forEach(address => receiver.peers.discover(address, now));
                receiver.group.applyPeerTotals(sender, totals);
                if (isProbe) {
                    respond(other, receiver, from);
                }
            })
        );
    }

    function recordSender({ peers }: Process, { address }: Instance, { incarnation }: Process, uptimeMs: number): void {
        const peer = peers.recordDigest(address, String(incarnation), now)!;
        peers.recordUptime(peer, uptimeMs, now);
    }

    function runningSince({ startedAt, group }: Pick<Process, "startedAt" | "group">): number {
        return Math.max(startedAt, group.pausedAt());
    }

    function respond(from: Instance, process: Process, to: Instance): void {
        const addresses = process.peers.addresses();
        const sender = `${from.address}/${process.incarnation}`;
        const uptimeMs = now - runningSince(process);
        deliver(from, to, directDelayMs, receiver => {
            recordSender(receiver, from, process, uptimeMs);
            addresses.forEach(address => receiver.peers.discover(address, now));
            receiver.group.applyPeerTotals(sender, []);
        });
    }

    function tick(instance: Instance, process: Process): void {
        const { peers } = process;
        const inContact = peers.inContact(now);
        const intervalMs = Math.min(heartbeatMs, tickMs * Math.max(1, inContact.length / maxPeersAtBaseInterval));
        if (inContact.length > 0 && now - process.digestSentAt >= 0.9 * intervalMs) {
            process.digestSentAt = now;
            const delayMs = minRelayDelayMs + random.next() * (maxRelayDelayMs - minRelayDelayMs);
            sendDigest(instance, process, inContact.map(({ address }) => byAddress.get(address)!), delayMs, false);
        }
        updateContact(instance, process);
    }

    function updateContact(instance: Instance, process: Process): void {
        const { peers, group } = process;
        const due = peers.dueForProbe(now);
        sendDigest(instance, process, due.map(({ address }) => byAddress.get(address)!), directDelayMs, true);
        group.tick();
        group.setContactShare(peers.contactShare(now));
        const since = runningSince(process);
        const known = candidates(instance.address, since, peers);
        const isSimultaneous = startedTogether(since, known);
        process.owner.updateContact(peers.contactShare(now), isSimultaneous, startDelayMs(since, known));
    }

    function request({ process }: Instance, { organisation: index, arrivedAt }: ArrivedRequest): void {
        const organisation = organisations[index]!;
        const deadlineAt = arrivedAt + drawDeadlineMs();
        const decided = (isAdmitted: boolean) => {
            (isAdmitted ? run.admitted : run.rejected).push(now);
            run.requests.push({ organisation: index, arrivedAt, decidedAt: now, deadlineAt, isAdmitted });
        };
        if (process!.limits.limitOf(organisation) === undefined) {
            decided(false);
            return;
        }
        process!.client.take(organisation.name, Math.min(maxDecisionMs, deadlineAt - now), ({ kind }) => {
            decided(kind === "granted");
        });
    }

    function drawDeadlineMs(): number {
        const [shortest, longest] = scenario.deadlinesMs ?? [Infinity, Infinity];
        return shortest === longest ? shortest : shortest + random.next() * (longest - shortest);
    }

    /** Returns the organisation of a request, at random by rate. */
    function drawOrganisation(): number {
        let rest = plans.length === 1 ? 0 : random.next() * totalRate;
        return Math.max(0, plans.findIndex(({ ratePerSecond }) => (rest -= ratePerSecond) < 0));
    }

    function sendToColdTargets({ coldShares }: Process, { ids, perSecond, fromMs }: ColdTargets): void {
        for (const id of now < fromMs ? [] : ids) {
            while (coldShares.mayTake(id, perSecond)) {
                coldShares.take(id, perSecond);
                run.sentToCold.set(id, [...run.sentToCold.get(id) ?? [], now]);
            }
        }
    }

    const eventHandlers: Record<EventKind, (instance: Instance, untilMs: number) => void> = {
        restart(instance, untilMs) {
            instance.process = undefined;
            instance.startsAt = untilMs;
        },
        pause: (instance, untilMs) => instance.pausedUntil = untilMs,
        separate: (instance, untilMs) => Object.assign(instance, { side: "separate", sideUntil: untilMs }),
        isolate: (instance, untilMs) => Object.assign(instance, { side: instance.address, sideUntil: untilMs }),
        withdraw: instance => instance.process?.limits.configure([]),
        grant: instance => instance.process?.limits.configure(organisations),
    };

    function applyEvent({ kind, instances: indices, forMs = 0 }: FleetEvent): void {
        indices.forEach(index => eventHandlers[kind](instances[index]!, now + forMs));
    }

    /** Returns the number of requests in a step at an instance with a weight. */
    function arrivals(weight: number): number {
        if (now < warmUpMs) {
            return 0;
        }
        const expected = scenario.demandPerSecond(now) * weight / totalWeight * stepMs / 1_000;
        if (scenario.isInStep === true) {
            return Math.floor(now / stepMs * expected + expected) - Math.floor(now / stepMs * expected);
        }
        // Requests of a Poisson process.
        let count = 0;
        for (let product = random.next(); product > Math.exp(-expected); product *= random.next()) {
            count += 1;
        }
        return count;
    }

    for (; now < (scenario.durationMs ?? defaultDurationMs); now += stepMs) {
        scenario.events?.filter(({ atMs }) => atMs === now).forEach(applyEvent);
        for (const instance of instances) {
            if (instance.process === undefined && now >= instance.startsAt) {
                start(instance);
            }
            const arrived = Array.from(
                { length: arrivals(instance.weight) },
                () => ({ organisation: drawOrganisation(), arrivedAt: now }),
            );
            instance.queuedRequests.push(...arrived);
            const { process } = instance;
            if (process === undefined) {
                instance.queuedRequests = [];
                continue;
            }
            if (now < instance.pausedUntil) {
                continue;
            }
            if (!process.isConfigured && now - process.startedAt >= configurationDelayMs(instance.index)) {
                process.isConfigured = true;
                process.limits.configure(organisations);
            }
            // Requests that arrived during a pause are handled before digests and timers.
            const handled = process.isConfigured ? instance.queuedRequests.splice(0) : [];
            handled.forEach(queued => request(instance, queued));
            if (scenario.coldTargets !== undefined) {
                sendToColdTargets(process, scenario.coldTargets);
            }
            instance.queuedDigests.splice(0).forEach(receive => receive());
            if ((now + instance.index * stepMs) % tickMs === 0) {
                tick(instance, process);
            }
            else if (now - process.startedAt < startPhaseMs && (now - process.startedAt) % startIntervalMs === 0) {
                updateContact(instance, process);
            }
        }
        deliveries.get(now)?.forEach(({ apply }) => apply());
        deliveries.delete(now);
    }
    return run;
}

/** Window in milliseconds of the users' bound on admissions. */
const windowMs = 5_000;

/** Returns the maximum number of times within one window. */
export function maxInWindow(times: readonly number[], lengthMs = windowMs): number {
    let max = 0;
    for (let first = 0, last = 0; last < times.length; last++) {
        while (times[last]! - times[first]! >= lengthMs) {
            first += 1;
        }
        max = Math.max(max, last - first + 1);
    }
    return max;
}

/** Returns the admissions that users accept in a window: 10% above the plan plus 20 requests. */
export function allowedInWindow({ ratePerSecond, burst }: Plan): number {
    return (ratePerSecond * windowMs / 1_000 + burst) * 1.1 + 20;
}
