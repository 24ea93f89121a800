import type { Clock } from "@trefoilladder/clock";
import type { Failure } from "@trefoilladder/failures";
import type { LogClient, LogPage, LogRecord } from "@trefoilladder/platform";
import type { Telemetry } from "@trefoilladder/telemetry";
import type { Result } from "neverthrow";
import { applyRecord, createConfiguration, replaceConfiguration } from "./configuration";
import type { Configuration, ConfigurationContent } from "./configuration";
import { createFreshness } from "./freshness";
import { createRecentRecords } from "./recent-records";
import { parseSnapshot, renderSnapshotInTurns } from "./snapshot";
import { findNewestSnapshot, readSnapshot, writeSnapshot } from "./snapshot-stream";

/** Stream that holds the operators' edits. */
export const configurationStream = "configuration";

/** Records of a peer. */
export interface PeerRecords {
    records: LogRecord[];
    /** Offset of the next record that the peer will apply. */
    appliedOffset: number;
    /** First offset that the peer still keeps; a caller below it needs a snapshot. */
    firstOffset: number;
}

/** Rendered configuration and the offset that it includes. */
export interface RenderedSnapshot {
    appliedOffset: number;
    text: string;
}

/** Collaborators of the follower. */
export interface ConfigurationFollowerParts {
    log: LogClient;
    clock: Clock;
    telemetry: Telemetry;
    /** Returns the peers to ask when none told of a higher offset, in the order to ask. */
    peers?: () => readonly string[];
    /** Calls `FetchSnapshot` of a peer and returns the snapshot's text. */
    fetchSnapshotFromPeer?: (peer: string, signal: AbortSignal) => Promise<Result<string, Failure>>;
    /** Calls `FetchConfiguration` of a peer. */
    fetchRecordsFromPeer?: (
        peer: string,
        fromOffset: number,
        limit: number,
        signal: AbortSignal,
    ) => Promise<Result<PeerRecords, Failure>>;
    /** Tells whether this instance writes the snapshot at an offset: the first member in rendezvous order. */
    isSnapshotTurn?: (offset: number) => boolean;
}

/** Options of the follower. */
export interface ConfigurationFollowerOptions {
    /**
     * Age in milliseconds at which a snapshot is written again without new records: half of the log's retention time.
     * @default 1_800_000
     */
    snapshotMaxAgeMs?: number;
}

/** Follows the configuration stream of the log. */
export interface ConfigurationFollower {
    /** The same object for the whole life of the follower, changed in place. */
    readonly configuration: Configuration;
    /** Follows the stream until the signal aborts. */
    run(signal: AbortSignal): Promise<void>;
    /** Notes from a gossip row that a peer has applied the records below an offset; missing ones are then fetched. */
    noteHigherOffset(offset: number, peer: string): void;
    /**
     * Tells whether the configuration may be used at a monotonic time in milliseconds: false before the first complete
     * read, and when a higher offset has been known for 2 s without being applied.
     */
    isFresh(now: number): boolean;
    /** Returns records for a peer (`FetchConfiguration`). */
    recordsFrom(fromOffset: number, limit: number): PeerRecords;
    /** Returns the configuration for a peer (`FetchSnapshot`). */
    snapshot(): Promise<RenderedSnapshot>;
}

const longPollMs = 5_000;
const minRetryMs = 100;
const maxRetryMs = 2_000;
/** Time for which a higher offset may be known before this instance stops admitting (I9). */
const maxBehindMs = 2_000;
// The log usually delivers a record within one long poll, so peers are asked only after this time.
const peerGraceMs = 250;
const peerIntervalMs = 250;
const peerBatch = 500;
const peerTimeoutMs = 2_000;
const peerSnapshotTimeoutMs = 10_000;
const snapshotCheckMs = 10_000;
/** Number of records after which a snapshot is written. */
export const recordsPerSnapshot = 1_000;

