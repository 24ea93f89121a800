import { Command } from "commander";
import { runBench } from "./bench";
import type { BenchOptions } from "./bench";
import { measureControlCost } from "./control-cost";
import type { ControlCostOptions } from "./control-cost";
import { experiments } from "./experiments";
import { startPassThrough } from "./pass-through";
import { runExperiment } from "./run-experiment";
import type { ExperimentOptions } from "./run-experiment";

const exitCode = { ok: 0, violations: 1, usage: 2, notRun: 3 } as const;

function printList(): void {
    for (const [name, { description, baselines }] of Object.entries(experiments)) {
        const baselineNote = baselines.length === 0 ? "" : ` (baselines: ${baselines.join(", ")})`;
        console.log(`${name.padEnd(28)} ${description}${baselineNote}`);
    }
}

async function run(name: string | undefined, options: ExperimentOptions & { list?: true; json?: true; }) {
    if (options.list === true || name === undefined) {
        printList();
        return options.list === true ? exitCode.ok : exitCode.usage;
    }
    if (experiments[name] === undefined) {
        console.error(`unknown experiment ${name}; --list shows all`);
        return exitCode.usage;
    }
    const { json, ...sizes } = options;
    try {
        const report = await runExperiment(name, sizes);
        console.log(JSON.stringify(report, undefined, json === true ? undefined : 2));
        return report.violations.length === 0 ? exitCode.ok : exitCode.violations;
    }
    catch (error) {
        console.error(`experiment ${name} could not run: ${(error as Error).message}`);
        return exitCode.notRun;
    }
}

const program = new Command("trefoilladder-experiment")
    .description("Load and experiment tool; starts the processes that it measures")
    .version("0.1.0")
    .enablePositionalOptions()
    .argument("[name]", "experiment to run")
    .option("--list", "list the experiments")
    .option("--json", "print the result as one line")
    .option("--seed <seed>", "seed of load, service times and random choices", Number, 1)
    .option("--instances <count>", "entry instances; 48 at full size", Number, 6)
    .option("--targets <count>", "targets; 35 at full size", Number, 10)
    .option("--seconds <seconds>", "duration of the load", Number, 15)
    .option("--large-rate <rate>", "rate and burst of large organisations", Number, 120)
    .option("--deadline-ms <ms>", "deadline of every request", Number, 1_000)
    .option("--service-ms <ms>", "median service time of targets", Number, 20)
    .option("--no-baselines", "do not run the baselines")
    .action(async (name: string | undefined, options: ExperimentOptions & { list?: true; json?: true; }) => {
        process.exitCode = await run(name, options);
    });

program.command("bench")
    .description("compare one entry instance with a bare pass-through proxy")
    .option("--rounds <count>", "alternating rounds", Number, 5)
    .option("--seconds <seconds>", "duration of each measurement", Number, 2)
    .option("--rate-per-second <rate>", "rate of the latency measurement", Number, 164)
    .option("--concurrency <count>", "concurrent requests in the throughput measurement", Number, 32)
    .option("--seed <seed>", "seed of the arrivals", Number, 1)
    .action(async (options: BenchOptions) => {
        console.log(JSON.stringify(await runBench(options), undefined, 2));
    });

program.command("control-cost")
    .description("measure the control-plane cost of an idle entry instance at several fleet sizes")
    .option("--sizes <list>", "fleet sizes", text => text.split(",").map(Number), [6, 12, 24, 48])
    .option("--seconds <seconds>", "duration of each measurement", Number, 10)
    .option("--seed <seed>", "seed of the stand-ins", Number, 1)
    .action(async (options: ControlCostOptions) => {
        console.log(JSON.stringify(await measureControlCost(options), undefined, 2));
    });

program.command("pass-through", { hidden: true })
    .description("bare proxy, started by the benchmark")
    .requiredOption("--port <port>", "port on loopback", Number)
    .requiredOption("--target <url>", "target that receives every request")
    .action(startPassThrough);

// The exit handler also kills the processes that the tool started.
for (const signal of ["SIGINT", "SIGTERM"] as const) {
    process.once(signal, () => process.exit(exitCode.notRun));
}

void program.parseAsync();
