import { createKey } from "@trefoilladder/configuration";
import { Failure } from "@trefoilladder/failures";
import type { Execution, Link, LinkChange, LogBehaviour, TargetBehaviour } from "@trefoilladder/stand-ins";
import { randomUUID } from "node:crypto";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as delay } from "node:timers/promises";
import { request } from "undici";
import { stringify } from "yaml";
import { findFreePorts, startBinary, startStandIn } from "./child-process";
import type { Child, StandInProcess } from "./child-process";
import type { OrganisationLimit } from "./history";

/** Failure domains of the fleet. */
export const domains = ["a", "b", "c"] as const;

/** Alternative behaviours that an entry process can run for comparison with the chosen design. */
export const baselines = ["even-split", "own-evidence", "no-ejection"] as const;

export type Baseline = typeof baselines[number];

/** Sizes and seeds of a fleet. */
export interface FleetOptions {
    instances: number;
    targets: number;
    seed: number;
    limits: readonly OrganisationLimit[];
    baseline?: Baseline;
    /** Whether traffic between failure domains and to targets goes through relays, so that it can be partitioned. */
    hasRelays: boolean;
    /** Median service time of targets in milliseconds. */
    serviceMs: number;
    /** Slots of each target. @default 6 */
    slots?: number;
}

/** An entry instance of the fleet. */
export interface EntryProcess extends Child {
    id: string;
    domain: string;
    port: number;
    innerPort: number;
    url: string;
}

/** A target of the fleet. */
export interface TargetProcess extends StandInProcess {
    id: string;
    domain: string;
    domainPorts: Record<string, number>;
}

/** A fleet of processes on loopback: stand-ins and entry instances. */
export interface Fleet {
    entries: EntryProcess[];
    targets: TargetProcess[];
    logUrl: string;
    /** Key of each organisation: its id and the text that callers send. */
    keys: Map<string, { id: string; text: string; }>;
    startEntry(): Promise<EntryProcess>;
    startTarget(options: { coldMs: number; }): Promise<TargetProcess>;
    /** Adds an instance to the instance list, or changes its state. */
    list(instance: EntryProcess | TargetProcess, state: "live" | "leaving"): Promise<void>;
    unlist(id: string): Promise<void>;
    setTarget(target: TargetProcess, behaviour: Partial<TargetBehaviour>): Promise<void>;
    setLog(behaviour: Partial<LogBehaviour>): Promise<void>;
    setListLag(lagMs: number): Promise<void>;
    setLinks(change: LinkChange): Promise<void>;
    /** Appends an edit; returns whether the log confirmed it. */
    edit(changes: readonly unknown[], id?: string): Promise<boolean>;
    fetchExecutions(): Promise<Execution[]>;
    /** Returns the bytes on links between inner listeners of entry instances; undefined without relays. */
    fetchControlBytes(): Promise<number | undefined>;
    close(): Promise<void>;
}

const readyTimeoutMs = 30_000;
/** Limits concurrent starts of targets, because more would only compete for the CPU cores. */
const maxConcurrentStarts = 4;
const service = "dossier";

/** Sends JSON and returns the parsed body; throws `stand_in_refused` for a status of 400 or above. */
export async function callJson(method: "GET" | "PUT" | "POST" | "DELETE", url: string, value?: unknown) {
    const response = await request(url, {
        method,
        headers: { "content-type": "application/json" },
        body: value === undefined ? undefined : JSON.stringify(value),
    });
    const text = await response.body.text();
    if (response.statusCode >= 400) {
        throw new Failure("stand_in_refused", `${method} ${url} got ${response.statusCode}`);
    }
    return text === "" ? undefined : JSON.parse(text) as unknown;
}

