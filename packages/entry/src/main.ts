import { loadSettings, renderDefaultSettings } from "@trefoilladder/settings";
import { Command } from "commander";
import { startEntryInstance } from "./wiring";

const exitCode = { ok: 0, usageError: 64, startFailed: 69, invalidSettings: 78 } as const;

async function run(settingsPath: string): Promise<void> {
    const settings = loadSettings(settingsPath);
    if (settings.isErr()) {
        for (const issue of settings.error.issues) {
            console.error(`${settingsPath}:${issue.line}: ${issue.path}: ${issue.message}`);
        }
        console.error(settings.error.message);
        process.exit(exitCode.invalidSettings);
    }
    const instance = await startEntryInstance(settings.value).catch((failure: Error) => {
        console.error(failure.message);
        process.exit(exitCode.startFailed);
    });
    let stopped: Promise<void> | undefined;
    const stop = () => {
        // A second signal waits for the stop that is already in progress.
        stopped ??= instance.stop();
        void stopped.then(() => process.exit(exitCode.ok));
    };
    process.on("SIGTERM", stop);
    process.on("SIGINT", stop);
}

const program = new Command("trefoilladder-entry")
    .description("Proxy process between callers and targets")
    .version("0.1.0")
    .option("--settings <file>", "settings file (YAML)")
    .option("--print-defaults", "print every setting with its default and exit")
    .addHelpText(
        "after",
        "\nExit codes: 0 stopped on a signal, 64 usage error, 69 a port is in use, 78 invalid settings",
    )
    .action((options: { settings?: string; printDefaults?: boolean; }) => {
        if (options.printDefaults === true) {
            console.log(renderDefaultSettings());
            return;
        }
        if (options.settings === undefined) {
            console.error("missing settings file: use --settings <file>");
            process.exit(exitCode.usageError);
        }
        return run(options.settings);
    });

void program.parseAsync();
