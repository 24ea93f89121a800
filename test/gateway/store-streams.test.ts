import { createVirtualClock } from "@trefoilladder/clock";
import type { Digest, Peer } from "@trefoilladder/mesh";
import { StoreFailure, stream } from "@trefoilladder/replication";
import type { KeyedRecord, RecordBatch, RecordStore, Stream } from "@trefoilladder/replication";
import type { TargetRecord } from "@trefoilladder/serving";
import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";
import type { ConfigurationState } from "../../packages/gateway/src/configuration-state";
import type { PlatformPort } from "../../packages/gateway/src/platform-port";
import type { GatewaySettings } from "../../packages/gateway/src/settings";
import { createStoreStreams } from "../../packages/gateway/src/store-streams";
import type { StoreStreams } from "../../packages/gateway/src/store-streams";
import { openDirectory } from "../replication/open-directory";
import { silentLog } from "../replication/silent-log";
import { headers, targetRecord } from "./fixtures";

/** Interval of the digests of other instances, in milliseconds. */
const digestIntervalMs = 500;
/** Time in milliseconds in which an instance that hears of newer records reads and applies them. */
const appliedMs = 1_000;

function encode(record: TargetRecord): KeyedRecord {
    return { key: record.id, value: Buffer.from(JSON.stringify(record)) };
}

/** Creates the log of the targets' records; `isAway` tells whether a call of this instance is refused. */
function createTargetsLog(isAway: () => boolean) {
    const log: KeyedRecord[] = [];
    const waiting = new Set<() => void>();

    function answer(name: Stream, from: number): Result<RecordBatch, StoreFailure> {
        if (isAway()) {
            return err(new StoreFailure("refused", "the store answered 503"));
        }
        return ok(
            name === stream.targets
                ? { records: log.slice(Math.max(0, from)), nextOffset: log.length }
                : { records: [], nextOffset: 0 },
        );
    }

    const store: RecordStore = {
        newest: async name => answer(name, -1),
        read(name, from, _, signal) {
            if (isAway() || name === stream.targets && from < log.length) {
                return Promise.resolve(answer(name, from));
            }
            return new Promise(resolve => {
                const wake = () => resolve(answer(name, from));
                waiting.add(wake);
                signal.addEventListener("abort", wake, { once: true });
            });
        },
        put: async () => ok(undefined),
        close: () => undefined,
    };

    return {
        store,
        length: () => log.length,
        /** Ends the calls that wait. */
        wake() {
            waiting.forEach(wake => wake());
            waiting.clear();
        },
        append: (record: KeyedRecord) => void log.push(record),
    };
}

/** Starts the streams of one instance beside others that tell what the store answered them. */
function startStreams(others = 3) {
    const clock = createVirtualClock();
    const log = silentLog();
    const state = { isRefused: false, isAway: false };
    const targets = createTargetsLog(() => state.isRefused || state.isAway);
    const peers = Array.from({ length: others }, (_, index) => ({
        address: `10.1.0.${index + 2}:7660`,
        domain: "b",
        isFailing: false,
        configurationVersion: 0,
        targetsOffset: 0,
        outageEndedAt: -Infinity,
    } as Peer));
    const directory = openDirectory({ clock, log, lapseGraceUntil: () => streams.lapseGraceUntil() });
    const streams: StoreStreams = createStoreStreams({
        platform: {
            store: targets.store,
            headers,
            decodeTarget: (_, bytes) => ok(JSON.parse(bytes.toString()) as TargetRecord),
        } as Partial<PlatformPort> as PlatformPort,
        settings: { address: "10.1.0.1", meshPort: 7660, peers: "10.1.0.1:7661", domain: "a" } as GatewaySettings,
        clock,
        log,
        random: () => 0.5,
        configuration: { version: () => 0, record: () => undefined } as Partial<
            ConfigurationState
        > as ConfigurationState,
        directory,
        mesh: () => ({ peers: () => peers, pushRecords: () => true, hurry: () => undefined }),
    });
    const stopping = new AbortController();
    const done = streams.run(stopping.signal);

    /** Tells what the others know: the store answers them, unless it is away. */
    function hearOthers(): void {
        for (const peer of peers) {
            peer.isFailing = state.isAway;
            peer.targetsOffset = targets.length();
            const digest = {
                targetsOffset: targets.length(),
                targetsAgeMs: state.isAway ? -1 : 100,
                configurationOffset: 0,
                configurationAgeMs: state.isAway ? -1 : 100,
            };
            streams.learn(digest as Digest, peer);
        }
    }

    return {
        serving: () => directory.serving("dossier").map(({ id }) => id),
        /** Refuses the calls of this instance, or of all. */
        refuse(change: Partial<typeof state>) {
            if (state.isAway && change.isAway === false) {
                peers.forEach(peer => peer.outageEndedAt = clock.now());
            }
            Object.assign(state, change);
            targets.wake();
        },
        append(record: KeyedRecord) {
            targets.append(record);
            targets.wake();
        },
        async pass(ms: number) {
            for (let passed = 0; passed < ms; passed += digestIntervalMs) {
                hearOthers();
                await clock.advance(digestIntervalMs);
            }
        },
        async stop() {
            stopping.abort();
            targets.wake();
            await clock.advance(60_000);
            await done;
        },
    };
}

async function startWithTwoTargets(others?: number) {
    const trial = startStreams(others);
    trial.append(encode(targetRecord(0, 80)));
    trial.append(encode(targetRecord(1, 81)));
    await trial.pass(3_000);
    expect(trial.serving()).toEqual(["target-0", "target-1"]);
    return trial;
}

describe("a dropped record", () => {
    // Guards against requests to a target that has left, from an instance of which the store has refused some calls (incident inc2).
    test("is in force at once while the store answered the other instances all the time", async () => {
        const trial = await startWithTwoTargets();
        trial.refuse({ isRefused: true });
        await trial.pass(4_000);
        trial.refuse({ isRefused: false });
        await trial.pass(1_500);
        trial.append({ key: "target-1", value: undefined });
        await trial.pass(appliedMs);
        expect(trial.serving()).toEqual(["target-0"]);
        await trial.stop();
    });

    // Guards against an instance without others that takes the wait of its long poll for an outage.
    test("is in force at once at an instance without others whose read waited for long", async () => {
        const trial = await startWithTwoTargets(0);
        await trial.pass(9_000);
        trial.append({ key: "target-1", value: undefined });
        await trial.pass(appliedMs);
        expect(trial.serving()).toEqual(["target-0"]);
        await trial.stop();
    });

    test("is not believed for two seconds after the store was away from all instances", async () => {
        const trial = await startWithTwoTargets();
        trial.refuse({ isAway: true });
        await trial.pass(4_500);
        trial.append({ key: "target-1", value: undefined });
        trial.refuse({ isAway: false });
        await trial.pass(2_000);
        expect(trial.serving()).toEqual(["target-0", "target-1"]);
        await trial.pass(2_000);
        expect(trial.serving()).toEqual(["target-0"]);
        await trial.stop();
    });
});
