import { createMonotonicClock } from "@trefoilladder/clock";
import type { Clock } from "@trefoilladder/clock";
import { createLogClient } from "@trefoilladder/platform";
import type { LogClient } from "@trefoilladder/platform";
import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";
import type { ClientSettings } from "./client-settings";
import { ClientFailure } from "./exit-code";
import { createFleet } from "./fleet";
import type { Fleet } from "./fleet";

/** Clients and output that a command uses. */
export interface Session {
    clock: Clock;
    json: boolean;
    /** Returns the log; fails with `badSettings` when no address is set. */
    log(): Result<LogClient, ClientFailure>;
    /** Returns the fleet; fails with `badSettings` when no address is set. */
    fleet(): Result<Fleet, ClientFailure>;
    /** Prints the document with `--json`, otherwise the lines. */
    print(document: unknown, lines: readonly string[]): void;
    /** Shows a progress line that the next output overwrites; on a terminal only. */
    progress(line: string): void;
    close(): Promise<void>;
}

/** Creates the session of one run of the client. */
export function createSession(settings: ClientSettings, options: { json: boolean; }): Session {
    let log: LogClient | undefined;
    let fleet: Fleet | undefined;
    let progressShown = false;

    function clearProgress(): void {
        if (progressShown) {
            process.stderr.write("\r\u001b[K");
            progressShown = false;
        }
    }

    return {
        clock: createMonotonicClock(),
        json: options.json,
        log() {
            if (settings.logUrl === undefined) {
                return err(new ClientFailure("badSettings", "the log's URL is missing: use --log or logUrl"));
            }
            return ok(log ??= createLogClient(settings.logUrl));
        },
        fleet() {
            if (settings.instanceListUrl === undefined) {
                return err(
                    new ClientFailure(
                        "badSettings",
                        "the instance list's URL is missing: use --list or instanceListUrl",
                    ),
                );
            }
            return ok(fleet ??= createFleet(settings.instanceListUrl));
        },
        print(document, lines) {
            clearProgress();
            console.log(options.json ? JSON.stringify(document) : lines.join("\n"));
        },
        progress(line) {
            if (process.stderr.isTTY && !options.json) {
                process.stderr.write(`\r\u001b[K${line}`);
                progressShown = true;
            }
        },
        async close() {
            clearProgress();
            await Promise.all([log?.close(), fleet?.close()]);
        },
    };
}
