// Starts a complete trial fleet on loopback: log, instance list, targets and two entry instances.
import concurrently from "concurrently";
import { execFile } from "node:child_process";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as delay } from "node:timers/promises";
import { promisify } from "node:util";

const logPort = 18_001;
const listPort = 18_002;
const targetPorts = [18_101, 18_102, 18_103, 18_104];
const entries = [{ port: 18_201, innerPort: 18_301 }, { port: 18_202, innerPort: 18_302 }];
const logUrl = `http://127.0.0.1:${logPort}`;
const listUrl = `http://127.0.0.1:${listPort}`;
const readyTimeoutMs = 20_000;

const run = promisify(execFile);
const directory = mkdtempSync(join(tmpdir(), "trefoilladder-"));
const domains = ["a", "b", "c"];

function writeSettings(entry, index) {
    const path = join(directory, `entry-${index}.yaml`);
    writeFileSync(
        path,
        [
            `instanceId: entry-${index}`,
            `domain: ${domains[index % domains.length]}`,
            `listen: { port: ${entry.port} }`,
            `inner: { port: ${entry.innerPort} }`,
            `logUrl: ${logUrl}`,
            `instanceListUrl: ${listUrl}`,
            // A trial fleet has no load balancer that must detect the stop.
            "drainSeconds: 0",
            "",
        ].join("\n"),
    );
    return path;
}

async function waitFor(check) {
    const deadline = Date.now() + readyTimeoutMs;
    while (Date.now() < deadline) {
        const done = await check().catch(() => false);
        if (done) {
            return;
        }
        await delay(100);
    }
    throw new Error("the trial fleet did not become ready");
}

async function register(instance) {
    const response = await fetch(`${listUrl}/instances/${instance.id}`, {
        method: "PUT",
        headers: { "content-type": "application/json" },
        body: JSON.stringify({ state: "live", address: "127.0.0.1", ...instance }),
    });
    return response.ok;
}

async function prepare() {
    await waitFor(async () => (await fetch(`${listUrl}/instances`)).ok);
    await waitFor(async () => (await fetch(`${logUrl}/streams/configuration/records`)).ok);
    for (const [index, port] of targetPorts.entries()) {
        const domain = domains[index % domains.length];
        await register({ id: `dossier-${index}`, role: "target", service: "dossier", port, domain });
    }
    for (const [index, { port, innerPort }] of entries.entries()) {
        await register({ id: `entry-${index}`, role: "entry", port, innerPort, domain: domains[index] });
    }
    const client = ["dist/trefoilladder.js", "--log", logUrl, "--list", listUrl, "--json"];
    await run(process.execPath, [...client, "apply", "examples/lists.yaml"]);
    const { stdout } = await run(process.execPath, [...client, "key", "create", "laurel"]);
    const { key } = JSON.parse(stdout);
    const url = `http://127.0.0.1:${entries[0].port}/dossier/nominees/17`;
    const headers = { authorization: `Bearer ${key}` };
    await waitFor(async () => (await fetch(url, { headers })).ok);
    console.log(`log:            ${logUrl}`);
    console.log(`instance list:  ${listUrl}`);
    entries.forEach(({ port }, index) => console.log(`entry ${index}:        http://127.0.0.1:${port}`));
    targetPorts.forEach((port, index) => console.log(`target ${index}:       http://127.0.0.1:${port}`));
    console.log(`example:        curl -i -H "authorization: Bearer ${key}" ${url}`);
}

const node = `"${process.execPath}"`;
const { commands, result } = concurrently([
    { name: "log", command: `${node} dist/trefoilladder-stand-in.js log --port ${logPort}` },
    { name: "list", command: `${node} dist/trefoilladder-stand-in.js list --port ${listPort}` },
    ...targetPorts.map((port, index) => ({
        name: `target-${index}`,
        command: `${node} dist/trefoilladder-stand-in.js target --port ${port} --id dossier-${index}`,
    })),
    ...entries.map((entry, index) => ({
        name: `entry-${index}`,
        command: `${node} dist/trefoilladder-entry.js --settings ${writeSettings(entry, index)}`,
    })),
], { prefix: "name", killOthersOn: ["failure", "success"] });

prepare().catch(error => {
    console.error(error.message);
    commands.forEach(command => command.kill("SIGTERM"));
});

result.then(() => 0, () => commands.every(command => command.killed || command.exited) ? 0 : 1).then(code => {
    rmSync(directory, { recursive: true, force: true });
    process.exitCode = code;
});
