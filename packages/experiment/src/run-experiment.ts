import { Failure } from "@trefoilladder/failures";
import { createRandom, sharedNow } from "@trefoilladder/stand-ins";
import { setTimeout as delay } from "node:timers/promises";
import { createBalancer } from "./balancer";
import type { Experiment, ExperimentContext } from "./experiments";
import { experiments, probeRequestId } from "./experiments";
import { startFleet, waitUntil } from "./fleet";
import type { Baseline } from "./fleet";
import type { OrganisationLimit } from "./history";
import { checkHistory } from "./history-checker";
import type { Violation } from "./history-checker";
import { runLoad } from "./load";
import type { OrganisationLoad } from "./load";
import { takeMeasures } from "./measures";
import type { Measures } from "./measures";

/** Sizes of an experiment. */
export interface ExperimentOptions {
    seed: number;
    instances: number;
    targets: number;
    /** Duration of the load in seconds. */
    seconds: number;
    /** Rate and burst of the plan of large organisations. */
    largeRate: number;
    /** Deadline of every request in milliseconds. */
    deadlineMs: number;
    /** Median service time of targets in milliseconds. */
    serviceMs: number;
    /** Whether the experiment's baselines run too. */
    baselines: boolean;
}

interface Run {
    measures: Measures;
    violations: Violation[];
    hasIdempotencyKeys: boolean;
}

/** Result of one experiment, as it is printed. */
export interface ExperimentReport {
    experiment: string;
    seed: number;
    parameters: ExperimentOptions;
    measures: Measures;
    hasIdempotencyKeys: boolean;
    baselines: Record<string, Run | { unavailable: string; }>;
    violations: Violation[];
}

const largeOrganisations = 2;
const smallOrganisations = 6;
const largeLoadShare = 0.6;
/** Offered before arrivals over the plan are left out; far above the rate, so that bursts of 2 are common. */
const smallOfferedPerSecond = 2;
const maxReportedOfKind = 10;
/** Time for gossip, leases and slow starts before the load begins. */
const settleMs = 2_000;

function createLimits({ largeRate }: ExperimentOptions): OrganisationLimit[] {
    const organisationsOf = (prefix: string, count: number, ratePerSecond: number, burst: number) =>
        Array.from({ length: count }, (_, index) => ({ organisation: `${prefix}-${index}`, ratePerSecond, burst }));
    return [
        ...organisationsOf("large", largeOrganisations, largeRate, largeRate),
        ...organisationsOf("small", smallOrganisations, 1, 2),
    ];
}

/** Keeps the report readable; the measures have the numbers of all violations. */
function limitByKind(violations: readonly Violation[]): Violation[] {
    const counts = new Map<string, number>();
    return violations.filter(({ kind }) => {
        const count = (counts.get(kind) ?? 0) + 1;
        counts.set(kind, count);
        return count <= maxReportedOfKind;
    });
}

async function runOnce(name: string, options: ExperimentOptions, baseline?: Baseline): Promise<Run> {
    const experiment = experiments[name] as Experiment;
    const { seed, instances, targets, seconds, deadlineMs, serviceMs } = options;
    const limits = createLimits(options);
    const hasRelays = experiment.hasRelays ?? false;
    const fleet = await startFleet({ instances, targets, seed, limits, baseline, hasRelays, serviceMs });
    const balancer = createBalancer(fleet.entries);
    const durationMs = seconds * 1_000;
    try {
        await waitUntil("every instance is ready", async () => {
            const exited = fleet.entries.find(({ process }) => process.exitCode !== null);
            if (exited !== undefined) {
                throw new Failure("entry_exited", `${exited.id} exited with code ${exited.process.exitCode}`);
            }
            return balancer.readyCount() === instances;
        });
        await delay(settleMs);
        const random = createRandom(seed);
        const context: ExperimentContext = {
            fleet,
            balancer,
            history: { limits, submissions: [], executions: [], revocations: [], leavings: [], stops: [] },
            faults: [],
            violations: [],
            random,
            durationMs,
        };
        const organisations = limits.map((limit, index): OrganisationLoad => {
            const isBursting = index === 0 && experiment.burstFactor !== undefined;
            const base = limit.burst > 2 ? limit.ratePerSecond * largeLoadShare : smallOfferedPerSecond;
            return {
                limit,
                key: fleet.keys.get(limit.organisation)!,
                isWithinPlan: !isBursting,
                offeredPerSecond: elapsedMs =>
                    isBursting && elapsedMs > durationMs * 0.2 && elapsedMs < durationMs * 0.8
                        ? limit.ratePerSecond * experiment.burstFactor!
                        : base,
            };
        });
        const bytesBefore = await fleet.fetchControlBytes();
        const loadStartedAt = sharedNow();
        const services = fleet.targets.map(({ id }) => ({ target: id, from: loadStartedAt, to: Infinity }));
        const steps = Promise.all(
            experiment.createSteps(random).map(async step => {
                await delay(step.at * durationMs);
                await step.run(context);
            }),
        );
        // The failure of a step is thrown after the load, when the steps are awaited.
        steps.catch(() => undefined);
        const load = runLoad({ organisations, seconds, seed, deadlineMs, balancer });
        await delay(durationMs);
        const loadEndedAt = sharedNow();
        const bytesAfter = await fleet.fetchControlBytes();
        const { submissions, hasIdempotencyKeys } = await load;
        await steps;
        context.history.submissions = submissions;
        context.history.executions = (await fleet.fetchExecutions())
            .filter(({ requestId }) => requestId !== probeRequestId);
        const violations = [...checkHistory(context.history), ...context.violations];
        const leavingAt = new Map(context.history.leavings.map(({ target, at }) => [target, at]));
        const measures = takeMeasures({
            history: context.history,
            violations,
            faults: context.faults.map(fault => ({ ...fault, to: Math.min(fault.to, loadEndedAt) })),
            services: services.map(service => ({
                ...service,
                to: Math.min(loadEndedAt, leavingAt.get(service.target) ?? Infinity),
            })),
            burstingOrganisations: organisations
                .filter(({ isWithinPlan }) => !isWithinPlan)
                .map(({ limit }) => limit.organisation),
            controlBytesPerSecond: bytesBefore === undefined || bytesAfter === undefined
                ? undefined
                : (bytesAfter - bytesBefore) / (loadEndedAt - loadStartedAt) * 1_000 / instances,
        });
        return { measures, violations: limitByKind(violations), hasIdempotencyKeys };
    }
    finally {
        await balancer.close();
        await fleet.close();
    }
}

/** Runs an experiment and its baselines. A baseline that the entry process does not know is reported, not run. */
export async function runExperiment(name: string, options: ExperimentOptions): Promise<ExperimentReport> {
    const { measures, violations, hasIdempotencyKeys } = await runOnce(name, options);
    const results: ExperimentReport["baselines"] = {};
    for (const baseline of options.baselines ? experiments[name]!.baselines : []) {
        results[baseline] = await runOnce(name, options, baseline)
            .catch(error => ({ unavailable: (error as Error).message }));
    }
    return {
        experiment: name,
        seed: options.seed,
        parameters: options,
        measures,
        hasIdempotencyKeys,
        baselines: results,
        violations,
    };
}
