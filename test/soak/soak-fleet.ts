import { spawn } from "node:child_process";
import type { ChildProcess } from "node:child_process";
import { once } from "node:events";
import { mkdtempSync, openSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { encodeRecord } from "../../platform/src/record-codec";
import { freePort } from "../free-port";
import { startStoreStandIn } from "../users-platform/store-stand-in";
import type { StoreStandIn } from "../users-platform/store-stand-in";
import { startSoakTarget } from "./soak-target";
import type { SoakTarget, TargetListener } from "./soak-target";

/** One gateway and the process that runs for it now. */
export interface SoakGateway {
    host: string;
    process: ChildProcess;
}

/** How many of each there are. */
export interface SoakSizes {
    gateways: number;
    targets: number;
    /** Failure domains of the gateways. */
    domains: number;
}

/** Real gateway processes with stand-ins of everything else. */
export interface SoakFleet {
    store: StoreStandIn;
    targets: SoakTarget[];
    gateways: SoakGateway[];
    callersPort: number;
    /** Publishes a configuration with these keys, and with further routes that nobody asks for. */
    publish(keys: readonly string[], furtherRoutes?: number): void;
    /** Registers a target as started at a time in milliseconds. */
    register(target: SoakTarget, startedAt: number): void;
    /**
     * Waits for the end of a process that was told to end, and starts its gateway again. Returns false when the process had
     * to be killed because it did not end by itself.
     */
    restart(index: number, ending: ChildProcess): Promise<boolean>;
    close(): Promise<void>;
}

/** Folder for the logs of the gateways; without one they are dropped. */
const logFolder = process.env["SOAK_LOGS"];
/** Start of each target, in milliseconds. */
export const firstStart = 1_000;
/** Time within which a stopped process ends, its stop time and one pause included, in milliseconds. */
const endTimeoutMs = 6_000;

async function ended(child: ChildProcess): Promise<void> {
    if (child.exitCode === null && child.signalCode === null) {
        await once(child, "exit");
    }
}

function routeResource(name: string, type: string): object {
    const spec = {
        Host: "soak.example",
        PathPrefix: `/${name}/`,
        Type: type,
        TimeoutMs: 1_500,
        TargetLatencyMs: 400,
        Priority: 1,
        Service: "soak",
        MaxAttempts: 2,
        Public: false,
    };
    return { ResourceType: "Routes", Metadata: { Name: name }, Spec: spec };
}

/** Starts gateways at loopback addresses of their own. */
export async function startSoakFleet(
    sizes: SoakSizes,
    listener: TargetListener,
): Promise<SoakFleet> {
    const folder = mkdtempSync(join(tmpdir(), "soak-"));
    const store = await startStoreStandIn();
    const targets = await Promise.all(
        Array.from({ length: sizes.targets }, (_, index) => startSoakTarget(`t-${index}`, listener)),
    );
    const [callersPort, readinessPort, peersPort, meshPort, metricsPort] = await Promise.all(
        Array.from({ length: 5 }, freePort),
    ) as [number, number, number, number, number];
    let version = 0;
    let closed = false;

    function put(topic: string, key: string, value: object): void {
        store.append(topic, encodeRecord({ key, value: Buffer.from(JSON.stringify(value)) }));
    }

    function publish(keys: readonly string[], furtherRoutes = 0): void {
        version += 1;
        const further = Array.from(
            { length: furtherRoutes },
            (_, index) => routeResource(`r${version}-${index}`, "safe"),
        );
        const tenant = { ResourceType: "Tenants", Metadata: { Name: "o" }, Spec: { ApiKeys: keys } };
        const resources = [routeResource("lookup", "safe"), routeResource("filing", "unsafe"), tenant, ...further];
        put("keyed.op", "config", { Version: `r${version}`, Resources: resources });
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
            // Without seeds the gateways find each other through the store.
            seeds: sizes.domains > 1 ? [`127.0.1.1:${peersPort}`] : [],
            store: store.address,
            metrics: { port: metricsPort, path: "/metrics" },
            stopSeconds: 3,
            budget: { ratio: 0.2, reserve: 60 },
            logLevel: logFolder === undefined ? "warn" : "info",
        };
        const path = join(folder, `${host}.yaml`);
        writeFileSync(path, JSON.stringify(settings));
        return spawn(process.execPath, ["dist/trefoilladder-gateway.js"], {
            env: { TREFOILLADDER_NODE_FILE: path },
            stdio: ["ignore", logFolder === undefined ? "ignore" : openSync(join(logFolder, host), "a"), "inherit"],
        });
    }

    function register({ id, port }: SoakTarget, startedAt: number): void {
        put("keyed.servers", id, {
            Service: "soak",
            Address: `127.0.0.1:${port}`,
            Zone: "a",
            Version: "v1",
            Slots: 6,
            State: "ready",
            ColdRemainingMs: 0,
            Sequence: 1,
            born: startedAt,
        });
    }

    publish(["key-1"]);
    targets.forEach(target => register(target, firstStart));
    const gateways: SoakGateway[] = Array.from({ length: sizes.gateways }, (_, index) => {
        const host = `127.0.1.${index + 1}`;
        return { host, process: start(host, index) };
    });

    return {
        store,
        targets,
        gateways,
        callersPort,
        publish,
        register,
        async restart(index, ending) {
            const gateway = gateways[index]!;
            const killTimer = setTimeout(() => ending.kill("SIGKILL"), endTimeoutMs);
            const startedAt = performance.now();
            await ended(ending);
            clearTimeout(killTimer);
            // Overlapping faults may each ask for a restart of the same process.
            if (gateway.process === ending && !closed) {
                gateway.process = start(gateway.host, index);
            }
            return performance.now() - startedAt < endTimeoutMs;
        },
        async close() {
            closed = true;
            for (const { process: child } of gateways) {
                child.kill("SIGKILL");
                await ended(child);
            }
            targets.forEach(target => target.close());
            await store.close();
            rmSync(folder, { recursive: true });
        },
    };
}
