import { createVirtualClock } from "@trefoilladder/clock";
import type { Digest, Peer } from "@trefoilladder/mesh";
import { StoreFailure, stream, unknownEra } from "@trefoilladder/replication";
import type { KeyedRecord, RecordBatch, RecordStore, Stream } from "@trefoilladder/replication";
import type { TargetRecord } from "@trefoilladder/serving";
import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";
import type { ConfigurationState } from "../../packages/gateway/src/configuration-state";
import { decodeCopy, encodeCopy } from "../../packages/gateway/src/copy-codec";
import { createEvacuations } from "../../packages/gateway/src/evacuations";
import type { PlatformPort } from "../../packages/gateway/src/platform-port";
import type { GatewaySettings } from "../../packages/gateway/src/settings";
import { createStoreStreams } from "../../packages/gateway/src/store-streams";
import type { StoreStreams } from "../../packages/gateway/src/store-streams";
import { createTestDirectory } from "../replication/create-test-directory";
import { silentLog } from "../replication/silent-log";
import { headers, targetRecord } from "./fixtures";

/** Interval of the digests of other instances, in milliseconds. */
const digestIntervalMs = 500;
/** Time in milliseconds in which an instance reads and applies newer records after a digest has announced them. */
const applyLimitMs = 1_000;

function encode(record: TargetRecord): KeyedRecord {
    return { key: record.id, value: Buffer.from(JSON.stringify(record)) };
}

/** Creates a store of target records; it rejects the calls of this instance while `isUnavailable` returns true. */
function createTargetsStore(isUnavailable: () => boolean) {
    const log: KeyedRecord[] = [];
    let era: number | undefined;
    const waiting = new Set<() => void>();
    let configurationReads = 0;

    function respond(name: Stream, from: number): Result<RecordBatch, StoreFailure> {
        if (isUnavailable()) {
            return err(new StoreFailure("refused", "the store responded with 503"));
        }
        return ok(
            name === stream.targets
                ? { records: log.slice(Math.max(0, from)), nextOffset: log.length, era }
                : { records: [], nextOffset: 0, era },
        );
    }

    const store: RecordStore = {
        newest: async name => respond(name, -1),
        read(name, from, _, signal) {
            configurationReads += name === stream.configuration ? 1 : 0;
            if (isUnavailable() || name === stream.targets && from < log.length) {
                return Promise.resolve(respond(name, from));
            }
            return new Promise(resolve => {
                const wake = () => resolve(respond(name, from));
                waiting.add(wake);
                signal.addEventListener("abort", wake, { once: true });
            });
        },
        put: async () => ok({}),
        close: () => undefined,
    };

    return {
        store,
        length: () => log.length,
        configurationReads: () => configurationReads,
        /** Completes the waiting reads. */
        wake() {
            waiting.forEach(wake => wake());
            waiting.clear();
        },
        append: (record: KeyedRecord) => void log.push(record),
        setEra: (value: number) => era = value,
        /** Restores the store from a copy that holds its first records. */
        restore(length: number) {
            log.splice(length);
            era = (era ?? 0) + 1;
        },
    };
}

