import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";
import { readFileSync } from "node:fs";
import { LineCounter, parseDocument } from "yaml";
import { z } from "zod";
import { SettingsFailure } from "./settings-failure";
import type { SettingsMistake } from "./settings-failure";

const port = z.number().int().min(1).max(65_535);
const listener = z.strictObject({ address: z.string().default("127.0.0.1"), port });

/** Schema of an entry instance's settings. */
export const settingsSchema = z.strictObject({
    /** Id of this instance on the platform's list. */
    instanceId: z.string().regex(/^[A-Za-z0-9][A-Za-z0-9.-]{0,62}$/),
    /** Failure domain that this instance runs in. */
    domain: z.string().min(1),
    /** Listener for callers. */
    listen: listener,
    /** Listener for the other entry instances. */
    inner: listener,
    /** Base URL of the platform's log service. */
    logUrl: z.url(),
    /** Base URL of the platform's instance list. */
    instanceListUrl: z.url(),
});

/** Settings of an entry instance, with defaults filled in. */
export type Settings = z.infer<typeof settingsSchema>;

/** Reads and checks a settings file; the failure lists every mistake with its line. */
export function loadSettings(path: string): Result<Settings, SettingsFailure> {
    let text: string;
    try {
        text = readFileSync(path, "utf8");
    }
    catch {
        return err(new SettingsFailure("settings_unreadable", `cannot read ${path}`, []));
    }
    const lines = new LineCounter();
    const document = parseDocument(text, { lineCounter: lines });
    const mistakes: SettingsMistake[] = document.errors.map(error => ({
        path: "",
        line: lines.linePos(error.pos[0]).line,
        message: error.message,
    }));
    const parsed = settingsSchema.safeParse(document.toJS());
    if (mistakes.length === 0 && parsed.success) {
        return ok(parsed.data);
    }
    for (const issue of parsed.error?.issues ?? []) {
        const node = document.getIn(issue.path as unknown[], true) as { range?: [number, number, number]; } | undefined;
        const line = node?.range === undefined ? 1 : lines.linePos(node.range[0]).line;
        mistakes.push({ path: issue.path.join("."), line, message: issue.message });
    }
    return err(new SettingsFailure("settings_invalid", `${path} has ${mistakes.length} mistakes`, mistakes));
}
