import { spawn } from "node:child_process";
import type { ChildProcess } from "node:child_process";
import { once } from "node:events";
import { mkdtempSync, openSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as delay } from "node:timers/promises";
import { encodeRecord } from "../../platform/src/record-codec";
import { freePort } from "../free-port";
import { startStoreStandIn } from "../users-platform/store-stand-in";
import type { StoreCopy, StoreStandIn } from "../users-platform/store-stand-in";
import { describeThreads } from "./process-state";
import { startSoakTarget } from "./soak-target";
import type { SoakTarget, TargetListener } from "./soak-target";

/** A gateway and its current process. */
export interface SoakGateway {
    host: string;
    process: ChildProcess;
}

/** Sizes of a fleet. */
export interface SoakSizes {
    gateways: number;
    targets: number;
    /** Number of failure domains of the gateways. */
    domains: number;
    /** Arguments of Node.js for the gateways. */
    nodeArguments?: readonly string[];
    /** Bundle that the gateways run; by default the one for tests. */
    program?: string;
    /** Whether the gateways' error output is discarded; Jest takes a report of exhausted memory in it as its own. */
    discardsErrors?: boolean;
    /** Descriptor for the output of the gateways; by default a file in the directory for logs, if there is one. */
    output?: number;
    /** Settings of the gateways beyond the usual ones. */
    settings?: object;
    /** Time limit of the routes in milliseconds. */
    routeTimeoutMs?: number;
    /** Limits of callers in the configuration; by default the configuration states none. */
    callerLimits?: object;
}

/** Real gateway processes; the store and the targets are stand-ins. */
export interface SoakFleet {
    store: StoreStandIn;
    targets: SoakTarget[];
    gateways: SoakGateway[];
    callersPort: number;
    readinessPort: number;
    /** Port of the listeners between instances. */
    peersPort: number;
    /** Publishes a configuration with these keys and a number of additional routes that no caller uses. */
    publish(keys: readonly string[], extraRoutes?: number): void;
    /**
     * Restores the store from a copy. Each target writes its newest record again within the interval of its writes.
     */
    restoreStore(copy: StoreCopy): void;
    /** Registers a target with its start time in milliseconds. */
    register(target: Pick<SoakTarget, "id" | "port">, startedAt: number): void;
    /**
     * Waits until a process that was signalled to stop exits, and restarts its gateway. Returns the state of the process when it
     * did not exit in time and had to be killed, undefined otherwise.
     */
    restart(index: number, stopping: ChildProcess): Promise<string | undefined>;
    close(): Promise<void>;
}

/** Directory for the logs of the gateways; they are discarded when it is undefined. */
const logDirectory = process.env["SOAK_LOGS"];
/** Start time that the targets are first registered with, in milliseconds. */
export const targetStartedAtMs = 1_000;
/** Time in milliseconds within which every target writes its record again. */
const targetIntervalMs = 1_500;
/** Time within which a stopped process exits, including its stop time and one pause, in milliseconds. */
const exitTimeoutMs = 6_000;

async function waitForExit(child: ChildProcess): Promise<void> {
    if (child.exitCode === null && child.signalCode === null) {
        await once(child, "exit");
    }
}

function routeResource(name: string, type: string, timeoutMs = 1_500): object {
    const spec = {
        Host: "soak.example",
        PathPrefix: `/${name}/`,
        Type: type,
        TimeoutMs: timeoutMs,
        TargetLatencyMs: 400,
        Priority: 1,
        Service: "soak",
        MaxAttempts: 2,
        Public: false,
    };
    return { ResourceType: "Routes", Metadata: { Name: name }, Spec: spec };
}

