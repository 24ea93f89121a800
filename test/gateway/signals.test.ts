import { execFileSync } from "node:child_process";
import { closeSync, constants, mkdtempSync, openSync, readFileSync, rmSync, writeSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as delay } from "node:timers/promises";
import { startSoakFleet } from "../soak/soak-fleet";
import type { SoakFleet } from "../soak/soak-fleet";
import { targetFault } from "../soak/soak-target";
import { call, waitUntil } from "./caller";

let fleet: SoakFleet;
let directory: string;

beforeEach(() => {
    directory = mkdtempSync(join(tmpdir(), "signals-"));
});

afterEach(async () => {
    await fleet.close();
    rmSync(directory, { recursive: true });
});

/** Starts a gateway that writes its log to a descriptor, and waits until it serves. */
async function startLoggingGateway(output: number): Promise<void> {
    const ignore = () => undefined;
    fleet = await startSoakFleet(
        { gateways: 1, targets: 1, domains: 1, output, settings: { logLevel: "info" } },
        { ran: ignore, arrived: ignore, throttled: ignore },
    );
    const at = { host: fleet.gateways[0]!.host, port: fleet.callersPort };
    await waitUntil(async () => (await call(at, { host: "soak.example" })).status === 200);
}

/** Opens a pipe that is full and is not read. */
function openFullPipe(): { writeEnd: number; close(): void; } {
    const path = join(directory, "pipe");
    execFileSync("mkfifo", [path]);
    const filler = openSync(path, constants.O_RDWR | constants.O_NONBLOCK);
    const writeEnd = openSync(path, constants.O_WRONLY);
    try {
        for (;;) {
            writeSync(filler, "x".repeat(4_096));
        }
    }
    catch {
        // The pipe is full.
    }
    return {
        writeEnd,
        close() {
            closeSync(filler);
            closeSync(writeEnd);
        },
    };
}

// Guards against requests that are cut off when the platform asks a process that is stopping to stop once more.
test("a second SIGTERM during a planned stop cuts off no request", async () => {
    const arrived: string[] = [];
    fleet = await startSoakFleet({ gateways: 1, targets: 1, domains: 1 }, {
        ran: request => arrived.push(request),
        arrived: () => undefined,
        throttled: () => undefined,
    });
    const { host, process: child } = fleet.gateways[0]!;
    const at = { host, port: fleet.callersPort };
    await waitUntil(async () => (await call(at, { host: "soak.example", path: "/lookup/1" })).status === 200);
    fleet.targets[0]!.fault = targetFault.hang;
    const request = call(at, { host: "soak.example", path: "/filing/1", method: "POST", body: "x", id: "order" });
    await waitUntil(() => arrived.includes("order"));
    child.kill("SIGTERM");
    await delay(200);
    child.kill("SIGTERM");
    // The target does not respond, so the answer is that of the instance at the route's timeout.
    expect((await request).status).toBe(504);
    await waitUntil(() => child.exitCode === 0);
});

// Guards against a planned stop whose end, and whose number of requests cut off, are missing in the log.
test("the log of a planned stop contains its end", async () => {
    const path = join(directory, "log");
    const output = openSync(path, "a");
    await startLoggingGateway(output);
    const { process: child } = fleet.gateways[0]!;
    child.kill("SIGTERM");
    await waitUntil(() => child.exitCode === 0);
    closeSync(output);
    expect(readFileSync(path, "utf8")).toContain("\"event\":\"stopped\"");
});

// Guards against a process that never exits after a planned stop, because a write of its log waits for a reader.
test("a planned stop ends although nobody reads the log", async () => {
    const pipe = openFullPipe();
    await startLoggingGateway(pipe.writeEnd);
    const { process: child } = fleet.gateways[0]!;
    child.kill("SIGTERM");
    await waitUntil(() => child.exitCode === 0);
    pipe.close();
});