/** Starts the streams of one instance with simulated peers, whose digests report the responses that they received from the store. */
function startInstance(peerCount = 3) {
    const clock = createVirtualClock();
    const log = silentLog();
    const state = { isRefused: false, isUnavailable: false };
    /** Era that the peers report, and the time since it began. */
    const peerEra = { storeEra: unknownEra, storeEraAgeMs: -1 };
    const targetsStore = createTargetsStore(() => state.isRefused || state.isUnavailable);
    const peers = Array.from({ length: peerCount }, (_, index) => ({
        address: `10.1.0.${index + 2}:7660`,
        domain: "b",
        isStoreUnavailable: false,
        configurationVersion: 0,
        targetsOffset: 0,
        storeEra: unknownEra,
        storeOutageEndedAt: -Infinity,
    } as Peer));
    const evacuations = createEvacuations({
        keyPrefix: "evacuate/",
        log,
        began: domain => directory.beginEvacuation(domain),
        ended: domain => directory.endEvacuation(domain, () => 0),
    });
    const directory = createTestDirectory({ clock, log, expiryGraceUntil: () => streams.expiryGraceUntil() });
    const streams: StoreStreams = createStoreStreams({
        platform: {
            store: targetsStore.store,
            headers,
            evacuationKeyPrefix: "evacuate/",
            decodeTarget: (_, bytes) => ok(JSON.parse(bytes.toString()) as TargetRecord),
        } as Partial<PlatformPort> as PlatformPort,
        settings: { address: "10.1.0.1", meshPort: 7660, peers: "10.1.0.1:7661", domain: "a" } as GatewaySettings,
        clock,
        log,
        random: () => 0.5,
        configuration: { version: () => 0, record: () => undefined } as Partial<
            ConfigurationState
        > as ConfigurationState,
        evacuations,
        directory,
        mesh: () => ({ peers: () => peers, pushRecords: () => true, requestDigest: () => undefined }),
    });
    const stopping = new AbortController();
    const done = streams.run(stopping.signal);

    /** Delivers digests of the peers: the store responds to them unless it is unavailable. */
    function deliverDigests(configurationOffset = 0): void {
        for (const peer of peers) {
            peer.isStoreUnavailable = state.isUnavailable;
            peer.targetsOffset = targetsStore.length();
            peer.storeEra = peerEra.storeEra;
            const digest = {
                ...peerEra,
                targetsOffset: targetsStore.length(),
                targetsAgeMs: state.isUnavailable ? -1 : 100,
                configurationOffset,
                configurationAgeMs: state.isUnavailable ? -1 : 100,
            };
            streams.applyDigest(digest as Digest, peer);
        }
    }

    return {
        evacuated: () => [...evacuations.inForce()],
        copiedKeys: () => decodeCopy(streams.copies.encodedCopyOf(stream.configuration))!.records.map(({ key }) => key),
        /** Delivers a copy of the configuration that another instance has pushed. */
        async receiveCopy(nextOffset: number, records: KeyedRecord[]) {
            const bytes = encodeCopy({ nextOffset, records, era: peerEra.storeEra });
            streams.copies.receive({ name: stream.configuration, bytes, sender: "10.1.0.2", forwardTo: [] });
            await clock.advance(1);
        },
        configurationReads: () => targetsStore.configurationReads(),
        streams,
        targetsStore,
        peers,
        peerEra,
        deliverDigests,
        serving: () => directory.serving("dossier").map(({ id }) => id),
        /** Makes the store reject the calls of this instance only, or be unavailable to all instances. */
        setStoreState(change: Partial<typeof state>) {
            if (state.isUnavailable && change.isUnavailable === false) {
                peers.forEach(peer => peer.storeOutageEndedAt = clock.now());
            }
            Object.assign(state, change);
            targetsStore.wake();
        },
        append(record: KeyedRecord) {
            targetsStore.append(record);
            targetsStore.wake();
        },
        async advance(ms: number, configurationOffset?: number) {
            for (let passed = 0; passed < ms; passed += digestIntervalMs) {
                deliverDigests(configurationOffset);
                await clock.advance(digestIntervalMs);
            }
        },
        async stop() {
            stopping.abort();
            targetsStore.wake();
            await clock.advance(60_000);
            await done;
        },
    };
}

async function startWithTwoTargets(peerCount?: number) {
    const instance = startInstance(peerCount);
    instance.append(encode(targetRecord(0, 80)));
    instance.append(encode(targetRecord(1, 81)));
    await instance.advance(3_000);
    expect(instance.serving()).toEqual(["target-0", "target-1"]);
    return instance;
}

describe("a dropped record", () => {
    // Guards against requests to a target that has left, sent by an instance after the store rejected some of its calls (incident
    // inc2).
    test("takes effect at once when the store responded to the other instances all the time", async () => {
        const instance = await startWithTwoTargets();
        instance.setStoreState({ isRefused: true });
        await instance.advance(4_000);
        instance.setStoreState({ isRefused: false });
        await instance.advance(1_500);
        instance.append({ key: "target-1", value: undefined });
        await instance.advance(applyLimitMs);
        expect(instance.serving()).toEqual(["target-0"]);
        await instance.stop();
    });

    // Guards against an instance without peers that mistakes the wait of its long poll for an outage of the store.
    test("takes effect at once on an instance without peers after a long wait of its read", async () => {
        const instance = await startWithTwoTargets(0);
        await instance.advance(9_000);
        instance.append({ key: "target-1", value: undefined });
        await instance.advance(applyLimitMs);
        expect(instance.serving()).toEqual(["target-0"]);
        await instance.stop();
    });

    test("is not applied for two seconds after the store was unavailable to all instances", async () => {
        const instance = await startWithTwoTargets();
        instance.setStoreState({ isUnavailable: true });
        await instance.advance(4_500);
        instance.append({ key: "target-1", value: undefined });
        instance.setStoreState({ isUnavailable: false });
        await instance.advance(2_000);
        expect(instance.serving()).toEqual(["target-0", "target-1"]);
        await instance.advance(2_000);
        expect(instance.serving()).toEqual(["target-0"]);
        await instance.stop();
    });
});

