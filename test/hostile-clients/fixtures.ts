import { once } from "node:events";
import { existsSync, readdirSync } from "node:fs";
import { connect, createServer } from "node:net";
import type { Socket } from "node:net";
import { join } from "node:path";
import { setTimeout as delay } from "node:timers/promises";
import { call } from "../gateway/caller";
import { peakMemoryMb } from "../soak/process-state";
import { startSoakFleet } from "../soak/soak-fleet";
import { startScriptedTarget } from "../upstream/scripted-target";

/** Memory of the smallest machine in megabytes; the settings state it, and the process has to stay under it. */
const memoryMb = 250;
/** Descriptors that the settings state; the process has to stay under them. */
const maxDescriptors = 400;
/** Command line of the deploy file. */
const program = "target/trefoilladder-gateway.js";
const nodeArguments = ["--max-old-space-size=96", "--max-semi-space-size=1"];
const callerLimits = { MaxHeaderBytes: 16_384, MaxBodyBytes: 4_194_304, HeaderTimeoutMs: 3_000, IdleTimeoutMs: 5_000 };
/** Time limit of the routes, long enough that the clients and not the limit determine how long a request is held. */
const routeTimeoutMs = 20_000;
/** Body of the target's responses, below the size from which the gateway streams them. */
const responseBody = Buffer.alloc(150_000, "x");
/** Time in milliseconds after which a condition counts as never met; long, since the tests check no times. */
const waitLimitMs = 30_000;

/** Limit of the bodies in these tests, in bytes. */
export const maxBodyBytes = callerLimits.MaxBodyBytes;

/** Address that only one of these test files listens on at a time; the system frees it even if the test process is killed. */
const lock = { host: "127.0.3.1", port: 42_611 };

/** Waits until no other test file of this folder runs; resolves to the function that admits the next one. */
async function takeTurn(): Promise<() => Promise<void>> {
    for (;;) {
        const server = createServer();
        const listening = new Promise<boolean>(resolve => {
            server.once("listening", () => resolve(true));
            server.once("error", () => resolve(false));
        });
        server.listen(lock);
        if (await listening) {
            return async () => {
                server.close();
                await once(server, "close");
            };
        }
        await delay(250);
    }
}

/** Time in milliseconds for which a file waits for its turn. */
const turnTimeoutMs = 600_000;

/** Address of a listener. */
export interface Listener {
    host: string;
    port: number;
}

/** Listener and path that a crowd calls. */
export type Place = "route" | "no route" | "readiness" | "instances";

/** Every kind of path of callers, and the readiness listener. */
export const places: readonly Place[] = ["route", "no route", "readiness"];

/** A gateway process with one target, and its clients. */
export interface HostileRun {
    listenerOf(place: Place): Listener;
    /** Opens connections that each send a text; those that stop reading are paused. */
    crowd(place: Place, count: number, options: CrowdOptions): Promise<Client[]>;
    /** Checks that the process is alive, that its memory and descriptors stayed under their bounds, and that it serves. */
    expectSound(): Promise<void>;
    close(): Promise<void>;
}

/** A connection of a client. */
export interface Client {
    socket: Socket;
    isClosed: boolean;
}

/** What the clients of a crowd do. */
export interface CrowdOptions {
    /** Writes to the connection; may write more at `drain`. */
    send(socket: Socket, index: number): void;
    reads: boolean;
    /** Time in milliseconds that the connections stay open after all of them have been opened. */
    stayMs: number;
}

const paths: Record<Place, string> = {
    "route": "/filing/1",
    "no route": "/none/1",
    "readiness": "/api/ready",
    "instances": "/streams/targets",
};

/** Returns the head of a request without the empty line at its end. */
export function headText(
    place: Place,
    id: string,
    options: { method?: string; path?: string; headers?: readonly string[]; deadlineMs?: number; } = {},
): string {
    const lines = [
        `${options.method ?? "POST"} ${options.path ?? paths[place]} HTTP/1.1`,
        "Host: soak.example",
        `Request-Id: ${id}`,
        `Deadline-Ms: ${options.deadlineMs ?? 20_000}`,
        "Authorization: Bearer key-1",
        ...options.headers ?? [],
    ];
    return `${lines.join("\r\n")}\r\n`;
}

