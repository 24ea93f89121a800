import { startGateway } from "@trefoilladder/gateway";
import type { Gateway, GatewaySettings } from "@trefoilladder/gateway";
import { StoreFailure, stream } from "@trefoilladder/replication";
import type { KeyedRecord, RecordStore, Stream } from "@trefoilladder/replication";
import type { Route, ServingConfiguration, TargetRecord } from "@trefoilladder/serving";
import { err, ok } from "neverthrow";
import type { Socket } from "node:net";
import { freePort } from "../free-port";
import { startScriptedTarget } from "../upstream/scripted-target";
import type { ScriptedTarget } from "../upstream/scripted-target";
import { createWaiters } from "../waiters";

/** In-memory store that several instances share. */
export interface MemoryStore {
    put(name: Stream, key: string, value: unknown): void;
    drop(name: Stream, key: string): void;
    /** Returns the store as seen by one instance; its calls are refused while `isRefused` returns true. */
    view(isRefused?: () => boolean): RecordStore;
    /** Returns the total bytes of values that reads of a stream have returned. */
    bytesRead(name: Stream): number;
    /** Returns a copy of all records, from which the store can be restored later. */
    copy(): StoreCopy;
    /** Replaces all records by those of a copy and raises the era. Waiting reads are completed in the new era. */
    restore(copy: StoreCopy): void;
    /** Era of all responses; undefined for a store without eras. */
    era: number | undefined;
}

/** Records of all streams at one time. */
export type StoreCopy = ReadonlyMap<Stream, readonly KeyedRecord[]>;

/** Creates an empty store. */
export function createMemoryStore(): MemoryStore {
    const records = new Map<Stream, KeyedRecord[]>(Object.values(stream).map(name => [name, []]));
    const waiters = createWaiters();
    const expired = () => err(new StoreFailure("expired", "the offset does not exist", { era: store.era }));
    const bytesRead = new Map<Stream, number>();

    function countRead(name: Stream, read: readonly KeyedRecord[]): void {
        const bytes = read.reduce((sum, { value }) => sum + (value?.length ?? 0), 0);
        bytesRead.set(name, (bytesRead.get(name) ?? 0) + bytes);
    }

    function append(name: Stream, record: KeyedRecord): void {
        records.get(name)!.push(record);
        waiters.wakeAll();
    }

    const store: MemoryStore = {
        era: 1,
        put: (name, key, value) => append(name, { key, value: Buffer.from(JSON.stringify(value)) }),
        drop: (name, key) => append(name, { key, value: undefined }),
        view(isRefused = () => false) {
            const refused = () => err(new StoreFailure("refused", "the store refused the call"));
            return {
                async newest(name) {
                    if (isRefused()) {
                        return refused();
                    }
                    const all = records.get(name)!;
                    const newest = new Map(all.map(record => [record.key, record]));
                    const kept = [...newest.values()].filter(({ value }) => value !== undefined);
                    return ok({ records: kept, nextOffset: all.length, era: store.era });
                },
                async read(name, offset, waitMs, signal) {
                    if (isRefused()) {
                        return refused();
                    }
                    if (records.get(name)!.length === offset) {
                        await waiters.wait(waitMs, signal);
                    }
                    if (isRefused()) {
                        return refused();
                    }
                    const all = records.get(name)!;
                    if (all.length < offset) {
                        return expired();
                    }
                    countRead(name, all.slice(offset));
                    return ok({ records: all.slice(offset), nextOffset: all.length, era: store.era });
                },
                async put(name, record) {
                    if (isRefused()) {
                        return refused();
                    }
                    append(name, record);
                    return ok({ era: store.era });
                },
                close: () => undefined,
            };
        },
        bytesRead: name => bytesRead.get(name) ?? 0,
        copy: () => new Map([...records].map(([name, all]) => [name, [...all]])),
        restore(copy) {
            copy.forEach((all, name) => records.set(name, [...all]));
            store.era = (store.era ?? 0) + 1;
            waiters.wakeAll();
        },
    };
    return store;
}

/** Returns a route of the tests' host. */
export function route(fields: Partial<Route> = {}): Route {
    return {
        name: "lookup",
        host: "laurel.example",
        pathPrefix: "/lookup/",
        idempotent: true,
        largeResponses: false,
        timeoutMs: 2_000,
        latencyObjectiveMs: 1_000,
        priority: 1,
        services: [{ service: "dossier", weight: 1 }],
        maxAttempts: 2,
        allowsAnonymous: false,
        ...fields,
    };
}

