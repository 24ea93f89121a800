import { applyRecord, createConfiguration } from "@trefoilladder/configuration";
import type { LogRecord } from "@trefoilladder/platform";
import { sharedNow } from "@trefoilladder/stand-ins";
import type { Random, TargetBehaviour } from "@trefoilladder/stand-ins";
import { randomUUID } from "node:crypto";
import { setTimeout as delay } from "node:timers/promises";
import { request } from "undici";
import type { Balancer } from "./balancer";
import { isReady } from "./balancer";
import { callJson, domains, waitUntil } from "./fleet";
import type { Baseline, EntryProcess, Fleet, TargetProcess } from "./fleet";
import type { History } from "./history";
import { violationKind } from "./history-checker";
import type { Violation } from "./history-checker";
import type { TargetFault } from "./measures";

/** Fleet, recorded data and parameters that the steps of an experiment use. */
export interface ExperimentContext {
    fleet: Fleet;
    balancer: Balancer;
    history: History;
    faults: TargetFault[];
    /** Violations that a step detects and that the history does not contain. */
    violations: Violation[];
    random: Random;
    /** Duration of the load in milliseconds. */
    durationMs: number;
}

/** An action at a point of the run. */
export interface Step {
    /** Point of the run as a fraction of its duration, from 0 to 1. */
    at: number;
    run(context: ExperimentContext): Promise<void>;
}

/** A fault schedule. */
export interface Experiment {
    description: string;
    /** Baselines to compare the chosen design with. */
    baselines: readonly Baseline[];
    hasRelays?: boolean;
    /** Factor on the offered rate of the first large organisation between 20% and 80% of the run. */
    burstFactor?: number;
    /** Creates the steps; the argument is the source of all random choices. */
    createSteps(random: Random): Step[];
}

/** Request id of requests outside the load; the history excludes their executions. */
export const probeRequestId = "experiment-probe";

/** Rounds of conflicting edits. */
const raceRounds = 8;
const raceSettleMs = 5_000;
const listRemovalMs = 2_000;

/**
 * Picks a target that receives at least half of an even share of the requests, otherwise the busiest one. A fault of a
 * target without requests would have no observable effect.
 */
async function pickTarget({ fleet, random, faults }: ExperimentContext): Promise<TargetProcess> {
    const executions = await fleet.fetchExecutions();
    const candidates = fleet.targets
        .filter(({ id }) => faults.every(({ target }) => target !== id))
        .map(target => ({ target, count: executions.filter(execution => execution.target === target.id).length }))
        .sort((a, b) => b.count - a.count);
    const busy = candidates.filter(({ count }) => count >= executions.length / fleet.targets.length / 2);
    return random.pick(busy.length > 0 ? busy : candidates.slice(0, 1)).target;
}

async function beginFault(
    context: ExperimentContext,
    behaviour: Partial<TargetBehaviour>,
): Promise<{ target: TargetProcess; fault: TargetFault; }> {
    const target = await pickTarget(context);
    await context.fleet.setTarget(target, behaviour);
    const fault = { target: target.id, from: sharedNow(), to: Infinity };
    context.faults.push(fault);
    return { target, fault };
}

/** Makes one target faulty from 25% to 85% of the run. */
function grayTarget(behaviour: Partial<TargetBehaviour>): Experiment["createSteps"] {
    return () => {
        /** On a busy machine the fault may still be beginning when it is to end. */
        let beginning: ReturnType<typeof beginFault> | undefined;
        return [
            {
                at: 0.25,
                async run(context) {
                    beginning = beginFault(context, behaviour);
                    await beginning;
                },
            },
            {
                at: 0.85,
                async run({ fleet }) {
                    const { target, fault } = await beginning!;
                    fault.to = sharedNow();
                    const restored = Object.keys(behaviour).map(name => [name, name === "slowFactor" ? 1 : 0]);
                    await fleet.setTarget(target, Object.fromEntries(restored) as Partial<TargetBehaviour>);
                },
            },
        ];
    };
}

async function replaceGracefully({ fleet, history }: ExperimentContext, entry: EntryProcess): Promise<void> {
    const replacement = await fleet.startEntry();
    // The stop continues if the replacement does not become ready; the measures of served requests show the effect.
    await waitUntil(`${replacement.id} is ready`, () => isReady(replacement)).catch(() => undefined);
    await fleet.list(entry, "leaving");
    const stop = { instance: entry.id, at: sharedNow(), endedAt: Infinity };
    history.stops.push(stop);
    await entry.stop();
    stop.endedAt = sharedNow();
    await fleet.unlist(entry.id);
}

