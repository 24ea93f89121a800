import { createVirtualClock } from "@trefoilladder/clock";
import {
    chooseReaderRole,
    createStoreEra,
    createStreamFollower,
    StoreFailure,
    stream,
} from "@trefoilladder/replication";
import type {
    KeyedRecord,
    ReaderCandidate,
    RecordBatch,
    RecordStore,
    StoreEra,
    StreamFollower,
} from "@trefoilladder/replication";
import fc from "fast-check";
import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";
import { setMaxListeners } from "node:events";
import { createRandomSource } from "../../packages/routing/src/random-source";
import { silentLog } from "./silent-log";

type Fault = "none" | "silent" | "refused";

interface Instance {
    address: string;
    fault: Fault;
    /** Time since which the store has served this instance without a fault. */
    healthySince: number;
    follower: StreamFollower;
    era: StoreEra;
    /** Keys of the records that were applied, in order. */
    applied: string[];
}

interface Simulation {
    seed: number;
    instances: number;
    /** Share of digests and pushed records that are lost. */
    lossShare: number;
    /** Share of instances that each fault affects. */
    faultShare: number;
    /** Whether the store is restored from copies. */
    hasRestores?: boolean;
}

const durationMs = 30_000;
const stepMs = 20;
/** Time without a fault before a change that the propagation bound requires, and the bound itself, in milliseconds. */
const minHealthyMs = 3_000;
const maxPropagationMs = 2_000;
/** Time in milliseconds after the wait of a call at which the store's client times out. */
const callTimeoutMs = 1_500;

