import { loadSettings } from "@trefoilladder/settings";
import { Command } from "commander";
import { startEntryInstance } from "./wiring";

const exitCode = { ok: 0, badSettings: 78 } as const;

async function run(settingsPath: string): Promise<void> {
    const settings = loadSettings(settingsPath);
    if (settings.isErr()) {
        for (const mistake of settings.error.mistakes) {
            console.error(`${settingsPath}:${mistake.line}: ${mistake.path}: ${mistake.message}`);
        }
        console.error(settings.error.message);
        process.exit(exitCode.badSettings);
    }
    const instance = startEntryInstance(settings.value);
    const stop = () => void instance.stop().then(() => process.exit(exitCode.ok));
    process.on("SIGTERM", stop);
    process.on("SIGINT", stop);
}

const program = new Command("trefoilladder-entry")
    .description("Proxy process between callers and targets")
    .version("0.1.0")
    .requiredOption("--settings <file>", "settings file (YAML)")
    .action((options: { settings: string; }) => run(options.settings));

void program.parseAsync();