/** Starts each gateway on a separate loopback address. */
export async function startSoakFleet(
    sizes: SoakSizes,
    listener: TargetListener,
): Promise<SoakFleet> {
    const directory = mkdtempSync(join(tmpdir(), "soak-"));
    const store = await startStoreStandIn();
    const targets = await Promise.all(
        Array.from({ length: sizes.targets }, (_, index) => startSoakTarget(`t-${index}`, listener)),
    );
    const [callersPort, readinessPort, peersPort, meshPort, metricsPort] = await Promise.all(
        Array.from({ length: 5 }, freePort),
    ) as [number, number, number, number, number];
    let version = 0;
    let closed = false;

    /** Functions that write the newest record of each target again. */
    const writers = new Map<string, () => void>();
    let targetSequence = 0;

    function appendRecord(topic: string, key: string, value: object): void {
        store.append(topic, encodeRecord({ key, value: Buffer.from(JSON.stringify(value)) }));
    }

    function publish(keys: readonly string[], extraRoutes = 0): void {
        version += 1;
        const unusedRoutes = Array.from(
            { length: extraRoutes },
            (_, index) => routeResource(`r${version}-${index}`, "safe"),
        );
        const tenant = { ResourceType: "Tenants", Metadata: { Name: "o" }, Spec: { ApiKeys: keys } };
        const limits = sizes.callerLimits === undefined
            ? []
            : [{ ResourceType: "Limits", Metadata: {}, Spec: sizes.callerLimits }];
        const routes = [
            routeResource("lookup", "safe", sizes.routeTimeoutMs),
            routeResource("filing", "unsafe", sizes.routeTimeoutMs),
        ];
        const resources = [...routes, tenant, ...limits, ...unusedRoutes];
        appendRecord("keyed.op", "config", { Version: `r${version}`, Resources: resources });
    }

    function start(host: string, index: number): ChildProcess {
        const settings = {
            instance: host,
            domain: String.fromCharCode("a".charCodeAt(0) + index % sizes.domains),
            address: host,
            callers: `${host}:${callersPort}`,
            readiness: `${host}:${readinessPort}`,
            peers: `${host}:${peersPort}`,
            meshPort,
            linkMbps: 1_000,
            // Without seeds, the gateways discover each other through the store.
            seeds: sizes.domains > 1 ? [`127.0.1.1:${peersPort}`] : [],
            store: store.address,
            metrics: { port: metricsPort, path: "/metrics" },
            stopSeconds: 3,
            budget: { ratio: 0.2, reserve: 60 },
            logLevel: logDirectory === undefined ? "warn" : "info",
            ...sizes.settings,
        };
        const path = join(directory, `${host}.yaml`);
        writeFileSync(path, JSON.stringify(settings));
        return spawn(
            process.execPath,
            [...sizes.nodeArguments ?? [], sizes.program ?? "dist/trefoilladder-gateway.js"],
            {
                env: { TREFOILLADDER_NODE_FILE: path },
                stdio: [
                    "ignore",
                    sizes.output
                        ?? (logDirectory === undefined ? "ignore" : openSync(join(logDirectory, host), "a")),
                    sizes.discardsErrors === true ? "ignore" : "inherit",
                ],
            },
        );
    }

    function register({ id, port }: Pick<SoakTarget, "id" | "port">, startedAt: number): void {
        const write = () => {
            targetSequence += 1;
            appendRecord("keyed.servers", id, {
                Service: "soak",
                Address: `127.0.0.1:${port}`,
                Zone: "a",
                Version: "v1",
                Slots: 6,
                State: "ready",
                ColdRemainingMs: 0,
                Sequence: targetSequence,
                born: startedAt,
            });
        };
        writers.set(id, write);
        write();
    }

    async function writeTargetsAgain(): Promise<void> {
        for (const { id } of targets) {
            await delay(targetIntervalMs / targets.length);
            writers.get(id)!();
        }
    }

    publish(["key-1"]);
    targets.forEach(target => register(target, targetStartedAtMs));
    const gateways: SoakGateway[] = Array.from({ length: sizes.gateways }, (_, index) => {
        const host = `127.0.1.${index + 1}`;
        return { host, process: start(host, index) };
    });

    return {
        store,
        targets,
        gateways,
        callersPort,
        readinessPort,
        peersPort,
        publish,
        restoreStore(copy) {
            store.restore(copy);
            void writeTargetsAgain();
        },
        register,
        async restart(index, stopping) {
            const gateway = gateways[index]!;
            const startedAt = performance.now();
            let stateAtKill: string | undefined;
            const killTimer = setTimeout(() => {
                const afterMs = Math.round(performance.now() - startedAt);
                stateAtKill = `killed after ${afterMs} ms; threads: ${describeThreads(stopping.pid!)}`;
                stopping.kill("SIGKILL");
            }, exitTimeoutMs);
            await waitForExit(stopping);
            clearTimeout(killTimer);
            // Overlapping faults may each request a restart of the same process.
            if (gateway.process === stopping && !closed) {
                gateway.process = start(gateway.host, index);
            }
            return stateAtKill;
        },
        async close() {
            closed = true;
            for (const { process: child } of gateways) {
                child.kill("SIGKILL");
                await waitForExit(child);
            }
            targets.forEach(target => target.close());
            await store.close();
            rmSync(directory, { recursive: true });
        },
    };
}
