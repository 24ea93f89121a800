import type { Clock } from "@trefoilladder/clock";
import type { LogClient } from "@trefoilladder/platform";
import type { Telemetry } from "@trefoilladder/telemetry";
import { applyRecord, createConfiguration } from "./configuration";
import type { Configuration } from "./configuration";

/** Stream that holds the operators' edits. */
export const configurationStream = "configuration";

/** Follows the configuration stream of the log. */
export interface ConfigurationFollower {
    readonly configuration: Configuration;
    /** Follows the stream until the signal aborts. */
    run(signal: AbortSignal): Promise<void>;
}

const longPollMs = 5_000;
const minRetryMs = 100;
const maxRetryMs = 2_000;

/** Creates a follower with an empty configuration. */
export function createConfigurationFollower(
    parts: { log: LogClient; clock: Clock; telemetry: Telemetry; },
): ConfigurationFollower {
    const { log, clock, telemetry } = parts;
    const configuration = createConfiguration();

    async function run(signal: AbortSignal): Promise<void> {
        let retryMs = minRetryMs;
        let reachable = true;
        while (!signal.aborted) {
            const page = await log.read(configurationStream, configuration.appliedOffset, {
                waitMs: longPollMs,
                signal,
            });
            if (signal.aborted) {
                return;
            }
            if (page.isErr()) {
                telemetry.count("configuration.read_failures");
                if (reachable) {
                    telemetry.fault("configuration_log_lost", { code: page.error.code });
                }
                reachable = false;
                await clock.sleep(retryMs * (0.5 + Math.random()), signal);
                retryMs = Math.min(retryMs * 2, maxRetryMs);
                continue;
            }
            if (!reachable) {
                telemetry.stateChange("configuration_log_restored", { offset: page.value.endOffset });
            }
            reachable = true;
            retryMs = minRetryMs;
            for (const record of page.value.records) {
                applyRecord(configuration, record);
            }
            telemetry.gauge("configuration.applied_offset", configuration.appliedOffset);
        }
    }

    return { configuration, run };
}