async function setOneWayPartition(
    { fleet }: ExperimentContext,
    from: string,
    to: string,
    drop: boolean,
): Promise<void> {
    await fleet.setLinks({ source: from, destination: to, forward: { drop } });
    await fleet.setLinks({ source: to, destination: from, backward: { drop } });
    for (const target of fleet.targets.filter(({ domain }) => domain === to)) {
        await fleet.setLinks({ source: from, destination: target.id, forward: { drop } });
    }
}

const racePlanName = "race";

function racePlan(revision: number, variant: string): object {
    const routes = [{ name: "race", service: "dossier", pathPrefix: `/race-${variant}`, methods: ["GET"] }];
    return {
        kind: "put-plan",
        revision,
        plan: { name: racePlanName, open: true, ratePerSecond: 1_000, burst: 1_000, routes },
    };
}

/** Returns the revision and path of the race plan that instances must serve after applying all records of the log. */
async function fetchRacePlan(fleet: Fleet): Promise<{ revision: number; path: string; }> {
    const url = `${fleet.logUrl}/streams/configuration/records?limit=100000`;
    const { records } = await callJson("GET", url) as { records: LogRecord[]; };
    const configuration = createConfiguration();
    records.forEach(record => applyRecord(configuration, record));
    const plan = configuration.plans.get(racePlanName);
    return { revision: plan?.revision ?? 0, path: plan?.value.routes[0]?.pathPrefix ?? "" };
}

/** Appends conflicting edits, a repeated edit and edits with lost responses, then checks which path every instance serves. */
async function raceConfigurations({ fleet, violations }: ExperimentContext): Promise<void> {
    const paths = ["/race-start"];
    await fleet.edit([racePlan(0, "start")]);
    for (let round = 0; round < raceRounds; round += 1) {
        const id = randomUUID();
        const { revision } = await fetchRacePlan(fleet);
        await fleet.setLog({ loseResponseRate: round % 2 === 0 ? 0.5 : 0 });
        await Promise.all([
            fleet.edit([racePlan(revision, `${round}-a`)]),
            fleet.edit([racePlan(revision, `${round}-b`)], id),
            fleet.edit([racePlan(revision, `${round}-b`)], id),
        ]);
        paths.push(`/race-${round}-a`, `/race-${round}-b`);
    }
    await fleet.setLog({ loseResponseRate: 0 });
    await delay(raceSettleMs);
    const winner = (await fetchRacePlan(fleet)).path;
    for (const entry of fleet.entries) {
        const served: string[] = [];
        for (const path of paths) {
            const headers = { "request-id": probeRequestId };
            const { statusCode, body } = await request(`${entry.url}${path}`, { headers });
            await body.dump();
            if (statusCode === 200) {
                served.push(path);
            }
        }
        if (served.join() !== winner) {
            violations.push({
                kind: violationKind.diverged,
                subject: entry.id,
                detail: `serves ${served.join(" and ") || "none"} instead of ${winner}, `
                    + `${raceSettleMs} ms after the last edit`,
            });
        }
    }
}

