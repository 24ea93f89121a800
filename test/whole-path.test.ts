import { createKey } from "@trefoilladder/configuration";
import type { ListedInstance } from "@trefoilladder/platform";
import { startInstanceList, startLog, startTarget } from "@trefoilladder/stand-ins";
import { spawn } from "node:child_process";
import type { ChildProcess } from "node:child_process";
import { once } from "node:events";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as delay } from "node:timers/promises";
import { freePort } from "./free-port";

interface Fleet {
    url: string;
    key: string;
    entry: ChildProcess;
    /** URL of the only target. */
    targetUrl: string;
    close(): Promise<void>;
}

async function startFleet(): Promise<Fleet> {
    const directory = mkdtempSync(join(tmpdir(), "trefoilladder-test-"));
    const log = await startLog();
    const list = await startInstanceList();
    const target = await startTarget({ id: "dossier-0" });
    const [port, innerPort] = [await freePort(), await freePort()];
    const address = { address: "127.0.0.1", domain: "a", state: "live" } as const;
    const instances: ListedInstance[] = [
        { id: "dossier-0", role: "target", service: "dossier", port: target.port, ...address },
        { id: "entry-0", role: "entry", port, innerPort, ...address },
    ];
    instances.forEach(instance => list.put(instance));
    const created = createKey("laurel");
    log.append("configuration", {
        id: "initial-lists",
        changes: [
            {
                kind: "put-plan",
                revision: 0,
                plan: {
                    name: "standard",
                    ratePerSecond: 100,
                    burst: 100,
                    routes: [{ name: "lookups", service: "dossier", pathPrefix: "/nominees", methods: ["GET"] }],
                },
            },
            { kind: "put-organisation", revision: 0, organisation: { name: "laurel", plan: "standard" } },
            { kind: "create-key", key: created.key },
        ],
    });
    const settings = join(directory, "entry.yaml");
    writeFileSync(
        settings,
        [
            "instanceId: entry-0",
            "domain: a",
            `listen: { port: ${port} }`,
            `inner: { port: ${innerPort} }`,
            `logUrl: ${log.url}`,
            `instanceListUrl: ${list.url}`,
            "drainSeconds: 0",
        ].join("\n"),
    );
    const entry = spawn(process.execPath, ["dist/trefoilladder-entry.js", "--settings", settings], { stdio: "ignore" });
    const url = `http://127.0.0.1:${port}`;
    return {
        url,
        key: created.text,
        entry,
        targetUrl: target.url,
        async close() {
            if (entry.exitCode === null) {
                entry.kill("SIGTERM");
                await once(entry, "exit");
            }
            await Promise.all([log.close(), list.close(), target.close()]);
            rmSync(directory, { recursive: true, force: true });
        },
    };
}

/** Repeats a request until the response has the status; the test's own time limit ends it. */
async function fetchUntil(status: number, url: string, headers: Record<string, string>): Promise<Response> {
    for (;;) {
        const response = await fetch(url, { headers }).catch(() => undefined);
        if (response?.status === status) {
            return response;
        }
        await delay(50);
    }
}

/** Waits until the target runs a request for a path; the test's own time limit ends it. */
async function waitForExecution(fleet: Fleet, path: string): Promise<void> {
    for (;;) {
        const response = await fetch(`${fleet.targetUrl}/control/executions`);
        if ((await response.text()).includes(path)) {
            return;
        }
        await delay(20);
    }
}

describe("whole request path across separate processes", () => {
    let fleet: Fleet;
    beforeAll(async () => {
        fleet = await startFleet();
    });
    afterAll(() => fleet.close());

    it("serves a request with a valid key and hides the key from the target", async () => {
        const headers = { "authorization": `Bearer ${fleet.key}`, "request-id": "r-1" };
        const response = await fetchUntil(200, `${fleet.url}/nominees/17?x=1`, headers);
        expect(response.headers.get("request-outcome")).toBe("ran");
        expect(await response.json()).toMatchObject({ target: "dossier-0", requestId: "r-1", sawKey: false });
    });

    it("rejects a request without a key and reports it as not run", async () => {
        const response = await fetch(`${fleet.url}/nominees/17`);
        expect(response.status).toBe(401);
        expect(response.headers.get("request-outcome")).toBe("not-run");
        expect(await response.json()).toMatchObject({ code: "key_missing" });
    });

    it("finishes a running request after SIGTERM and then exits with code 0", async () => {
        await fetch(`${fleet.targetUrl}/control/behaviour`, {
            method: "PUT",
            headers: { "content-type": "application/json" },
            body: JSON.stringify({ lateMs: 1_500 }),
        });
        const exited = once(fleet.entry, "exit");
        const running = fetch(`${fleet.url}/nominees/18`, { headers: { authorization: `Bearer ${fleet.key}` } });
        await waitForExecution(fleet, "/nominees/18");
        fleet.entry.kill("SIGTERM");
        const response = await running;
        expect(response.status).toBe(200);
        expect(await response.json()).toMatchObject({ path: "/nominees/18" });
        expect(await exited).toEqual([0, null]);
    });
});