describe("evacuations", () => {
    const evacuation = { key: "evacuate/a", value: Buffer.from("{}") };

    // Guards against an old copy, from an instance that is behind, that ends an evacuation or begins a revoked one.
    test("change with copies that are ahead, and with no others", async () => {
        const instance = await startWithTwoTargets();
        await instance.receiveCopy(5, [evacuation]);
        expect(instance.evacuated()).toEqual(["a"]);
        expect(instance.serving()).toEqual([]);
        await instance.receiveCopy(3, []);
        expect(instance.evacuated()).toEqual(["a"]);
        await instance.receiveCopy(6, []);
        expect(instance.evacuated()).toEqual([]);
        await instance.receiveCopy(5, [evacuation]);
        expect(instance.evacuated()).toEqual([]);
        await instance.stop();
    });

    // Guards against an instance that gets the configuration from another one without the evacuations in force.
    test("are part of the copies for other instances", async () => {
        const instance = await startWithTwoTargets();
        await instance.receiveCopy(5, [evacuation]);
        expect(instance.copiedKeys()).toEqual(["evacuate/a"]);
        await instance.stop();
    });

    // Guards against an evacuation that reaches an instance only when its silent read of the store times out: an evacuation does not
    // change the version by which an instance notices that another one is ahead.
    test("replace a silent read when another instance has read further", async () => {
        const instance = await startWithTwoTargets();
        const before = instance.configurationReads();
        await instance.advance(2_000, 1);
        expect(instance.configurationReads()).toBeGreaterThan(before);
        await instance.stop();
    });
});

describe("the streams of a store that is restored from a copy", () => {
    async function startInEra(era: number) {
        const instance = startInstance();
        instance.targetsStore.setEra(era);
        instance.peerEra.storeEra = era;
        instance.append(encode(targetRecord(0, 80)));
        instance.append(encode(targetRecord(1, 81)));
        await instance.advance(3_000);
        expect(instance.serving()).toEqual(["target-0", "target-1"]);
        return instance;
    }

    // Guards against requests that fail because live targets are dropped before they have written their records again.
    test("keep targets that are missing until 2.2 s after the era rose", async () => {
        const instance = await startInEra(1);
        instance.targetsStore.restore(1);
        instance.peerEra.storeEra = 2;
        instance.peerEra.storeEraAgeMs = 0;
        await instance.advance(2_000);
        expect(instance.streams.progress()).toMatchObject({ storeEra: 2, targetsOffset: 1 });
        expect(instance.serving()).toEqual(["target-0", "target-1"]);
        await instance.advance(1_500);
        expect(instance.serving()).toEqual(["target-0"]);
        await instance.stop();
    });

    // Guards against requests to a target that has left: an instance that was cut off hears of the new era seconds after the others,
    // when live targets have long written their records again.
    test("drop missing targets at once when the era rose long before", async () => {
        const instance = await startInEra(1);
        instance.targetsStore.restore(1);
        instance.peerEra.storeEra = 2;
        instance.peerEra.storeEraAgeMs = 9_000;
        await instance.advance(1_500);
        expect(instance.serving()).toEqual(["target-0"]);
        await instance.stop();
    });

    // Guards against an offset of the older era in digests of the new one: other instances would take it for their own.
    test("report no offset until they have read the newest records of the new era", async () => {
        const instance = await startInEra(1);
        instance.setStoreState({ isUnavailable: true });
        instance.peerEra.storeEra = 2;
        await instance.advance(500);
        expect(instance.streams.progress()).toMatchObject({ storeEra: 2, targetsOffset: -1, configurationOffset: -1 });
        await instance.stop();
    });

    // Guards against an endless series of reads because a peer that has not heard of the restore reports a higher offset.
    test("do not take a peer of an older era for one that is ahead", async () => {
        const instance = await startInEra(3);
        instance.peerEra.storeEra = 2;
        const handled: string[] = [];
        instance.streams.copies.fetch = name => void handled.push(name);
        instance.setStoreState({ isRefused: true });
        instance.targetsStore.append(encode(targetRecord(2, 82)));
        await instance.advance(3_000);
        expect(handled).toEqual([]);
        instance.peerEra.storeEra = 3;
        await instance.advance(1_000);
        expect(handled).toContain(stream.targets);
        await instance.stop();
    });

    /** Delivers digests of peers of which one has a newer configuration; returns the streams that are fetched from it at once. */
    async function fetchedAtOnce(configurationOffset: number): Promise<string[]> {
        const instance = await startInEra(2);
        const fetched: string[] = [];
        instance.streams.copies.fetch = name => void fetched.push(name);
        instance.peers[0]!.configurationVersion = 3;
        instance.deliverDigests(configurationOffset);
        const fetchedNow = [...fetched];
        instance.peers[0]!.configurationVersion = 0;
        await instance.stop();
        return fetchedNow;
    }

    // Guards against a revoked key that an instance accepts for seconds after its start: the store had lost the configuration that
    // revoked it, and the instance waited for a record that no read delivers.
    test("fetch a configuration at once that only another instance has", async () => {
        expect(await fetchedAtOnce(0)).toEqual([stream.configuration]);
    });

    // Guards against a copy to each instance of a configuration that their reader is about to push.
    test("wait for a configuration that the store has", async () => {
        expect(await fetchedAtOnce(1)).toEqual([]);
    });
});
