/**
 * Reloading of the settings file of a running process, on request and when the file changes.
 */

import type { Result } from "neverthrow";
import { statSync } from "node:fs";
import { readSettings } from "./settings";
import type { GatewaySettings, InvalidSettings } from "./settings";

/** Settings that take effect while the process runs; the others need a restart. */
const appliedWhileRunning = ["stopSeconds", "logLevel", "seeds"] as const satisfies readonly (keyof GatewaySettings)[];

/** Difference between the settings in force and a newer settings file. */
export interface SettingsChange {
    /** The settings to put in force. */
    settings: GatewaySettings;
    applied: string[];
    needRestart: string[];
}

/** Interval in milliseconds at which the file's modification time is checked; the platform offers no change notification. */
const watchIntervalMs = 2_000;

/** Compares the settings in force with newer ones. */
export function compareSettings(inForce: GatewaySettings, newer: GatewaySettings): SettingsChange {
    const names = Object.keys(inForce) as (keyof GatewaySettings)[];
    const changed = names.filter(name => JSON.stringify(inForce[name]) !== JSON.stringify(newer[name]));
    const isApplied = (name: keyof GatewaySettings) => (appliedWhileRunning as readonly string[]).includes(name);
    const { stopSeconds, logLevel, seeds } = newer;
    return {
        settings: { ...inForce, stopSeconds, logLevel, seeds },
        applied: changed.filter(isApplied),
        needRestart: changed.filter(name => !isApplied(name)),
    };
}

/** Returns the modification time of a file in milliseconds; undefined when the file is missing. */
function modificationTimeOf(path: string): number | undefined {
    return statSync(path, { throwIfNoEntry: false })?.mtimeMs;
}

/** Calls `changed` with the settings each time the file changes, and each time `read` is called. */
export function watchSettingsFile(
    path: string,
    changed: (settings: Result<GatewaySettings, InvalidSettings>) => void,
): { read(): void; close(): void; } {
    let modifiedAt = modificationTimeOf(path);

    function read(): void {
        modifiedAt = modificationTimeOf(path);
        changed(readSettings(path));
    }

    const timer = setInterval(() => {
        if (modificationTimeOf(path) !== modifiedAt) {
            read();
        }
    }, watchIntervalMs);
    timer.unref();
    return { read, close: () => clearInterval(timer) };
}
