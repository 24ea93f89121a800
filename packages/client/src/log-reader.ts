import {
    applyRecord,
    configurationStream,
    createConfiguration,
    findNewestSnapshot,
    readSnapshot,
    replaceConfiguration,
} from "@trefoilladder/configuration";
import type { Configuration } from "@trefoilladder/configuration";
import type { LogClient, PlatformFailure } from "@trefoilladder/platform";
import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";
import { ClientFailure } from "./exit-code";

function logUnavailable(cause: PlatformFailure): ClientFailure {
    const message = cause.code === "platform_records_expired"
        ? "the log no longer keeps the records that follow its newest snapshot"
        : "the log cannot be read";
    return new ClientFailure("logUnavailable", message, { cause });
}

/** Applies the records that follow the configuration's offset; fails with `logUnavailable`. */
export async function catchUp(log: LogClient, configuration: Configuration): Promise<Result<void, ClientFailure>> {
    for (;;) {
        const page = await log.read(configurationStream, configuration.appliedOffset);
        if (page.isErr()) {
            return err(logUnavailable(page.error));
        }
        page.value.records.forEach(record => applyRecord(configuration, record));
        if (page.value.records.length === 0 || configuration.appliedOffset >= page.value.endOffset) {
            return ok(undefined);
        }
    }
}

/** Reads the configuration from the newest snapshot and the records after it; fails with `logUnavailable`. */
export async function readConfiguration(log: LogClient): Promise<Result<Configuration, ClientFailure>> {
    const configuration = createConfiguration();
    const newest = await findNewestSnapshot(log);
    if (newest.isErr()) {
        return err(logUnavailable(newest.error));
    }
    if (newest.value.end !== undefined) {
        const snapshot = await readSnapshot(log, newest.value.end);
        snapshot.map(value => replaceConfiguration(configuration, value));
    }
    return (await catchUp(log, configuration)).map(() => configuration);
}
