import { startInstanceList, startLog } from "@trefoilladder/stand-ins";
import { createTelemetry, encodeHistograms } from "@trefoilladder/telemetry";
import { execFile } from "node:child_process";
import { once } from "node:events";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { createServer } from "node:http";
import type { Server } from "node:http";
import type { AddressInfo } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";

interface RunResult {
    code: number;
    stdout: string;
    stderr: string;
}

const directory = mkdtempSync(join(tmpdir(), "trefoilladder-client-"));
const validLists = "examples/lists.yaml";
const servers: Server[] = [];

function run(args: string[], environment: Record<string, string> = {}): Promise<RunResult> {
    return new Promise(resolve => {
        const env = { PATH: process.env.PATH, ...environment };
        execFile(process.execPath, ["dist/trefoilladder.js", ...args], { env }, (error, stdout, stderr) => {
            resolve({ code: error === null ? 0 : Number(error.code), stdout, stderr });
        });
    });
}

function writeFixture(name: string, text: string): string {
    const path = join(directory, name);
    writeFileSync(path, text);
    return path;
}

/** Starts an inner listener that serves a status document. */
async function startInnerListener(status: object): Promise<number> {
    const server = createServer((_request, response) => response.end(JSON.stringify(status)));
    servers.push(server);
    await once(server.listen(0, "127.0.0.1"), "listening");
    return (server.address() as AddressInfo).port;
}

