import { checkYaml } from "@trefoilladder/settings";
import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";
import { readFileSync } from "node:fs";
import { z } from "zod";
import { ClientFailure } from "./exit-code";

/** Schema of the client's settings file. */
export const clientSettingsSchema = z.strictObject({
    /** Base URL of the platform's log service. */
    logUrl: z.url().optional(),
    /** Base URL of the platform's instance list. */
    instanceListUrl: z.url().optional(),
});

/** Addresses that the client uses. */
export type ClientSettings = z.infer<typeof clientSettingsSchema>;

/** Options of every command that set the addresses. */
export interface AddressOptions {
    log?: string;
    list?: string;
    settings?: string;
}

function readSettingsFile(path: string): Result<ClientSettings, ClientFailure> {
    let text: string;
    try {
        text = readFileSync(path, "utf8");
    }
    catch {
        return err(new ClientFailure("badSettings", `cannot read the settings file ${path}`));
    }
    return checkYaml(text, clientSettingsSchema).map(({ value }) => value).mapErr(issues => {
        const lines = issues.map(({ line, path: field, message }) => `${path}:${line}: ${field}: ${message}`);
        return new ClientFailure("badSettings", lines.join("\n"));
    });
}

/** Resolves the addresses: options override the environment, and the environment overrides the settings file. */
export function resolveClientSettings(
    options: AddressOptions,
    environment: NodeJS.ProcessEnv,
): Result<ClientSettings, ClientFailure> {
    const path = options.settings ?? environment.TREFOILLADDER_SETTINGS;
    const fromFile: Result<ClientSettings, ClientFailure> = path === undefined ? ok({}) : readSettingsFile(path);
    return fromFile.andThen(settings => {
        const merged = {
            logUrl: options.log ?? environment.TREFOILLADDER_LOG ?? settings.logUrl,
            instanceListUrl: options.list ?? environment.TREFOILLADDER_LIST ?? settings.instanceListUrl,
        };
        const checked = clientSettingsSchema.safeParse(merged);
        return checked.success
            ? ok(checked.data)
            : err(new ClientFailure("badSettings", `${checked.error.issues[0]!.path.join(".")} is not a URL`));
    });
}