/** Simulates instances of one failure domain; returns the violations. */
async function simulate(
    { seed, instances: size, lossShare, faultShare, hasRestores = false }: Simulation,
): Promise<string[]> {
    const clock = createVirtualClock();
    const source = createRandomSource(seed);
    const random = () => source.next();
    const stopping = new AbortController();
    setMaxListeners(0, stopping.signal);
    const violations: string[] = [];
    const log: { record: KeyedRecord; at: number; }[] = [];
    const instances: Instance[] = [];
    let era = 1;
    let restoredAt = -Infinity;
    let written = 0;

    const batchFrom = (from: number): RecordBatch => ({
        records: log.slice(from).map(({ record }) => record),
        nextOffset: log.length,
        era,
    });
    const unanswered = (): Result<RecordBatch, StoreFailure> => err(new StoreFailure("unanswered", "no response"));

    async function hangThenFail(ms: number, signal: AbortSignal): Promise<Result<RecordBatch, StoreFailure>> {
        await clock.sleep(ms, signal);
        return unanswered();
    }

    function storeOf(instance: () => Instance): RecordStore {
        async function serveRead(from: number, waitMs: number, signal: AbortSignal) {
            const endsAt = clock.now() + waitMs;
            for (;;) {
                const { fault } = instance();
                if (fault === "refused") {
                    return err(new StoreFailure("refused", "call rejected"));
                }
                if (fault === "silent") {
                    return hangThenFail(endsAt + callTimeoutMs - clock.now(), signal);
                }
                if (signal.aborted) {
                    return unanswered();
                }
                if (log.length < from) {
                    return err(new StoreFailure("expired", "the offset does not exist", { era }));
                }
                if (log.length > from || clock.now() >= endsAt) {
                    return ok(batchFrom(from));
                }
                await clock.sleep(stepMs, signal);
            }
        }
        return {
            newest: (_, signal) => serveRead(0, 0, signal),
            read: (_, offset, waitMs, signal) => serveRead(offset, waitMs, signal),
            put: () => Promise.resolve(ok({})),
            close: () => undefined,
        };
    }

    function others(self: Instance): Instance[] {
        return instances.filter(other => other !== self);
    }

    function createInstance(address: string): Instance {
        const candidates = (): ReaderCandidate[] =>
            others(instance)
                .map(other => ({ address: other.address, domain: "a", isStoreUnavailable: other.follower.isFailing }));
        const instanceEra = createStoreEra({ now: () => clock.now(), log: silentLog() });
        const instance: Instance = {
            address,
            fault: "none",
            healthySince: 0,
            applied: [],
            era: instanceEra,
            follower: createStreamFollower({
                era: instanceEra,
                store: storeOf(() => instance),
                stream: stream.targets,
                clock,
                log: silentLog(),
                random,
                peerCount: () => size - 1,
                pauseMs: 300,
                role: () => chooseReaderRole({ address, domain: "a" }, candidates()),
                apply(records, isSnapshot) {
                    const keys = records.map(({ key }) => key);
                    instance.applied = isSnapshot ? keys : [...instance.applied, ...keys];
                },
                recordsRead(from, batch) {
                    others(instance).filter(() => random() >= lossShare)
                        .forEach(({ follower }) => follower.applyFrom(from, batch));
                },
            }),
        };
        return instance;
    }

    /** Returns the copy that an instance serves, from the records that it has applied. */
    function copyOf({ follower, era: { current }, applied }: Instance): RecordBatch {
        const records = applied.map(key => ({ key, value: Buffer.from("v") }));
        return { records, nextOffset: follower.nextOffset, era: current };
    }

    async function sendDigests(instance: Instance): Promise<void> {
        while (!stopping.signal.aborted) {
            const { follower, era: { current: ownEra } } = instance;
            const ageMs = clock.now() - follower.lastResponseAt;
            for (const other of others(instance).filter(() => random() >= lossShare)) {
                other.era.observe(
                    ownEra,
                    instance.address,
                    instance.era.ageMs() < 0 ? undefined : instance.era.ageMs(),
                );
                if (!follower.isFailing) {
                    other.follower.confirmEnd(follower.nextOffset, clock.now() - ageMs, ownEra);
                }
                if (other.era.current === ownEra && follower.nextOffset > other.follower.nextOffset) {
                    other.follower.handlePeerAhead();
                    if (other.follower.isFailing) {
                        other.follower.applyCopy(copyOf(instance));
                    }
                }
            }
            await clock.sleep(200 + 400 * random(), stopping.signal);
        }
    }

    /** Injects faults into the most recent readers first, which is the worst case. */
    async function injectFaults(): Promise<void> {
        while (!stopping.signal.aborted) {
            await clock.sleep(500 + 4_000 * random(), stopping.signal);
            const readersFirst = [...instances].sort((a, b) => b.follower.lastResponseAt - a.follower.lastResponseAt);
            const affected = readersFirst.slice(0, Math.round(faultShare * size));
            const fault: Fault = random() < 0.5 ? "silent" : "refused";
            affected.forEach(instance => instance.fault = fault);
            await clock.sleep(500 + 5_000 * random(), stopping.signal);
            affected.forEach(instance => {
                instance.fault = "none";
                instance.healthySince = clock.now();
            });
        }
    }

    /** Restores the store from copies that lack some of the newest records; some restores follow each other closely. */
    async function restoreStore(): Promise<void> {
        while (!stopping.signal.aborted) {
            await clock.sleep(random() < 0.3 ? 300 : 4_000 + 6_000 * random(), stopping.signal);
            log.splice(Math.max(0, log.length - Math.floor(4 * random())));
            era += 1;
            restoredAt = clock.now();
        }
    }

    async function append(): Promise<void> {
        while (!stopping.signal.aborted) {
            await clock.sleep(100 + 2_500 * random(), stopping.signal);
            log.push({ record: { key: String(written), value: Buffer.from("v") }, at: clock.now() });
            written += 1;
        }
    }

    function check(): void {
        const due = log.filter(({ at }) => at <= clock.now() - maxPropagationMs).length;
        for (const { address, fault, healthySince, follower, era: { current }, applied } of instances) {
            const lastAt = log[due - 1]?.at ?? 0;
            const isHealthy = fault === "none" && Math.max(healthySince, restoredAt) + minHealthyMs <= lastAt;
            if (isHealthy && (current !== era || follower.nextOffset < due)) {
                violations.push(`${address} lacks record ${follower.nextOffset} of ${due} at ${clock.now()}`);
            }
            const isOfEra = current === era && follower.nextOffset >= 0;
            if (isOfEra && applied.some((key, index) => key !== log[index]?.record.key)) {
                violations.push(`${address} applied ${applied.join(",")}`);
            }
        }
    }

    for (let index = 0; index < size; index++) {
        instances.push(createInstance(`10.1.0.${index + 1}:7660`));
    }
    const tasks = [
        ...instances.map(({ follower }) => follower.run(stopping.signal)),
        ...instances.map(sendDigests),
        injectFaults(),
        append(),
        ...hasRestores ? [restoreStore()] : [],
    ];
    for (let elapsedMs = 0; elapsedMs < durationMs && violations.length === 0; elapsedMs += stepMs) {
        await clock.advance(stepMs);
        check();
    }
    stopping.abort();
    await clock.advance(60_000);
    await Promise.all(tasks);
    return violations;
}

describe("instances that push records to each other", () => {
    // Guards against an instance that reaches the store but uses stale records because the readers lost the store, and against
    // records that are applied twice or out of order.
    test("all apply a change in time, whichever of them lose the store", async () => {
        await fc.assert(
            fc.asyncProperty(
                fc.record({
                    seed: fc.nat(),
                    instances: fc.integer({ min: 2, max: 8 }),
                    lossShare: fc.constantFrom(0, 0.05, 0.2),
                    faultShare: fc.constantFrom(0, 0.35, 0.7, 1),
                }),
                async options => {
                    expect(await simulate(options)).toEqual([]);
                },
            ),
            { seed: 20_261_204, numRuns: 80 },
        );
    }, 120_000);

    // Guards against instances that keep records of an older era, skip records whose offsets were assigned again, or apply them late.
    test("all apply the records of the newest era in time after the store is restored from copies", async () => {
        await fc.assert(
            fc.asyncProperty(
                fc.record({
                    seed: fc.nat(),
                    instances: fc.integer({ min: 1, max: 8 }),
                    lossShare: fc.constantFrom(0, 0.05, 0.2),
                    faultShare: fc.constantFrom(0, 0.35, 0.7, 1),
                    hasRestores: fc.constant(true),
                }),
                async options => {
                    expect(await simulate(options)).toEqual([]);
                },
            ),
            { seed: 20_261_206, numRuns: 40 },
        );
    }, 120_000);
});
