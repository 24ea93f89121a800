import type { GatewaySettings, InvalidSettings } from "@trefoilladder/gateway";
import { checkSettings, watchSettingsFile } from "@trefoilladder/gateway";
import type { Result } from "neverthrow";
import { mkdtempSync, rmSync, utimesSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { compareSettings } from "../../packages/gateway/src/settings-file";
import { waitUntil } from "./caller";

function settings(fields: Partial<GatewaySettings> = {}): GatewaySettings {
    return {
        instance: "entry-0",
        domain: "a",
        address: "127.0.0.1",
        callers: "127.0.0.1:1",
        readiness: "127.0.0.1:2",
        peers: "127.0.0.1:3",
        meshPort: 4,
        linkMbps: 10,
        seeds: [],
        store: "127.0.0.1:5",
        metrics: { port: 6, path: "/metrics" },
        stopSeconds: 6,
        budget: { ratio: 0.2, reserve: 60 },
        logLevel: "info",
        ...fields,
    };
}

// Guards against a process that does not start with the settings file of an earlier version, or with a malformed table.
test.each([
    ["an absent table", undefined, true],
    ["a table that the platform leaves empty", null, true],
    ["a table", { a: "west" }, true],
    ["a list", ["west"], false],
    ["a region that is not a name", { a: 1 }, false],
])("settings with %s of regions are checked", (_, regions, isValid) => {
    expect(checkSettings({ ...settings(), regions }).isOk()).toBe(isValid);
});

// Guards against a mistyped switch that is read as on or off without a message.
test("the setting for expected work is optional, and true or false", () => {
    expect(checkSettings(settings()).isOk()).toBe(true);
    expect(checkSettings(settings({ expectedWork: true })).isOk()).toBe(true);
    expect(checkSettings({ ...settings(), expectedWork: "true" }).isErr()).toBe(true);
});

describe("newer settings", () => {
    test("are applied where a running process can, and otherwise need a restart", () => {
        const change = compareSettings(
            settings(),
            settings({ stopSeconds: 9, logLevel: "warn", store: "127.0.0.1:9" }),
        );
        expect(change.applied).toEqual(["stopSeconds", "logLevel"]);
        expect(change.needRestart).toEqual(["store"]);
        expect(change.settings).toEqual(settings({ stopSeconds: 9, logLevel: "warn" }));
    });

    // Guards against missed changes of a file when no signal is sent, and against a partly written file that ends the process.
    test("are read when the file changes", async () => {
        const directory = mkdtempSync(join(tmpdir(), "settings-"));
        const path = join(directory, "node.yaml");
        writeFileSync(path, JSON.stringify(settings()));
        const results: Result<GatewaySettings, InvalidSettings>[] = [];
        const file = watchSettingsFile(path, read => results.push(read));
        file.read();
        expect(results[0]?.isOk()).toBe(true);
        writeFileSync(path, "{");
        utimesSync(path, 1, 1);
        await waitUntil(() => results.length === 2);
        expect(results[1]?.isErr()).toBe(true);
        file.close();
        rmSync(directory, { recursive: true });
    });
});
