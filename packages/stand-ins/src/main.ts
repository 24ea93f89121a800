import { Command } from "commander";
import { startInstanceList } from "./instance-list";
import { startLog } from "./log";
import { startTarget } from "./target";

function stopOnSignal(close: () => Promise<void>): void {
    const stop = () => void close().then(() => process.exit(0));
    process.on("SIGTERM", stop);
    process.on("SIGINT", stop);
}

const program = new Command("trefoilladder-stand-in")
    .description("Small stand-ins of the platform and of targets, for trials and tests on one machine")
    .version("0.1.0");

program.command("log")
    .description("append-only log service")
    .requiredOption("--port <port>", "port on loopback", Number)
    .action(async (options: { port: number; }) => {
        const log = await startLog(options);
        stopOnSignal(log.close);
        console.log(`log listening on ${log.url}`);
    });

program.command("list")
    .description("list of live and leaving instances")
    .requiredOption("--port <port>", "port on loopback", Number)
    .action(async (options: { port: number; }) => {
        const list = await startInstanceList(options);
        stopOnSignal(list.close);
        console.log(`instance list listening on ${list.url}`);
    });

program.command("target")
    .description("target of a service")
    .requiredOption("--port <port>", "port on loopback", Number)
    .requiredOption("--id <id>", "id on the instance list")
    .action(async (options: { port: number; id: string; }) => {
        const target = await startTarget(options);
        stopOnSignal(target.close);
        console.log(`target ${options.id} listening on ${target.url}`);
    });

void program.parseAsync();
