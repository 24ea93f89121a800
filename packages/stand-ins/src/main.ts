import { Command } from "commander";
import { startInstanceList } from "./instance-list";
import { startLog } from "./log";
import { startRelay } from "./relay";
import { startTarget } from "./target";
import type { TargetOptions } from "./target";

function stopOnSignal(close: () => Promise<unknown>): void {
    const stop = () => void close().then(() => process.exit(0));
    process.on("SIGTERM", stop);
    process.on("SIGINT", stop);
}

function parseNames(text: string): string[] {
    return text.split(",").filter(name => name !== "");
}

const program = new Command("trefoilladder-stand-in")
    .description("Small stand-ins for the platform and for targets, for local trials and tests on one machine")
    .version("0.1.0");

program.command("log")
    .description("append-only log service")
    .requiredOption("--port <port>", "port on loopback", Number)
    .option("--seed <seed>", "seed of lost responses", Number, 1)
    .action(async (options: { port: number; seed: number; }) => {
        const log = await startLog(options);
        stopOnSignal(log.close);
        console.log(`log listening on ${log.url}`);
    });

program.command("list")
    .description("list of live and leaving instances")
    .requiredOption("--port <port>", "port on loopback", Number)
    .option("--lag-ms <ms>", "time until a change becomes readable", Number, 0)
    .option("--domains <names>", "failure domains with a listener of their own", parseNames, [])
    .action(async (options: { port: number; lagMs: number; domains: string[]; }) => {
        const list = await startInstanceList(options);
        stopOnSignal(list.close);
        console.log(`instance list listening on ${list.url}`);
    });

program.command("target")
    .description("target of a service")
    .requiredOption("--port <port>", "port on loopback", Number)
    .requiredOption("--id <id>", "id on the instance list")
    .option("--seed <seed>", "seed of service times and faults", Number, 1)
    .option("--slots <slots>", "requests that run at once", Number, 6)
    .option("--service-ms <ms>", "median service time", Number, 0)
    .option("--cold-ms <ms>", "duration of the cold start", Number, 0)
    .option("--domains <names>", "failure domains with a listener of their own", parseNames, [])
    .action(async (options: TargetOptions) => {
        const target = await startTarget(options);
        stopOnSignal(target.close);
        console.log(`target ${options.id} listening on ${target.url}`);
    });

program.command("relay")
    .description("relay of TCP connections that delays and drops by direction")
    .requiredOption("--port <port>", "port of the control interface on loopback", Number)
    .action(async (options: { port: number; }) => {
        const relay = await startRelay(options);
        stopOnSignal(relay.close);
        console.log(`relay listening on ${relay.url}`);
    });

void program.parseAsync();
