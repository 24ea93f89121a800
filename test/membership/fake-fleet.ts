import { create } from "@bufbuild/protobuf";
import { Code, ConnectError } from "@connectrpc/connect";
import { createVirtualClock } from "@trefoilladder/clock";
import type { Clock, VirtualClock } from "@trefoilladder/clock";
import { createMembership, createRoster, createShardOwnership, shardCount } from "@trefoilladder/membership";
import type { MembershipPeer, MembershipService, Roster, ShardOwnershipService } from "@trefoilladder/membership";
import { PlatformFailure } from "@trefoilladder/platform";
import type { ListedInstance, LogClient, LogRecord } from "@trefoilladder/platform";
import { BucketStateSchema, HandoverRequestSchema, PullRowsRequestSchema } from "@trefoilladder/protocol";
import type { BucketState } from "@trefoilladder/protocol";
import type { Telemetry } from "@trefoilladder/telemetry";
import { err, ok } from "neverthrow";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

/** Process of the fake fleet. */
export interface FakeProcess {
    id: string;
    membership: MembershipService;
    ownership: ShardOwnershipService;
    roster: Roster;
    /** Levels of the shards that this process has installed. */
    levels: Map<number, number>;
    /** Shards that were installed without state. */
    installsWithoutState: number;
    alive: boolean;
    paused: boolean;
    /** Start of the last pause. */
    pausedAt: number;
    kill(): void;
    pause(): void;
    resume(): void;
    /** Resolves while the process is not paused, or when it resumes. */
    untilRunning(): Promise<void>;
}

/** Processes that share a virtual clock, a log and an instance list, and call each other over a simulated network. */
export interface FakeFleet {
    clock: VirtualClock;
    processes: Map<string, FakeProcess>;
    log: { available: boolean; };
    /** Fraction of messages that are lost. */
    lossRate: number;
    /** Directed links that drop every message, as "from>to". */
    blocked: Set<string>;
    /** Called for each Handover response in transit; returns whether it is lost. */
    dropsHandoverResponse: (from: string, to: string) => boolean;
    start(id: string): FakeProcess;
    setList(ids: readonly string[], only?: readonly string[]): void;
    /** Advances time in steps and calls `check` after each step. */
    advance(ms: number, check?: () => void): Promise<void>;
    owners(shard: number): FakeProcess[];
    /** Throws if two running processes own the same shard. */
    assertSingleOwners(): void;
    /** Returns the sum of a shard's levels over all running processes that own it. */
    level(shard: number): number;
    stop(): Promise<void>;
}

export const noopTelemetry: Telemetry = {
    count: () => undefined,
    gauge: () => undefined,
    recordDuration: () => undefined,
    stateChange: () => undefined,
    fault: () => undefined,
    metricValues: () => ({}),
    histograms: () => new Map(),
    close: () => undefined,
};

/** Client of an in-memory log; its reads and appends take time on the client's clock. */
function createFakeLog(
    clock: Clock,
    control: { available: boolean; },
    streams: Map<string, LogRecord[]>,
): LogClient {
    const recordsOf = (stream: string) => {
        const records = streams.get(stream) ?? [];
        streams.set(stream, records);
        return records;
    };
    const unavailable = () => err(new PlatformFailure("platform_unreachable", "the log is unavailable"));
    return {
        async append(stream, value) {
            await clock.sleep(3);
            if (!control.available) {
                return unavailable();
            }
            const records = recordsOf(stream);
            records.push({ offset: records.length, value });
            return ok(records.length - 1);
        },
        async read(stream, from, options = {}) {
            const end = clock.now() + (options.waitMs ?? 0);
            do {
                await clock.sleep(100);
                if (!control.available) {
                    return unavailable();
                }
            }
            while (recordsOf(stream).length <= from && clock.now() < end && options.signal?.aborted !== true);
            const records = recordsOf(stream);
            return ok({ firstOffset: 0, endOffset: records.length, records: records.slice(from) });
        },
        offsetRange: async stream =>
            control.available ? ok({ firstOffset: 0, endOffset: recordsOf(stream).length }) : unavailable(),
        close: async () => undefined,
    };
}

/**
 * Creates a fleet without processes; all randomness is derived from the seed. With `separateLogs`, no process reads
 * the roster records of another.
 */
