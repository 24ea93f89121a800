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
import { computeMeasures } from "./measures";
import type { Measures } from "./measures";

/** Sizes and parameters of an experiment. */
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
    /** Whether the experiment's baselines also run. */
    baselines: boolean;
}

interface Run {
    measures: Measures;
    violations: Violation[];
    hasIdempotencyKeys: boolean;
}

/** Report of one experiment, as printed. */
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
/** Offered rate before arrivals above the plan are dropped; far above the plan's rate, so that bursts of 2 are common. */
const smallOfferedPerSecond = 2;
const maxReportedPerKind = 10;
/** Time for gossip, leases and slow starts to complete before the load starts, in milliseconds. */
const settleMs = 2_000;

function createLimits({ largeRate }: ExperimentOptions): OrganisationLimit[] {
    const organisationsOf = (prefix: string, count: number, ratePerSecond: number, burst: number) =>
        Array.from({ length: count }, (_, index) => ({ organisation: `${prefix}-${index}`, ratePerSecond, burst }));
    return [
        ...organisationsOf("large", largeOrganisations, largeRate, largeRate),
        ...organisationsOf("small", smallOrganisations, 1, 2),
    ];
}

/** Limits the reported violations of each kind; the measures contain the counts of all violations. */
function limitByKind(violations: readonly Violation[]): Violation[] {
    const counts = new Map<string, number>();
    return violations.filter(({ kind }) => {
        const count = (counts.get(kind) ?? 0) + 1;
        counts.set(kind, count);
        return count <= maxReportedPerKind;
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
            history: { limits, submissions: [], executions: [], revocations: [], departures: [], stops: [] },
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
        const servicePeriods = fleet.targets.map(({ id }) => ({ target: id, from: loadStartedAt, to: Infinity }));
        const steps = Promise.all(
            experiment.createSteps(random).map(async step => {
                await delay(step.at * durationMs);
                await step.run(context);
            }),
        );
        // A failed step is rethrown after the load, when the steps are awaited; this prevents an unhandled rejection.
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
        const departedAt = new Map(context.history.departures.map(({ target, at }) => [target, at]));
        const measures = computeMeasures({
            history: context.history,
            violations,
            faults: context.faults.map(fault => ({ ...fault, to: Math.min(fault.to, loadEndedAt) })),
            servicePeriods: servicePeriods.map(service => ({
                ...service,
                to: Math.min(loadEndedAt, departedAt.get(service.target) ?? Infinity),
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

/** Runs an experiment and its baselines. A baseline that fails, such as an unsupported one, is reported as unavailable. */
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