describe("operators' client", () => {
    let log: Awaited<ReturnType<typeof startLog>>;
    let list: Awaited<ReturnType<typeof startInstanceList>>;
    let addressOptions: string[];

    beforeEach(async () => {
        log = await startLog();
        list = await startInstanceList();
        addressOptions = ["--log", log.url, "--list", list.url];
    });
    afterEach(async () => {
        await Promise.all([log.close(), list.close()]);
        servers.splice(0).forEach(server => {
            server.closeAllConnections();
            server.close();
        });
    });
    afterAll(() => rmSync(directory, { recursive: true, force: true }));

    async function addEntryInstance(id: string, status: object): Promise<void> {
        const innerPort = await startInnerListener({ instanceId: id, ...status });
        list.put({ id, role: "entry", address: "127.0.0.1", port: 1, innerPort, domain: "a", state: "live" });
    }

    it("reports all issues of a list at once, each with its line and field", async () => {
        const path = writeFixture(
            "bad.yaml",
            [
                "plans:",
                "  - name: standard",
                "    ratePerSecond: -1",
                "    burst: 5",
                "    brust: 5",
                "    routes: []",
                "organisations:",
                "  - { name: laurel, plan: gold }",
            ].join("\n"),
        );
        const outcome = await run(["check", path]);
        expect(outcome.code).toBe(65);
        expect(outcome.stderr).toContain(`${path}:3: plans.0.ratePerSecond: `);
        expect(outcome.stderr).toContain(`${path}:5: plans.0.brust: unknown field`);
        expect(outcome.stderr).toContain(`${path}:8: organisations.0.plan: plan gold is not listed`);
    });

    it("exits with a different code for each kind of failure", async () => {
        const settings = writeFixture("client.yaml", `logUrl: ${log.url}\n`);
        expect(await run(["apply", validLists], { TREFOILLADDER_SETTINGS: settings })).toMatchObject({ code: 0 });
        expect(await run([...addressOptions, "key", "create", "nobody"])).toMatchObject({ code: 4 });
        expect(await run([...addressOptions, "key", "revoke", "00000000"])).toMatchObject({ code: 4 });
        expect(await run(["show"])).toMatchObject({ code: 78 });
        expect(await run(["show", "--bogus"])).toMatchObject({ code: 64 });
        expect(await run([...addressOptions, "apply", "missing.yaml"])).toMatchObject({ code: 66 });
        expect(await run(["--log", "http://127.0.0.1:1", "apply", validLists])).toMatchObject({ code: 69 });
        expect(await run([...addressOptions, "status"])).toMatchObject({ code: 70 });
    });

    it("never shows or stores the secret of a key after its creation", async () => {
        await run([...addressOptions, "apply", validLists]);
        const created = JSON.parse((await run([...addressOptions, "--json", "key", "create", "laurel"])).stdout);
        // The secret is base64url and may contain "_", so it is all the text after the prefix.
        const secret = created.key.slice(`tl_${created.id}_`.length);
        expect(secret).toHaveLength(43);
        const listed = await run([...addressOptions, "--json", "key", "list"]);
        expect(JSON.parse(listed.stdout).keys).toMatchObject([{ id: created.id, organisation: "laurel" }]);
        expect(listed.stdout).not.toContain(secret);
        const records = await (await fetch(`${log.url}/streams/configuration/records`)).text();
        expect(records).not.toContain(secret);
        expect(await run([...addressOptions, "key", "revoke", created.id])).toMatchObject({ code: 0 });
        expect((await run([...addressOptions, "key", "list"])).stdout).toBe("no keys\n");
    });

    it("names each instance on which the edit is not in force at the end of a wait", async () => {
        await addEntryInstance("entry-0", { appliedOffset: 1 });
        await addEntryInstance("entry-1", { appliedOffset: 1 });
        await addEntryInstance("entry-2", { appliedOffset: 0 });
        const wait = ["--wait", "--wait-seconds", "0.5"];
        const lagging = await run([...addressOptions, "apply", validLists, ...wait]);
        expect(lagging.code).toBe(5);
        expect(lagging.stderr).toContain("lagging: entry-2 (applied offset 0, needs 1)");
        // Progress lines appear only on a terminal, not in the output to a script.
        expect(lagging.stderr).not.toContain("\r");
        const rejected = await run([...addressOptions, "key", "create", "laurel", ...wait]);
        expect(rejected.code).toBe(6);
        expect(rejected.stdout).toContain("key:          tl_");
        list.remove("entry-2");
        await addEntryInstance("entry-0", { appliedOffset: 9 });
        await addEntryInstance("entry-1", { appliedOffset: 9 });
        expect(await run([...addressOptions, "key", "create", "laurel", ...wait])).toMatchObject({
            code: 0,
            stderr: "",
        });
    });

    it("shows the evidence of each ejection and each instance that does not respond", async () => {
        const telemetry = createTelemetry({ instance: "test", level: "silent" });
        [10, 20, 30].forEach(ms => telemetry.recordDuration("laurel", "idempotent", ms));
        const status = {
            appliedOffset: 4,
            lease: { held: true, remainingMs: 900 },
            ejections: [{ service: "dossier", target: "dossier-1", domains: [], evidence: "9 of 10 requests failed" }],
            quota: [{ organisation: "laurel", role: "owner", ratePerSecond: 50, burst: 100, level: 80 }],
            histograms: encodeHistograms(telemetry.histograms()),
        };
        await addEntryInstance("entry-0", status);
        await addEntryInstance("entry-1", { ...status, quota: [] });
        list.put({
            id: "entry-2",
            role: "entry",
            address: "127.0.0.1",
            port: 1,
            innerPort: 1,
            domain: "b",
            state: "live",
        });
        const { stdout, code } = await run([...addressOptions, "status"]);
        expect(code).toBe(0);
        expect(stdout).toContain("entry-2 (b): no answer");
        expect(stdout).toContain("dossier/dossier-1, whole fleet: 9 of 10 requests failed (reported by 2 instances)");
        expect(stdout).toContain("laurel: owner entry-0, rate 50/s, burst 100, level 80.0");
        const { histograms } = JSON.parse((await run([...addressOptions, "--json", "histograms"])).stdout);
        expect(histograms).toMatchObject([{ name: "laurel/idempotent", count: 6 }]);
        expect(histograms[0].percentilesMs.p50).toBeCloseTo(20, 0);
    });
});
