import { Command, CommanderError, InvalidArgumentError, Option } from "commander";
import type { Result } from "neverthrow";
import { resolveClientSettings } from "./client-settings";
import type { AddressOptions } from "./client-settings";
import type { EditOptions } from "./edit-commands";
import { exitCode } from "./exit-code";
import type { ClientFailure } from "./exit-code";
import { createKey, listKeys, revokeKey } from "./key-commands";
import { applyList, checkList, diffList, showLists } from "./list-commands";
import type { CompareOptions } from "./list-commands";
import { readRequestTrace } from "./request-trace";
import { createSession } from "./session";
import type { Session } from "./session";
import { showHistograms, showStatus } from "./status-commands";

type GlobalOptions = AddressOptions & { json?: boolean; };
type Action = (session: Session) => PromiseLike<Result<void, ClientFailure>>;

const program = new Command("trefoilladder")
    .description("Operators' client: edits the lists, issues and revokes keys, shows the state of the fleet")
    .version("0.1.0")
    .option("--log <url>", "base URL of the platform's log service (TREFOILLADDER_LOG)")
    .option("--list <url>", "base URL of the platform's instance list (TREFOILLADDER_LIST)")
    .option("--settings <file>", "YAML file with logUrl and instanceListUrl (TREFOILLADDER_SETTINGS)")
    .option("--json", "print JSON for scripts")
    .exitOverride();

function reportFailure(failure: ClientFailure, json: boolean): void {
    process.exitCode = exitCode[failure.code];
    console.error(json ? JSON.stringify({ failure: failure.code, message: failure.message }) : failure.message);
}

async function run(action: Action): Promise<void> {
    const options = program.opts<GlobalOptions>();
    const json = options.json === true;
    const settings = resolveClientSettings(options, process.env);
    if (settings.isErr()) {
        reportFailure(settings.error, json);
        return;
    }
    const session = createSession(settings.value, { json });
    const outcome = await action(session);
    await session.close();
    outcome.mapErr(failure => reportFailure(failure, json));
}

function parseSeconds(text: string): number {
    const seconds = Number(text);
    if (!(seconds > 0 && seconds <= 3_600)) {
        throw new InvalidArgumentError("not a number of seconds between 0 and 3600");
    }
    return seconds;
}

/** Adds the options of edit commands. The default wait is the time limit of invariant I9 for a full-size fleet. */
function withEditOptions(command: Command): Command {
    return command
        .option("--wait", "wait until the edit is in force on every live instance")
        .addOption(
            new Option("--wait-seconds <seconds>", "longest wait").argParser(parseSeconds).default(12),
        )
        .option("--author <name>", "author recorded with the edit");
}

program.command("check <file>")
    .description("check a list without contact to the log")
    .action((file: string) => run(session => checkList(session, file)));

program.command("show")
    .description("show the lists in force")
    .action(() => run(showLists));

program.command("diff <file>")
    .description("show the changes that apply would make")
    .option("--delete", "also delete what the file lacks")
    .action((file: string, options: CompareOptions) => run(session => diffList(session, file, options)));

withEditOptions(program.command("apply <file>"))
    .description("put the plans and organisations of a list in force")
    .option("--delete", "also delete what the file lacks")
    .action((file: string, options: CompareOptions & EditOptions) => run(session => applyList(session, file, options)));

const key = program.command("key").description("create, list and revoke keys");

withEditOptions(key.command("create <organisation>"))
    .description("create a key and print it; it is shown only once")
    .action((organisation: string, options: EditOptions) => run(session => createKey(session, organisation, options)));

key.command("list [organisation]")
    .description("list the keys in force")
    .action((organisation?: string) => run(session => listKeys(session, organisation)));

withEditOptions(key.command("revoke <id>"))
    .description("revoke a key")
    .action((id: string, options: EditOptions) => run(session => revokeKey(session, id, options)));

program.command("status")
    .description("show every live instance, the ejections and the quota by organisation")
    .action(() => run(showStatus));

program.command("histograms")
    .description("show the request durations by organisation and class")
    .action(() => run(showHistograms));

program.command("story <id> <files...>")
    .description("print the decisions about one request from log files of the instances")
    .action((id: string, files: string[]) => {
        readRequestTrace(id, files).match(
            lines => lines.forEach(line => console.log(line)),
            failure => reportFailure(failure, program.opts<GlobalOptions>().json === true),
        );
    });

program.parseAsync().catch((error: unknown) => {
    if (error instanceof CommanderError) {
        process.exitCode = error.exitCode === 0 ? exitCode.ok : exitCode.usage;
        return;
    }
    process.exitCode = exitCode.unexpected;
    console.error(error instanceof Error ? error.message : "the client failed");
});
