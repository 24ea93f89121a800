import { Failure } from "@trefoilladder/failures";
import { spawn } from "node:child_process";
import type { ChildProcess } from "node:child_process";
import { once } from "node:events";
import { createServer } from "node:net";
import { dirname, join } from "node:path";
import { createInterface } from "node:readline";
import { setTimeout as delay } from "node:timers/promises";

/** A process started by the tool. */
export interface Child {
    name: string;
    process: ChildProcess;
    /** Sends SIGTERM, then SIGKILL if the process does not exit in time; resolves when it has exited. */
    stop(timeoutMs?: number): Promise<void>;
}

/** A stand-in process and its URL. */
export interface StandInProcess extends Child {
    url: string;
}

const startTimeoutMs = 20_000;
const stopTimeoutMs = 15_000;
/** All binaries are bundled into the directory of the running one. */
const binaryDirectory = dirname(process.argv[1] ?? "dist/.");

const running = new Set<ChildProcess>();
process.once("exit", () => running.forEach(child => child.kill("SIGKILL")));

function hasExited(child: ChildProcess): boolean {
    return child.exitCode !== null || child.signalCode !== null;
}

/** Starts a binary of this project; its standard error is discarded. */
export function startBinary(name: string, binary: string, args: readonly string[], capture = false): Child {
    const child = spawn(process.execPath, [join(binaryDirectory, `${binary}.js`), ...args], {
        stdio: ["ignore", capture ? "pipe" : "ignore", "ignore"],
    });
    running.add(child);
    child.once("exit", () => running.delete(child));
    return {
        name,
        process: child,
        async stop(timeoutMs = stopTimeoutMs) {
            if (hasExited(child)) {
                return;
            }
            const exited = once(child, "exit");
            child.kill("SIGCONT");
            child.kill("SIGTERM");
            const timer = setTimeout(() => child.kill("SIGKILL"), timeoutMs);
            await exited;
            clearTimeout(timer);
        },
    };
}

/** Starts a binary that prints "... listening on URL" as its first line. */
export async function startListening(name: string, binary: string, args: readonly string[]): Promise<StandInProcess> {
    const child = startBinary(name, binary, args, true);
    const lines = createInterface({ input: child.process.stdout! });
    const line = await Promise.race([
        once(lines, "line").then(([text]) => String(text)),
        once(child.process, "exit").then(() => ""),
        delay(startTimeoutMs, "", { ref: false }),
    ]);
    const url = /https?:\/\/\S+/.exec(line)?.[0];
    if (url === undefined) {
        await child.stop();
        throw new Failure("process_not_started", `${name} did not start listening`);
    }
    return { ...child, url };
}

/** Starts a stand-in on a free port. */
export function startStandIn(kind: string, args: readonly string[] = []): Promise<StandInProcess> {
    return startListening(kind, "trefoilladder-stand-in", [kind, "--port", "0", ...args]);
}

// The ports are below the kernel's ephemeral range: an outgoing connection could take an ephemeral port between the check
// and the start of the process that listens on it.
const firstPort = 20_000;
const portCount = 12_000;
/** Depends on the process id, so that tools that run concurrently start at different ports. */
let nextPort = process.pid * 97 % portCount;

async function isFree(port: number): Promise<boolean> {
    const server = createServer();
    const listening = await new Promise<boolean>(resolve => {
        server.once("error", () => resolve(false));
        server.listen(port, "127.0.0.1", () => resolve(true));
    });
    server.close();
    return listening;
}

/** Returns unused loopback ports. */
export async function findFreePorts(count: number): Promise<number[]> {
    const ports: number[] = [];
    while (ports.length < count) {
        const port = firstPort + nextPort;
        nextPort = (nextPort + 1) % portCount;
        if (await isFree(port)) {
            ports.push(port);
        }
    }
    return ports;
}
