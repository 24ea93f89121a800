/**
 * The streams that this instance follows: the configuration and the target records, from the store or from other instances.
 */

import type { Clock } from "@trefoilladder/clock";
import type { Digest, Mesh, Peer, PushedRecords } from "@trefoilladder/mesh";
import { splitAddress } from "@trefoilladder/mesh";
import {
    applyEach,
    chooseReaderRole,
    createEraSettlement,
    createStoreEra,
    createStoreOutage,
    createStreamFollower,
    expiryGraceUntil,
    readerRole,
    stream,
} from "@trefoilladder/replication";
import type {
    KeyedRecord,
    ReaderRole,
    RecordBatch,
    StoreEra,
    Stream,
    StreamFollower,
    TargetDirectory,
} from "@trefoilladder/replication";
import type { DecisionLog } from "@trefoilladder/telemetry";
import type { ConfigurationState } from "./configuration-state";
import { createCopyClient } from "./copy-client";
import type { StreamCopy } from "./copy-codec";
import type { Evacuations } from "./evacuations";
import { createPeerCopies } from "./peer-copies";
import type { PeerCopies } from "./peer-copies";
import type { PlatformPort } from "./platform-port";
import { toRecord, toRow } from "./record-rows";
import type { GatewaySettings } from "./settings";
import { createTargetRecords } from "./target-records";

/** The followed streams. */
export interface StoreStreams {
    /** Follows the streams until the signal; resolves when all have ended. */
    run(signal: AbortSignal): Promise<void>;
    /** Exchange of stream copies with other instances. */
    copies: PeerCopies;
    /** Applies the stream offsets and ages of a digest. */
    applyDigest(digest: Digest, peer: Peer): void;
    /** Applies records pushed by a reader of this failure domain. */
    applyPushed(pushed: PushedRecords): void;
    /** Returns the stream offsets and ages for the next digest. */
    progress(): Pick<
        Digest,
        | "targetsOffset"
        | "targetsAgeMs"
        | "configurationOffset"
        | "configurationAgeMs"
        | "storeOutageEndAgeMs"
        | "storeEra"
        | "storeEraAgeMs"
    >;
    /** Returns the monotonic time of the store's last response about the configuration in milliseconds, 0 before the first one. */
    lastResponseAt(): number;
    /** Returns the monotonic time in milliseconds until which records that expired in an outage of the store may be renewed. */
    expiryGraceUntil(): number;
    /** Returns whether this instance reads the streams for its failure domain. */
    isReader(): boolean;
    /** Era of the store. */
    era: StoreEra;
}

/** Dependencies of the streams. */
export interface StoreStreamsParts {
    platform: PlatformPort;
    settings: GatewaySettings;
    clock: Clock;
    log: DecisionLog;
    random(): number;
    configuration: ConfigurationState;
    evacuations: Pick<Evacuations, "apply">;
    directory: TargetDirectory;
    mesh(): Pick<Mesh, "peers" | "pushRecords" | "requestDigest">;
}

/**
 * Pauses between two reads of a stream, in milliseconds. Each call to the store has a cost, but a change must be in force within
 * 2 s, including a connection setup and a read.
 */
const configurationPauseMs = 900;
const targetsPauseMs = 300;
/** Interval in milliseconds at which records that a new era of the store holds back are looked at again. */
const settleIntervalMs = 1_000;
/** Upper limit in milliseconds of the reported time since the end of an outage. */
const maxStoreOutageEndAgeMs = 60_000;

