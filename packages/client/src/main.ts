import { createKey } from "@trefoilladder/configuration";
import { createLogClient } from "@trefoilladder/platform";
import { Command } from "commander";
import { randomUUID } from "node:crypto";
import { readFileSync } from "node:fs";
import { parse } from "yaml";

const exitCode = { ok: 0, logFailure: 3 } as const;

async function appendEdit(logUrl: string, changes: unknown[]): Promise<void> {
    const log = createLogClient(logUrl);
    const appended = await log.append("configuration", { id: randomUUID(), changes });
    await log.close();
    if (appended.isErr()) {
        console.error(appended.error.message);
        process.exit(exitCode.logFailure);
    }
}

const program = new Command("trefoilladder")
    .description("Operators' client: edits the lists, issues and revokes keys")
    .version("0.1.0")
    .requiredOption("--log <url>", "base URL of the platform's log service");

program.command("apply <file>")
    .description("append the plans and organisations of a YAML list")
    .action(async (file: string) => {
        const lists = parse(readFileSync(file, "utf8")) as { plans: object[]; organisations: object[]; };
        await appendEdit(program.opts<{ log: string; }>().log, [
            ...lists.plans.map(plan => ({ kind: "put-plan", revision: 0, plan })),
            ...lists.organisations.map(organisation => ({ kind: "put-organisation", revision: 0, organisation })),
        ]);
    });

program.command("create-key <organisation>")
    .description("create a key and print it; it is shown only once")
    .action(async (organisation: string) => {
        const { text, key } = createKey(organisation);
        await appendEdit(program.opts<{ log: string; }>().log, [{ kind: "create-key", key }]);
        console.log(text);
    });

void program.parseAsync();