/** Creates a follower with an empty configuration. */
export function createConfigurationFollower(
    parts: ConfigurationFollowerParts,
    options: ConfigurationFollowerOptions = {},
): ConfigurationFollower {
    const { log, clock, telemetry } = parts;
    const snapshotMaxAgeMs = options.snapshotMaxAgeMs ?? 1_800_000;
    const configuration = createConfiguration();
    const freshness = createFreshness();
    const recent = createRecentRecords(0);
    // True once the log or a peer has been read up to its end.
    let initialised = false;
    let logReachable = true;
    let needsPeerSnapshot = false;
    let rendering: Promise<RenderedSnapshot> | undefined;
    let bounds: Pick<LogPage, "firstOffset" | "endOffset"> | undefined;

    function afterChange(): void {
        freshness.applied(configuration.appliedOffset);
        telemetry.gauge("configuration.applied_offset", configuration.appliedOffset);
    }

    function applyRecords(records: readonly LogRecord[]): void {
        for (const record of records) {
            // A gap would lose edits; the records before it are fetched first.
            if (record.offset > configuration.appliedOffset) {
                break;
            }
            if (record.offset === configuration.appliedOffset) {
                const verdict = applyRecord(configuration, record);
                recent.add(record);
                telemetry.count("configuration.records_applied", { verdict: verdict?.code ?? "none" });
            }
        }
        afterChange();
    }

    function install(content: ConfigurationContent, source: string): boolean {
        const installed = replaceConfiguration(configuration, content);
        if (installed) {
            recent.restart(configuration.appliedOffset);
            needsPeerSnapshot = false;
            telemetry.stateChange("configuration_snapshot_installed", { offset: content.appliedOffset, source });
            afterChange();
        }
        return installed;
    }

    async function installFromLog(signal: AbortSignal): Promise<boolean> {
        const newest = await findNewestSnapshot(log, signal);
        const end = newest.isOk() ? newest.value.end : undefined;
        if (end === undefined || end.appliedOffset <= configuration.appliedOffset) {
            return false;
        }
        const content = await readSnapshot(log, end, signal);
        if (content.isErr()) {
            telemetry.fault("configuration_snapshot_unreadable", { code: content.error.code });
            return false;
        }
        return install(content.value, "log");
    }

    function noteLogFailure(code: string): void {
        telemetry.count("configuration.read_failures", { code });
        if (logReachable) {
            telemetry.fault("configuration_log_lost", { code });
        }
        logReachable = false;
    }

    async function followLog(signal: AbortSignal): Promise<void> {
        let retryMs = minRetryMs;
        await installFromLog(signal);
        while (!signal.aborted) {
            const page = await log.read(configurationStream, configuration.appliedOffset, {
                // The first read does not wait, so that a start without the log turns to the peers early.
                waitMs: initialised ? longPollMs : 0,
                signal,
            });
            if (signal.aborted) {
                return;
            }
            const expired = page.isErr()
                ? page.error.code === "platform_records_expired"
                : page.value.firstOffset > configuration.appliedOffset;
            if (page.isOk() && !expired) {
                if (!logReachable) {
                    telemetry.stateChange("configuration_log_restored", { offset: page.value.endOffset });
                }
                logReachable = true;
                retryMs = minRetryMs;
                bounds = page.value;
                freshness.note(page.value.endOffset, clock.now());
                applyRecords(page.value.records);
                initialised ||= configuration.appliedOffset >= page.value.endOffset;
                if (page.value.records.length > 0 || configuration.appliedOffset >= page.value.endOffset) {
                    continue;
                }
            }
            else if (expired) {
                needsPeerSnapshot = !await installFromLog(signal);
                if (!needsPeerSnapshot) {
                    continue;
                }
                noteLogFailure("platform_records_expired");
            }
            else if (page.isErr()) {
                noteLogFailure(page.error.code);
            }
            await clock.sleep(retryMs * (0.5 + Math.random()), signal);
            retryMs = Math.min(retryMs * 2, maxRetryMs);
        }
    }

    async function fetchFromPeer(peer: string, signal: AbortSignal): Promise<boolean> {
        const { fetchRecordsFromPeer, fetchSnapshotFromPeer } = parts;
        const limited = (timeoutMs: number) => AbortSignal.any([signal, AbortSignal.timeout(timeoutMs)]);
        const before = configuration.appliedOffset;
        const fetched = await fetchRecordsFromPeer?.(peer, before, peerBatch, limited(peerTimeoutMs));
        if (fetched === undefined || fetched.isErr()) {
            telemetry.count("configuration.peer_failures");
            return false;
        }
        freshness.note(fetched.value.appliedOffset, clock.now(), peer);
        if (fetched.value.firstOffset > configuration.appliedOffset) {
            const text = await fetchSnapshotFromPeer?.(peer, limited(peerSnapshotTimeoutMs));
            const content = text?.andThen(parseSnapshot);
            if (content === undefined || content.isErr()) {
                telemetry.count("configuration.peer_failures");
                return false;
            }
            install(content.value, "peer");
        }
        else {
            applyRecords(fetched.value.records);
        }
        const complete = configuration.appliedOffset >= fetched.value.appliedOffset;
        // An empty peer may be as new as this instance and proves nothing while the log is away.
        if (complete && configuration.appliedOffset > 0) {
            initialised = true;
            needsPeerSnapshot &&= configuration.appliedOffset === before;
        }
        return configuration.appliedOffset > before;
    }

    async function followPeers(signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            await clock.sleep(peerIntervalMs * (0.8 + 0.4 * Math.random()), signal);
            const behind = freshness.behindMs(clock.now()) >= peerGraceMs;
            if (signal.aborted || !behind && !needsPeerSnapshot && (initialised || logReachable)) {
                continue;
            }
            const teller = freshness.teller();
            const others = (parts.peers?.() ?? []).filter(peer => peer !== teller);
            for (const peer of teller === undefined ? others : [teller, ...others]) {
                if (signal.aborted || await fetchFromPeer(peer, signal)) {
                    break;
                }
            }
        }
    }

    async function isSnapshotDue(unchanged: { endOffset: number; since: number; }): Promise<boolean> {
        const newest = await findNewestSnapshot(log);
        if (newest.isErr() || bounds === undefined) {
            return false;
        }
        const { end, streamEndOffset } = newest.value;
        if (streamEndOffset !== unchanged.endOffset) {
            unchanged.endOffset = streamEndOffset;
            unchanged.since = clock.now();
        }
        const snapshotOffset = end?.appliedOffset ?? 0;
        const halfway = bounds.firstOffset + (bounds.endOffset - bounds.firstOffset) / 2;
        return configuration.appliedOffset - snapshotOffset >= recordsPerSnapshot
            || bounds.firstOffset > 0 && snapshotOffset < Math.min(halfway, configuration.appliedOffset)
            || clock.now() - unchanged.since >= snapshotMaxAgeMs;
    }

    async function maintainSnapshots(signal: AbortSignal): Promise<void> {
        const unchanged = { endOffset: -1, since: clock.now() };
        while (!signal.aborted) {
            await clock.sleep(snapshotCheckMs * (0.8 + 0.4 * Math.random()), signal);
            const offset = configuration.appliedOffset;
            const upToDate = initialised && logReachable && offset > 0 && offset >= freshness.highest();
            if (signal.aborted || !upToDate || parts.isSnapshotTurn?.(offset) !== true) {
                continue;
            }
            if (!await isSnapshotDue(unchanged)) {
                continue;
            }
            const written = await writeSnapshot({ log, clock }, configuration, signal);
            if (written.isOk()) {
                telemetry.stateChange("configuration_snapshot_written", { offset: written.value.appliedOffset });
            }
            else {
                telemetry.count("configuration.snapshot_failures", { code: written.error.code });
            }
        }
    }

    async function render(): Promise<RenderedSnapshot> {
        const { appliedOffset } = configuration;
        return { appliedOffset, text: (await renderSnapshotInTurns(configuration)).join("") };
    }

    return {
        configuration,
        async run(signal) {
            await Promise.all([followLog(signal), followPeers(signal), maintainSnapshots(signal)]);
        },
        noteHigherOffset(offset, peer) {
            freshness.note(offset, clock.now(), peer);
        },
        isFresh: now => initialised && freshness.behindMs(now) < maxBehindMs,
        recordsFrom(fromOffset, limit) {
            return {
                records: recent.from(fromOffset, limit),
                appliedOffset: configuration.appliedOffset,
                firstOffset: recent.firstOffset,
            };
        },
        snapshot() {
            // Many instances start at once after the loss of a rack; they share one rendering.
            rendering ??= render().finally(() => rendering = undefined);
            return rendering;
        },
    };
}