/** Creates the streams; nothing is read before they run. */
export function createStoreStreams(parts: StoreStreamsParts): StoreStreams {
    const { platform, settings, clock, log, configuration, evacuations, directory } = parts;
    const selfAddress = `${settings.address}:${settings.meshPort}`;
    const targetRecords = createTargetRecords({ decode: platform.decodeTarget, log, directory });
    const outage = createStoreOutage({ now: clock.now(), log });
    const era = createStoreEra({ now: () => clock.now(), log });
    const evacuationSettlement = createEraSettlement({ now: () => clock.now(), era });

    function applyConfiguration(records: readonly KeyedRecord[], source: string): void {
        const configurations = records.filter(({ key }) => key === platform.configurationKey);
        applyEach(configurations, log, record => configuration.apply(record, source));
    }

    const followerOptions = {
        store: platform.store,
        clock,
        log,
        era,
        random: parts.random,
        peerCount: () => parts.mesh().peers().length,
        role,
        endConfirmed: () => parts.mesh().requestDigest(),
    };

    function role(): ReaderRole {
        return chooseReaderRole({ address: selfAddress, domain: settings.domain }, parts.mesh().peers());
    }

    /** Pushes records to the instances of this failure domain; returns whether they fit in a datagram. */
    function push(name: Stream, from: number, { records, nextOffset }: RecordBatch): boolean {
        return parts.mesh().pushRecords({
            stream: name,
            from,
            nextOffset,
            records: records.map(toRow),
            era: era.current,
        });
    }

    /** Sends a configuration to the instances of this failure domain; a large one is forwarded through a tree of instances. */
    function pushConfiguration(from: number, batch: RecordBatch): void {
        if (!push(stream.configuration, from, batch)) {
            copies.push(stream.configuration, parts.mesh().peers().filter(({ domain }) => domain === settings.domain));
        }
    }

    /** Fetches a newer configuration from an instance that has one, preferably in this failure domain. */
    function fetchConfiguration(): Promise<boolean> {
        const ahead = parts.mesh().peers().filter(peer => peer.configurationVersion > configuration.version());
        const sameDomain = ahead.filter(({ domain }) => domain === settings.domain);
        return copies.fetchFromAny(stream.configuration, sameDomain.length > 0 ? sameDomain : ahead);
    }

    const configurationFollower = createStreamFollower({
        ...followerOptions,
        stream: stream.configuration,
        pauseMs: configurationPauseMs,
        apply(records, isSnapshot, source) {
            // The end of an evacuation depends on the configuration of the services, which may be in the same records.
            applyConfiguration(records, source);
            const written = records.filter(({ key }) => key.startsWith(platform.evacuationKeyPrefix));
            evacuations.apply(evacuationSettlement.accept(written, isSnapshot), source);
        },
        recordsRead: pushConfiguration,
        fetchMissing: fetchConfiguration,
    });
    const targetsFollower = createStreamFollower({
        ...followerOptions,
        stream: stream.targets,
        pauseMs: targetsPauseMs,
        apply: targetRecords.apply,
        responseReceived: calledAt => outage.recordResponse(clock.now(), calledAt),
        recordsRead: (from, batch) => void push(stream.targets, from, batch),
    });

    /** Puts the evacuations of a new era of the store in force once its writers have had the time to write them again. */
    async function settleEvacuations(signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            await clock.sleep(settleIntervalMs, signal);
            evacuations.apply(evacuationSettlement.settle(), "era_settled");
        }
    }

    function copyOf(name: Stream): StreamCopy {
        if (name === stream.configuration) {
            const record = configuration.record();
            // The configuration comes last: a copy is encoded again when its last value changes.
            const records = [...evacuationSettlement.logged(), ...record === undefined ? [] : [record]];
            return { nextOffset: configurationFollower.nextOffset, records, era: era.current };
        }
        return { nextOffset: targetsFollower.nextOffset, records: targetRecords.all(), era: era.current };
    }

    const copies = createPeerCopies({
        clock,
        log,
        random: parts.random,
        client: createCopyClient(splitAddress(settings.peers).port),
        copyOf,
        apply(name, copy, source) {
            if (name === stream.configuration) {
                if (!configurationFollower.applyCopy(copy)) {
                    // Evacuations have no version, so that those of a copy that is not ahead cannot be told from older ones.
                    applyConfiguration(copy.records, source);
                }
                return;
            }
            targetsFollower.applyCopy(copy);
        },
    });

    function catchUp(name: Stream, follower: StreamFollower, peer: Peer): void {
        follower.handlePeerAhead();
        if (follower.isFailing) {
            copies.fetch(name, peer);
        }
    }

    function confirmationAgeMs(follower: StreamFollower): number {
        const ageMs = clock.now() - follower.endConfirmedAt;
        return follower.isFailing || ageMs === Infinity ? -1 : Math.round(ageMs);
    }

    /** Returns the reported time since the end of the last outage in milliseconds; -1 while the store does not respond. */
    function storeOutageEndAgeMs(): number {
        return targetsFollower.isFailing
            ? -1
            : Math.round(Math.min(maxStoreOutageEndAgeMs, clock.now() - outage.endedAt));
    }

    return {
        async run(signal) {
            await Promise.all([
                configurationFollower.run(signal),
                targetsFollower.run(signal),
                settleEvacuations(signal),
            ]);
        },
        copies,
        applyDigest(digest, peer) {
            const { targetsOffset, targetsAgeMs, configurationOffset, configurationAgeMs, storeEra } = digest;
            era.observe(storeEra, peer.address, digest.storeEraAgeMs < 0 ? undefined : digest.storeEraAgeMs);
            if (targetsAgeMs >= 0) {
                outage.recordResponse(clock.now() - targetsAgeMs);
                targetsFollower.confirmEnd(targetsOffset, clock.now() - targetsAgeMs, storeEra);
            }
            if (configurationAgeMs >= 0) {
                configurationFollower.confirmEnd(configurationOffset, clock.now() - configurationAgeMs, storeEra);
            }
            // An evacuation raises the offset and not the version.
            const isPeerAhead = storeEra === era.current && configurationOffset > configurationFollower.nextOffset;
            const hasNewerVersion = peer.configurationVersion > configuration.version();
            if (isPeerAhead || hasNewerVersion) {
                catchUp(stream.configuration, configurationFollower, peer);
            }
            if (hasNewerVersion && !isPeerAhead) {
                // A store that was restored from a copy has lost this version, so that no read delivers it.
                copies.fetch(stream.configuration, peer);
            }
            if (peer.storeEra === era.current && peer.targetsOffset > targetsFollower.nextOffset) {
                catchUp(stream.targets, targetsFollower, peer);
            }
        },
        applyPushed({ stream: name, from, nextOffset, records, era: pushedEra }) {
            const batch = { records: records.map(toRecord), nextOffset, era: pushedEra };
            if (name === stream.configuration) {
                configurationFollower.applyFrom(from, batch);
                return;
            }
            targetsFollower.applyFrom(from, batch);
        },
        progress: () => ({
            targetsOffset: targetsFollower.nextOffset,
            targetsAgeMs: confirmationAgeMs(targetsFollower),
            configurationOffset: configurationFollower.nextOffset,
            configurationAgeMs: confirmationAgeMs(configurationFollower),
            storeOutageEndAgeMs: storeOutageEndAgeMs(),
            storeEra: era.current,
            storeEraAgeMs: era.ageMs(),
        }),
        expiryGraceUntil() {
            const others = parts.mesh().peers().flatMap(({ storeOutageEndedAt }) => storeOutageEndedAt ?? []);
            return expiryGraceUntil(outage.endedAt, others, era.roseAt);
        },
        lastResponseAt: () => Math.max(configurationFollower.lastResponseAt, 0),
        isReader: () => role() !== readerRole.none,
        era,
    };
}