/** Gives each test of a file a gateway process of its own, while no other file of this folder runs. */
export function useHostileRun(): Omit<HostileRun, "close"> {
    let run: HostileRun;
    let endTurn: () => Promise<void>;
    beforeAll(async () => {
        endTurn = await takeTurn();
    }, turnTimeoutMs);
    afterAll(() => endTurn());
    beforeEach(async () => {
        run = await startHostileRun();
    });
    afterEach(() => run.close());
    return {
        listenerOf: place => run.listenerOf(place),
        crowd: (place, count, options) => run.crowd(place, count, options),
        expectSound: () => run.expectSound(),
    };
}

/** Starts a gateway process as the deploy file does; its store and target are stand-ins. */
async function startHostileRun(): Promise<HostileRun> {
    if (!existsSync(program)) {
        throw new Error(`${program} is missing; build it with: node scripts/build.mjs deploy`);
    }
    const ignore = () => undefined;
    const target = await startScriptedTarget((socket, _request, id) => {
        socket.write(`HTTP/1.1 200 OK\r\nRequest-Id: ${id}\r\nResponse-Signature: s\r\n`);
        socket.write(`Content-Length: ${responseBody.length}\r\n\r\n`);
        socket.write(responseBody);
    });
    const fleet = await startSoakFleet({
        gateways: 1,
        targets: 0,
        domains: 1,
        nodeArguments,
        program,
        discardsErrors: true,
        settings: { memoryMb, maxDescriptors },
        routeTimeoutMs,
        callerLimits,
    }, { ran: ignore, arrived: ignore, throttled: ignore });
    fleet.register({ id: "t", port: target.port }, 2_000);
    const { host, process: child } = fleet.gateways[0]!;
    const callers = { host, port: fleet.callersPort };
    const ports: Record<Place, number> = {
        "route": fleet.callersPort,
        "no route": fleet.callersPort,
        "readiness": fleet.readinessPort,
        "instances": fleet.peersPort,
    };
    const clients = new Set<Client>();
    let mostDescriptors = 0;
    const sampler = setInterval(() => {
        mostDescriptors = Math.max(mostDescriptors, countDescriptors(child.pid!));
    }, 100);
    const servesOne = async () => (await call(callers, { host: "soak.example", path: "/lookup/1" })).status === 200;
    await waitUntil(servesOne);

    function listenerOf(place: Place): Listener {
        return { host, port: ports[place] };
    }

    function open(place: Place, index: number, { send, reads }: CrowdOptions): Promise<Client> {
        const socket = connect(listenerOf(place));
        const client = { socket, isClosed: false };
        clients.add(client);
        socket.on("error", ignore);
        socket.on("close", () => client.isClosed = true);
        if (reads) {
            socket.resume();
        }
        return new Promise(resolve => {
            socket.once("connect", () => {
                send(socket, index);
                resolve(client);
            });
            socket.once("close", () => resolve(client));
        });
    }

    return {
        listenerOf,
        async crowd(place, count, options) {
            const opened = await Promise.all(
                Array.from({ length: count }, (_, index) => open(place, index, options)),
            );
            await delay(options.stayMs);
            return opened;
        },
        async expectSound() {
            expect(child.exitCode ?? child.signalCode).toBeNull();
            expect(peakMemoryMb(child.pid!)).toBeLessThan(memoryMb);
            expect(mostDescriptors).toBeLessThan(maxDescriptors);
            await waitUntil(servesOne);
            await waitUntil(() => isReady(listenerOf("readiness")));
        },
        async close() {
            clearInterval(sampler);
            clients.forEach(({ socket }) => socket.destroy());
            await fleet.close();
            await target.close();
        },
    };
}

/** Waits until a condition holds. */
export async function waitUntil(condition: () => boolean | Promise<boolean>): Promise<void> {
    const endsAt = performance.now() + waitLimitMs;
    while (!await condition()) {
        if (performance.now() > endsAt) {
            throw new Error("the condition is not met");
        }
        await delay(50);
    }
}

async function isReady(at: Listener): Promise<boolean> {
    return (await call(at, { path: "/api/ready" })).status === 200;
}

/** Returns the number of open descriptors of a process; 0 after its end. */
function countDescriptors(pid: number): number {
    try {
        return readdirSync(join("/proc", String(pid), "fd")).length;
    }
    catch {
        return 0;
    }
}

/** Writes blocks until the connection is closed or `total` bytes have been written. */
export function writeBlocks(socket: Socket, block: Buffer, total: number): void {
    let written = 0;
    const writeMore = () => {
        while (!socket.destroyed && written < total) {
            const part = block.subarray(0, Math.min(block.length, total - written));
            written += part.length;
            if (!socket.write(part)) {
                return;
            }
        }
    };
    socket.on("drain", writeMore);
    writeMore();
}