/** Returns a configuration with one organisation, an idempotent route and a non-idempotent one. */
export function configuration(fields: Partial<ServingConfiguration> = {}): ServingConfiguration {
    return {
        version: 1,
        routes: [route(), route({ name: "filing", pathPrefix: "/filing/", idempotent: false })],
        services: [{ name: "dossier", maxConnections: 100 }],
        organisations: [{ name: "taipei", keys: ["key-1"], priority: undefined, ratePerSecond: 0, burst: 0 }],
        limits: { maxHeaderBytes: 4_096, maxBodyBytes: 4_000_000, headerTimeoutMs: 2_000, idleTimeoutMs: 5_000 },
        ...fields,
    };
}

/** Responds to one request at a target. */
export type Responder = (socket: Socket, request: number, id: string) => void;

/** A fleet of instances with its targets. */
export interface Fleet {
    store: MemoryStore;
    gateways: Gateway[];
    /** Addresses of the callers' listeners. */
    callers: { host: string; port: number; }[];
    readiness: { host: string; port: number; }[];
    targets: ScriptedTarget[];
    close(): Promise<void>;
}

/** Header names of the tests. */
export const headers = {
    requestId: "request-id",
    deadline: "deadline-ms",
    organisation: "organisation",
    expectedTarget: "expected-target",
    notRun: "not-run",
    signature: "response-signature",
    leaving: "leaving",
    retryAfter: "retry-after",
    load: "load",
};

/** Starts instances, each at its own loopback address, with one target for each responder. */
export async function startFleet(options: {
    responders: readonly Responder[];
    instances?: number;
    configuration?: ServingConfiguration;
    /** Whether the store refuses the calls of an instance. */
    isRefused?(instance: number): boolean;
    /** Time from the request to stop until the process would be killed, in seconds. */
    stopSeconds?: number;
    /** Regions by failure domain. */
    regions?: GatewaySettings["regions"];
    expectedWork?: boolean;
    /** Addresses of instances that every instance knows at its start. */
    seeds?: string[];
}): Promise<Fleet> {
    const store = createMemoryStore();
    const targets = await Promise.all(options.responders.map(respond => startScriptedTarget(respond)));
    targets.forEach(({ port }, index) => store.put(stream.targets, `target-${index}`, targetRecord(index, port)));
    store.put(stream.configuration, "current", options.configuration ?? configuration());
    const ports = await Promise.all([freePort(), freePort(), freePort(), freePort(), freePort()]);
    const gateways: Gateway[] = [];
    const callers: Fleet["callers"] = [];
    const readiness: Fleet["readiness"] = [];
    for (let index = 0; index < (options.instances ?? 1); index++) {
        const host = `127.0.0.${index + 1}`;
        const settings: GatewaySettings = {
            instance: `entry-${index}`,
            domain: "a",
            address: host,
            callers: `${host}:${ports[0]}`,
            readiness: `${host}:${ports[1]}`,
            peers: `${host}:${ports[2]}`,
            meshPort: ports[3],
            linkMbps: 1_000,
            seeds: options.seeds ?? ["127.0.0.1:1"],
            store: "127.0.0.1:1",
            metrics: { port: ports[4], path: "/metrics" },
            stopSeconds: options.stopSeconds ?? 1,
            budget: { ratio: 0.2, reserve: 60 },
            logLevel: "error",
            ...options.regions === undefined ? {} : { regions: options.regions },
            expectedWork: options.expectedWork ?? false,
        };
        gateways.push(
            await startGateway(settings, {
                store: store.view(() => options.isRefused?.(index) ?? false),
                headers,
                readinessPath: "/ready",
                configurationKey: "current",
                evacuationKeyPrefix: "evacuate/",
                decodeConfiguration: bytes => ok(JSON.parse(bytes.toString()) as ServingConfiguration),
                decodeTarget: (_, bytes) => ok(JSON.parse(bytes.toString()) as TargetRecord),
            }),
        );
        callers.push({ host, port: ports[0] });
        readiness.push({ host, port: ports[1] });
    }
    return {
        store,
        gateways,
        callers,
        readiness,
        targets,
        async close() {
            await Promise.all(gateways.map(gateway => gateway.stop()));
            await Promise.all(targets.map(target => target.close()));
        },
    };
}

/** Returns the record of a target. */
export function targetRecord(index: number, port: number, fields: Partial<TargetRecord> = {}): TargetRecord {
    return {
        id: `target-${index}`,
        service: "dossier",
        address: "127.0.0.1",
        port,
        domain: "a",
        slots: 6,
        draining: false,
        coldMs: 0,
        startedAt: 1_000 + index,
        sequence: 1,
        ...fields,
    };
}