export function createFakeFleet(seed: number, options: { stepMs?: number; separateLogs?: boolean; } = {}): FakeFleet {
    const { stepMs = 25, separateLogs = false } = options;
    const telemetry = noopTelemetry;
    const clock = createVirtualClock(1_000);
    const generator = xoroshiro128plus(seed);
    const random = () => uniformFloat64(generator);
    const processes = new Map<string, FakeProcess>();
    const allProcesses: FakeProcess[] = [];
    const log = { available: true };
    const streams = new Map<string, LogRecord[]>();
    let listed: ListedInstance[] = [];

    const fleet: FakeFleet = {
        clock,
        processes,
        log,
        lossRate: 0,
        blocked: new Set(),
        dropsHandoverResponse: () => false,
        start,
        setList(ids, only) {
            listed = ids.map(id => listedInstance(id));
            for (const process of processes.values()) {
                if (process.alive && (only === undefined || only.includes(process.id))) {
                    process.membership.updateInstances(listed);
                }
            }
        },
        async advance(ms, check) {
            for (let passed = 0; passed < ms; passed += stepMs) {
                await clock.advance(Math.min(stepMs, ms - passed));
                check?.();
            }
        },
        owners: shard => allProcesses.filter(process => isRunning(process) && process.ownership.owns(shard)),
        assertSingleOwners() {
            for (let shard = 0; shard < shardCount; shard++) {
                const owners = fleet.owners(shard);
                if (owners.length > 1) {
                    throw new Error(`shard ${shard} has owners ${owners.map(owner => owner.membership.self()).join()}`);
                }
            }
        },
        level: shard => fleet.owners(shard).reduce((sum, owner) => sum + (owner.levels.get(shard) ?? 0), 0),
        async stop() {
            for (const process of allProcesses) {
                process.resume();
                process.kill();
            }
            await clock.advance(6_000);
        },
    };

    function isRunning(process: FakeProcess): boolean {
        return process.alive && !process.paused;
    }

    function listedInstance(id: string): ListedInstance {
        const port = 10_000 + Number(id.slice(1));
        return { id, role: "entry", address: "fake", port, innerPort: port, domain: "a", state: "live" };
    }

    function start(id: string): FakeProcess {
        const stopping = new AbortController();
        let wake: (() => void) | undefined;
        let running = Promise.resolve();
        const own: Clock = {
            now: clock.now,
            async sleep(ms) {
                await clock.sleep(ms);
                await running;
            },
        };
        const ownLog = createFakeLog(own, log, separateLogs ? new Map() : streams);
        const roster = createRoster({ log: ownLog, clock: own, telemetry });
        const membership = createMembership({
            clock: own,
            telemetry,
            roster,
            appliedOffset: () => 0,
            random,
            connect: origin => ({ peer: connectTo(`i${Number(origin.slice(-5)) - 10_000}`), close: () => undefined }),
        }, { instanceId: id, domain: "a" });
        const levels = new Map<number, number>();
        const ownership = createShardOwnership({
            membership,
            roster,
            clock: own,
            telemetry,
            holders: [{
                release(shard): BucketState[] {
                    const level = levels.get(shard) ?? 0;
                    levels.delete(shard);
                    return [create(BucketStateSchema, { organisation: `organisation-${shard}`, level })];
                },
                install(shard, buckets) {
                    process.installsWithoutState += buckets === undefined ? 1 : 0;
                    levels.set(shard, (buckets ?? []).reduce((sum, bucket) => sum + bucket.level, 0));
                },
            }],
        });
        const process: FakeProcess = {
            id,
            membership,
            ownership,
            roster,
            levels,
            installsWithoutState: 0,
            alive: true,
            paused: false,
            pausedAt: 0,
            kill() {
                process.alive = false;
                stopping.abort();
                process.resume();
            },
            pause() {
                if (!process.paused) {
                    process.paused = true;
                    process.pausedAt = clock.now();
                    running = new Promise(resolve => wake = resolve);
                }
            },
            resume() {
                process.paused = false;
                wake?.();
            },
            untilRunning: () => running,
        };

        async function isDelivered(from: string, to: string): Promise<boolean> {
            await clock.sleep(1 + Math.floor(random() * 15));
            return !fleet.blocked.has(`${from}>${to}`) && random() >= fleet.lossRate;
        }

        function call<Response>(
            to: string,
            timeoutMs: number | undefined,
            serve: (server: FakeProcess) => Response,
            isHandover = false,
        ): Promise<Response> {
            return new Promise((resolve, reject) => {
                void clock.sleep(timeoutMs ?? 1_000).then(async () => {
                    await process.untilRunning();
                    reject(new ConnectError("deadline", Code.DeadlineExceeded));
                });
                void (async () => {
                    if (!await isDelivered(id, to)) {
                        return;
                    }
                    const server = processes.get(to);
                    if (server === undefined || !server.alive) {
                        return reject(new ConnectError("refused", Code.Unavailable));
                    }
                    await server.untilRunning();
                    let response: Response;
                    try {
                        response = serve(server);
                    }
                    catch (error) {
                        return reject(error as Error);
                    }
                    if (
                        !await isDelivered(to, id) || (isHandover && fleet.dropsHandoverResponse(to, id))
                        || !server.alive
                    ) {
                        return;
                    }
                    await process.untilRunning();
                    resolve(response);
                })();
            });
        }

        function connectTo(to: string): MembershipPeer {
            const peer: Pick<MembershipPeer, "pullRows" | "handover"> = {
                pullRows: (request, callOptions) =>
                    call(
                        to,
                        callOptions?.timeoutMs,
                        server => server.membership.handlePullRows(create(PullRowsRequestSchema, request)),
                    ),
                handover: (request, callOptions) =>
                    call(
                        to,
                        callOptions?.timeoutMs,
                        server =>
                            server.ownership.handleHandover(create(HandoverRequestSchema, request), {
                                requestHeader: new Headers(callOptions?.headers),
                            }),
                        true,
                    ),
            };
            return peer as MembershipPeer;
        }

        processes.set(id, process);
        allProcesses.push(process);
        membership.updateInstances(listed);
        void roster.run(stopping.signal);
        void membership.run(stopping.signal);
        void ownership.run(stopping.signal);
        return process;
    }

    return fleet;
}

/** Starts processes i0, i1, ... that list each other, and lets them run until every shard has an owner. */
export async function createFormedFleet(
    size: number,
    seed: number,
    options: { separateLogs?: boolean; } = {},
): Promise<FakeFleet> {
    const fleet = createFakeFleet(seed, options);
    const ids = Array.from({ length: size }, (_, index) => `i${index}`);
    fleet.setList(ids);
    ids.forEach(id => fleet.start(id));
    await fleet.advance(6_000, fleet.assertSingleOwners);
    return fleet;
}