const singleExperiments: Record<string, Experiment> = {
    "one-tenant-burst": {
        description: "a large organisation sends at 5 times its rate",
        baselines: ["even-split"],
        burstFactor: 5,
        createSteps: () => [],
    },
    "gray-slow": {
        description: "a target becomes 10 times slower without failing its health check",
        baselines: ["own-evidence", "no-ejection"],
        createSteps: grayTarget({ slowFactor: 10 }),
    },
    "key-revocation": {
        description: "a key is revoked under load and the log becomes unavailable 300 ms later",
        baselines: [],
        createSteps: () => [
            {
                at: 0.3,
                async run({ fleet, history }) {
                    const { id } = fleet.keys.get("large-1")!;
                    if (await fleet.edit([{ kind: "revoke-key", id }])) {
                        history.revocations.push({ keyId: id, at: sharedNow() });
                    }
                    await delay(300);
                    await fleet.setLog({ outage: true });
                },
            },
            { at: 0.9, run: ({ fleet }) => fleet.setLog({ outage: false }) },
        ],
    },
    "log-outage-with-replacement": {
        description: "two instances are replaced while the log is unavailable",
        baselines: [],
        createSteps: () => [
            { at: 0.15, run: ({ fleet }) => fleet.setLog({ outage: true }) },
            {
                at: 0.25,
                async run(context) {
                    const [first, second] = context.fleet.entries;
                    await replaceGracefully(context, first!);
                    await replaceGracefully(context, second!);
                },
            },
            { at: 0.95, run: ({ fleet }) => fleet.setLog({ outage: false }) },
        ],
    },
    "kill-and-pause": {
        description: "one instance is killed and replaced, another is paused for 4 s",
        baselines: [],
        createSteps: () => [
            {
                at: 0.25,
                async run({ fleet, random }) {
                    const killed = random.pick(fleet.entries.slice(0, -1));
                    killed.process.kill("SIGKILL");
                    await delay(listRemovalMs);
                    await fleet.unlist(killed.id);
                    await fleet.startEntry();
                },
            },
            {
                at: 0.45,
                async run({ fleet, random }) {
                    const running = fleet.entries.filter(({ process }) => process.signalCode === null);
                    const paused = random.pick(running);
                    paused.process.kill("SIGSTOP");
                    await delay(4_000);
                    paused.process.kill("SIGCONT");
                },
            },
        ],
    },
    "one-way-partition": {
        description: "no traffic from one failure domain reaches another, while the reverse direction works",
        baselines: ["own-evidence"],
        hasRelays: true,
        createSteps(random) {
            const from = random.pick(domains);
            const to = random.pick(domains.filter(domain => domain !== from));
            return [
                { at: 0.25, run: context => setOneWayPartition(context, from, to, true) },
                { at: 0.75, run: context => setOneWayPartition(context, from, to, false) },
            ];
        },
    },
    "rolling-replacement": {
        description: "the instances are replaced one at a time",
        baselines: [],
        createSteps: () => [{
            at: 0.1,
            async run(context) {
                const end = sharedNow() + context.durationMs * 0.8;
                for (const entry of [...context.fleet.entries]) {
                    if (sharedNow() < end) {
                        await replaceGracefully(context, entry);
                    }
                }
            },
        }],
    },
    "target-drain": {
        description: "three targets leave, by header, by list and by both, and a cold one joins",
        baselines: [],
        createSteps: () => [{
            at: 0.25,
            async run({ fleet, history }) {
                const [byHeader, byList, byBoth] = fleet.targets as [TargetProcess, TargetProcess, TargetProcess];
                const leave = (target: TargetProcess) =>
                    history.departures.push({ target: target.id, at: sharedNow() });
                await fleet.setTarget(byHeader, { draining: true });
                leave(byHeader);
                await fleet.list(byList, "leaving");
                leave(byList);
                await fleet.setTarget(byBoth, { draining: true });
                await fleet.list(byBoth, "leaving");
                leave(byBoth);
                await fleet.startTarget({ coldMs: 4_000 });
            },
        }],
    },
    "config-races": {
        description: "operators append conflicting and repeated edits while append responses are lost",
        baselines: [],
        createSteps: () => [{ at: 0.2, run: raceConfigurations }],
    },
    "gray-errors": {
        description: "a target responds to half of its requests with 500",
        baselines: ["own-evidence", "no-ejection"],
        createSteps: grayTarget({ errorRate: 0.5 }),
    },
    "gray-stall": {
        description: "a target stalls part of its responses before or after the headers and truncates others",
        baselines: ["own-evidence", "no-ejection"],
        createSteps: grayTarget({ stallBeforeHeadersRate: 0.2, stallAfterHeadersRate: 0.2, truncateRate: 0.1 }),
    },
};

/** Faults that can be combined; each affects a different part of the fleet or picks its own target. */
const combinable = ["gray-slow", "key-revocation", "kill-and-pause", "one-way-partition", "gray-errors", "gray-stall"];

/** Experiments by name, in the order of their importance. */
export const experiments: Record<string, Experiment> = {
    ...singleExperiments,
    "two-at-once": {
        description: `a seeded choice of two of ${combinable.join(", ")}`,
        baselines: [],
        hasRelays: true,
        createSteps(random) {
            const first = random.pick(combinable);
            const second = random.pick(combinable.filter(name => name !== first));
            return [first, second].flatMap(name => singleExperiments[name]!.createSteps(random));
        },
    },
    "gray-partition-outage": {
        description: "a slow target, a one-way partition and an unavailable log at the same time",
        baselines: [],
        hasRelays: true,
        createSteps: random => [
            ...singleExperiments["gray-slow"]!.createSteps(random),
            ...singleExperiments["one-way-partition"]!.createSteps(random),
            { at: 0.25, run: ({ fleet }) => fleet.setLog({ outage: true }) },
            { at: 0.85, run: ({ fleet }) => fleet.setLog({ outage: false }) },
        ],
    },
};
