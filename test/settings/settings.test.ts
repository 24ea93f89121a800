import {
    checkYaml,
    loadSettings,
    renderDefaultSettings,
    serviceSettings,
    settingsSchema,
} from "@trefoilladder/settings";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { parse } from "yaml";

const required = {
    instanceId: "entry-0",
    domain: "a",
    listen: { port: 8_080 },
    inner: { port: 8_081 },
    logUrl: "http://127.0.0.1:1",
    instanceListUrl: "http://127.0.0.1:2",
};
const requiredLines = Object.entries(required).map(([name, value]) => `${name}: ${JSON.stringify(value)}`);

function issuesOf(...lines: string[]): { path: string; line: number; message: string; }[] {
    return checkYaml([...requiredLines, ...lines].join("\n"), settingsSchema)._unsafeUnwrapErr();
}

describe("settings", () => {
    it("reports all errors of a file, each with its line", () => {
        const issues = issuesOf(
            "drainSecond: 5",
            "membership:",
            "  leaseMs: never",
            "  pullPeers: 0",
            "services:",
            "  - name: dossier",
            "    floorFraction: 1.5",
        );
        expect(issues.map(({ line, path }) => `${line} ${path}`)).toEqual([
            "7 drainSecond",
            "9 membership.leaseMs",
            "10 membership.pullPeers",
            "13 services.0.floorFraction",
        ]);
    });

    it("rejects missing fields, invalid YAML and unreadable files, and reports the line of a syntax error", () => {
        expect(checkYaml("domain: a\n", settingsSchema)._unsafeUnwrapErr().map(({ path }) => path)).toContain("listen");
        expect(checkYaml("", settingsSchema).isErr()).toBe(true);
        expect(new Set(issuesOf("statsd: { host: [").map(({ line }) => line))).toEqual(new Set([7]));
        const directory = mkdtempSync(join(tmpdir(), "trefoilladder-settings-"));
        const path = join(directory, "entry.yaml");
        writeFileSync(path, "instanceId: entry-0\n");
        expect(loadSettings(path)._unsafeUnwrapErr()).toMatchObject({ code: "settings_invalid" });
        rmSync(directory, { recursive: true });
        expect(loadSettings(path)._unsafeUnwrapErr()).toMatchObject({ code: "settings_unreadable" });
    });

    it("rejects contradictory settings", () => {
        expect(issuesOf("services: [{ name: dossier }, { name: dossier }]")).toMatchObject([{
            path: "services.1.name",
        }]);
        expect(issuesOf("services: [{ name: dossier, maxDeadlineMs: 5 }]"))
            .toMatchObject([{ path: "services.0.defaultDeadlineMs" }]);
        expect(issuesOf("membership: { pullIntervalMs: 600 }")).toMatchObject([{ path: "membership.leaseMs" }]);
        expect(
            checkYaml(
                [...requiredLines.slice(0, 3), "inner: { port: 8080 }", ...requiredLines.slice(4)].join("\n"),
                settingsSchema,
            )
                ._unsafeUnwrapErr(),
        ).toMatchObject([{ path: "inner.port" }]);
    });

    it("renders every setting with the default that applies", () => {
        const text = renderDefaultSettings();
        const settings = settingsSchema.parse(required);
        expect(settingsSchema.parse({ ...parse(text), ...required })).toEqual(settings);
        const names = [...Object.keys(settingsSchema.shape), ...Object.keys(settings.membership)];
        expect(names.filter(name => !new RegExp(`^(# )?\\s*${name}:`, "m").test(text))).toEqual([]);
        const service = serviceSettings(settings, "archive");
        expect(service).toMatchObject({ name: "archive", slotsPerTarget: 6 });
        Object.entries(service).slice(1).forEach(([name, value]) => expect(text).toContain(`#   ${name}: ${value}`));
    });
});