/** Repeats a check until it returns true. A `Failure` ends the wait; other errors count as false. */
export async function waitUntil(condition: string, check: () => Promise<boolean>): Promise<void> {
    const deadline = performance.now() + readyTimeoutMs;
    const checkOnce = () =>
        check().catch(error => {
            if (error instanceof Failure) {
                throw error;
            }
            return false;
        });
    while (!await checkOnce()) {
        if (performance.now() > deadline) {
            throw new Failure("wait_timeout", `timed out while waiting until ${condition}`);
        }
        await delay(50);
    }
}

/** Returns the changes that create an organisation, its own plan with routes, and its key. */
function createChanges(limit: OrganisationLimit, key: unknown): unknown[] {
    const { organisation: name, ratePerSecond, burst } = limit;
    const routes = [
        { name: "lookups", service, pathPrefix: `/${name}/lookups`, methods: ["GET"] },
        { name: "orders", service, pathPrefix: `/${name}/orders`, methods: ["POST"] },
    ];
    return [
        { kind: "put-plan", revision: 0, plan: { name, ratePerSecond, burst, routes } },
        { kind: "put-organisation", revision: 0, organisation: { name, plan: name } },
        { kind: "create-key", key },
    ];
}

/** Starts the stand-ins and entry instances of a fleet; entry instances may not be ready yet. */
export async function startFleet(options: FleetOptions): Promise<Fleet> {
    const directory = mkdtempSync(join(tmpdir(), "trefoilladder-experiment-"));
    const children: Child[] = [];
    const entries: EntryProcess[] = [];
    const targets: TargetProcess[] = [];
    const rewrites: Record<string, Record<string, { port?: number; innerPort?: number; }>> = {};
    let nextTarget = 0;
    let relay: StandInProcess | undefined;

    async function add<Started extends Child>(starting: Promise<Started>): Promise<Started> {
        const child = await starting;
        children.push(child);
        return child;
    }

    async function close(): Promise<void> {
        await Promise.all(children.map(child => child.stop(5_000)));
        rmSync(directory, { recursive: true, force: true });
    }

    async function openLink(source: string, destination: string, port: number): Promise<number> {
        return (await callJson("POST", `${relay!.url}/control/links`, { source, destination, port }) as Link).port;
    }

    try {
        const log = await add(startStandIn("log", ["--seed", String(options.seed)]));
        const list = await add(startStandIn("list", ["--domains", domains.join(",")]));
        const listUrls = await callJson("GET", `${list.url}/control/domains`) as Record<string, string>;
        relay = options.hasRelays ? await add(startStandIn("relay")) : undefined;
        const keys = new Map<string, { id: string; text: string; }>();

        const fleet: Fleet = {
            entries,
            targets,
            logUrl: log.url,
            keys,
            async startEntry() {
                const id = `entry-${entries.length}`;
                const domain = domains[entries.length % domains.length]!;
                const [port, innerPort] = await findFreePorts(2) as [number, number];
                const settings = join(directory, `${id}.yaml`);
                const logUrl = relay === undefined
                    ? log.url
                    : `http://127.0.0.1:${await openLink(domain, "log", Number(new URL(log.url).port))}`;
                const values = {
                    instanceId: id,
                    domain,
                    listen: { port },
                    inner: { port: innerPort },
                    logUrl,
                    instanceListUrl: listUrls[domain],
                    ...(options.baseline === undefined ? {} : { baseline: options.baseline }),
                };
                writeFileSync(settings, stringify(values));
                const child = startBinary(id, "trefoilladder-entry", ["--settings", settings]);
                children.push(child);
                const entry = { ...child, id, domain, port, innerPort, url: `http://127.0.0.1:${port}` };
                entries.push(entry);
                await fleet.list(entry, "live");
                return entry;
            },
            async startTarget({ coldMs }) {
                const number = nextTarget++;
                const id = `dossier-${number}`;
                const started = await add(startStandIn("target", [
                    ...["--id", id, "--seed", String(options.seed * 1_000 + number), "--cold-ms", String(coldMs)],
                    ...["--service-ms", String(options.serviceMs), "--slots", String(options.slots ?? 6)],
                    ...["--domains", domains.join(",")],
                ]));
                const domainPorts = await callJson("GET", `${started.url}/control/domains`) as Record<string, number>;
                const target = { ...started, id, domain: domains[number % domains.length]!, domainPorts };
                targets.push(target);
                await fleet.list(target, "live");
                return target;
            },
            async list(instance, state) {
                const role = "innerPort" in instance ? "entry" : "target";
                const port = Number(new URL(instance.url).port);
                for (const source of domains) {
                    const domainRewrites = rewrites[source] ??= {};
                    if (domainRewrites[instance.id] === undefined) {
                        const inner = "innerPort" in instance ? instance.innerPort : undefined;
                        const direct = "domainPorts" in instance ? instance.domainPorts[source]! : port;
                        const isRelayed = relay !== undefined && (role === "target" || source !== instance.domain);
                        domainRewrites[instance.id] = {
                            port: isRelayed && role === "target" ? await openLink(source, instance.id, direct) : direct,
                            ...(isRelayed && inner !== undefined
                                ? { innerPort: await openLink(source, instance.domain, inner) }
                                : {}),
                        };
                        await callJson("PUT", `${list.url}/control/rewrites/${source}`, domainRewrites);
                    }
                }
                await callJson("PUT", `${list.url}/instances/${instance.id}`, {
                    id: instance.id,
                    role,
                    ...(role === "target" ? { service } : {}),
                    address: "127.0.0.1",
                    port,
                    ...("innerPort" in instance ? { innerPort: instance.innerPort } : {}),
                    domain: instance.domain,
                    state,
                });
            },
            unlist: async id => void await callJson("DELETE", `${list.url}/instances/${id}`),
            setTarget: async (target, behaviour) =>
                void await callJson("PUT", `${target.url}/control/behaviour`, behaviour),
            setLog: async behaviour => void await callJson("PUT", `${log.url}/control/behaviour`, behaviour),
            setListLag: async lagMs => void await callJson("PUT", `${list.url}/control/lag`, { lagMs }),
            async setLinks(change) {
                if (relay !== undefined) {
                    await callJson("PUT", `${relay.url}/control/links`, change);
                }
            },
            async edit(changes, id = randomUUID()) {
                const url = `${log.url}/streams/configuration/records`;
                return callJson("POST", url, { value: { id, changes } }).then(() => true, () => false);
            },
            async fetchExecutions() {
                const parts = await Promise.all(targets.map(async target => {
                    const body = await callJson("GET", `${target.url}/control/executions`);
                    return (body as { executions: Execution[]; }).executions;
                }));
                return parts.flat();
            },
            async fetchControlBytes() {
                if (relay === undefined) {
                    return undefined;
                }
                const { links } = await callJson("GET", `${relay.url}/control/links`) as { links: Link[]; };
                return links.filter(({ destination }) => (domains as readonly string[]).includes(destination))
                    .reduce((sum, { forwardBytes, backwardBytes }) => sum + forwardBytes + backwardBytes, 0);
            },
            close,
        };

        const changes = options.limits.flatMap(limit => {
            const { text, key } = createKey(limit.organisation);
            keys.set(limit.organisation, { id: key.id, text });
            return createChanges(limit, key);
        });
        await fleet.edit(changes);
        while (nextTarget < options.targets) {
            const count = Math.min(maxConcurrentStarts, options.targets - nextTarget);
            await Promise.all(Array.from({ length: count }, () => fleet.startTarget({ coldMs: 0 })));
        }
        // Steps select targets by position, so the order must not depend on which process started first.
        targets.sort((a, b) => a.id.localeCompare(b.id, "en", { numeric: true }));
        for (let started = 0; started < options.instances; started += 1) {
            await fleet.startEntry();
        }
        return fleet;
    }
    catch (error) {
        await close();
        throw error;
    }
}
