import type { Clock } from "@trefoilladder/clock";
import type { Failure } from "@trefoilladder/failures";
import type { LogClient, LogPage, LogRecord } from "@trefoilladder/platform";
import type { Telemetry } from "@trefoilladder/telemetry";
import type { Result } from "neverthrow";
import { applyRecord, createConfiguration, replaceConfiguration } from "./configuration";
import type { Configuration, ConfigurationContent } from "./configuration";
import { createFreshness } from "./freshness";
import { createRecentRecords } from "./recent-records";
import { parseSnapshot, renderSnapshotAsync } from "./snapshot";
import { findNewestSnapshot, readSnapshot, writeSnapshot } from "./snapshot-stream";

/** Name of the stream that holds the operators' edits. */
export const configurationStream = "configuration";

/** Configuration records that a peer returns. */
export interface PeerRecords {
    records: LogRecord[];
    /** Offset of the next record that the peer will apply. */
    appliedOffset: number;
    /** Offset of the oldest record that the peer keeps; a caller that is further behind needs a snapshot. */
    firstOffset: number;
}

/** Rendered configuration and its applied offset. */
export interface RenderedSnapshot {
    appliedOffset: number;
    text: string;
}

/** Dependencies of the follower. */
export interface ConfigurationFollowerParts {
    log: LogClient;
    clock: Clock;
    telemetry: Telemetry;
    /** Returns the peers to fetch from when none has reported a higher offset, in order of preference. */
    peers?: () => readonly string[];
    /** Calls `FetchSnapshot` of a peer and returns the text of the snapshot. */
    fetchSnapshotFromPeer?: (peer: string, signal: AbortSignal) => Promise<Result<string, Failure>>;
    /** Calls `FetchConfiguration` of a peer. */
    fetchRecordsFromPeer?: (
        peer: string,
        fromOffset: number,
        limit: number,
        signal: AbortSignal,
    ) => Promise<Result<PeerRecords, Failure>>;
    /** Returns whether this instance writes the snapshot at an offset: the first member in rendezvous order does. */
    isSnapshotWriter?: (offset: number) => boolean;
}

/** Options of the follower. */
export interface ConfigurationFollowerOptions {
    /**
     * Age in milliseconds after which a snapshot is rewritten without new records: half of the log's retention time.
     * @default 1_800_000
     */
    snapshotMaxAgeMs?: number;
}

/** Follows the configuration stream of the log. */
export interface ConfigurationFollower {
    /** Updated in place; the same object for the lifetime of the follower. */
    readonly configuration: Configuration;
    /** Follows the stream and writes snapshots until the signal aborts. */
    run(signal: AbortSignal): Promise<void>;
    /** Records a gossip row: the peer has applied the records below an offset. Missing records are then fetched. */
    observeHigherOffset(offset: number, peer: string): void;
    /**
     * Returns whether the configuration may be used at a monotonic time in milliseconds: false before the first
     * complete read, and when a higher offset has been known for 2 s without being applied.
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
/** Time for which a higher offset may be known but not applied before this instance stops admitting requests (I9). */
const maxBehindMs = 2_000;
// The log usually delivers a record within one long poll, so records are fetched from peers only after this time.
const peerDelayMs = 250;
const peerIntervalMs = 250;
const maxPeerRecords = 500;
const peerTimeoutMs = 2_000;
const peerSnapshotTimeoutMs = 10_000;
const snapshotCheckIntervalMs = 10_000;
/** Number of new records after which a snapshot is written. */
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
    const recentRecords = createRecentRecords(0);
    // True once the log or a peer has been read up to its end.
    let initialised = false;
    let logReachable = true;
    let needsPeerSnapshot = false;
    let rendering: Promise<RenderedSnapshot> | undefined;
    let logBounds: Pick<LogPage, "firstOffset" | "endOffset"> | undefined;

    function publishAppliedOffset(): void {
        freshness.markApplied(configuration.appliedOffset);
        telemetry.gauge("configuration.applied_offset", configuration.appliedOffset);
    }

    function applyRecords(records: readonly LogRecord[]): void {
        for (const record of records) {
            // Applying records past a gap would lose edits; the missing records are fetched first.
            if (record.offset > configuration.appliedOffset) {
                break;
            }
            if (record.offset === configuration.appliedOffset) {
                const verdict = applyRecord(configuration, record);
                recentRecords.add(record);
                telemetry.count("configuration.records_applied", { verdict: verdict?.code ?? "none" });
            }
        }
        publishAppliedOffset();
    }

    function install(content: ConfigurationContent, source: string): boolean {
        const installed = replaceConfiguration(configuration, content);
        if (installed) {
            recentRecords.reset(configuration.appliedOffset);
            needsPeerSnapshot = false;
            telemetry.stateChange("configuration_snapshot_installed", { offset: content.appliedOffset, source });
            publishAppliedOffset();
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

    function recordLogFailure(code: string): void {
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
                // The first read does not wait, so that an instance without access to the log soon fetches from peers.
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
                logBounds = page.value;
                freshness.observe(page.value.endOffset, clock.now());
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
                recordLogFailure("platform_records_expired");
            }
            else if (page.isErr()) {
                recordLogFailure(page.error.code);
            }
            await clock.sleep(retryMs * (0.5 + Math.random()), signal);
            retryMs = Math.min(retryMs * 2, maxRetryMs);
        }
    }

    async function fetchFromPeer(peer: string, signal: AbortSignal): Promise<boolean> {
        const { fetchRecordsFromPeer, fetchSnapshotFromPeer } = parts;
        const withTimeout = (timeoutMs: number) => AbortSignal.any([signal, AbortSignal.timeout(timeoutMs)]);
        const offsetBefore = configuration.appliedOffset;
        const fetched = await fetchRecordsFromPeer?.(peer, offsetBefore, maxPeerRecords, withTimeout(peerTimeoutMs));
        if (fetched === undefined || fetched.isErr()) {
            telemetry.count("configuration.peer_failures");
            return false;
        }
        freshness.observe(fetched.value.appliedOffset, clock.now(), peer);
        if (fetched.value.firstOffset > configuration.appliedOffset) {
            const text = await fetchSnapshotFromPeer?.(peer, withTimeout(peerSnapshotTimeoutMs));
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
        // An empty peer may itself be new, so it proves nothing while the log is unreachable.
        if (complete && configuration.appliedOffset > 0) {
            initialised = true;
            needsPeerSnapshot &&= configuration.appliedOffset === offsetBefore;
        }
        return configuration.appliedOffset > offsetBefore;
    }

    async function followPeers(signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            await clock.sleep(peerIntervalMs * (0.8 + 0.4 * Math.random()), signal);
            const isBehind = freshness.behindMs(clock.now()) >= peerDelayMs;
            if (signal.aborted || !isBehind && !needsPeerSnapshot && (initialised || logReachable)) {
                continue;
            }
            const reporter = freshness.reporter();
            const others = (parts.peers?.() ?? []).filter(peer => peer !== reporter);
            for (const peer of reporter === undefined ? others : [reporter, ...others]) {
                if (signal.aborted || await fetchFromPeer(peer, signal)) {
                    break;
                }
            }
        }
    }

    async function isSnapshotDue(lastChange: { endOffset: number; since: number; }): Promise<boolean> {
        const newest = await findNewestSnapshot(log);
        if (newest.isErr() || logBounds === undefined) {
            return false;
        }
        const { end, streamEndOffset } = newest.value;
        if (streamEndOffset !== lastChange.endOffset) {
            lastChange.endOffset = streamEndOffset;
            lastChange.since = clock.now();
        }
        const snapshotOffset = end?.appliedOffset ?? 0;
        const halfway = logBounds.firstOffset + (logBounds.endOffset - logBounds.firstOffset) / 2;
        return configuration.appliedOffset - snapshotOffset >= recordsPerSnapshot
            || logBounds.firstOffset > 0 && snapshotOffset < Math.min(halfway, configuration.appliedOffset)
            || clock.now() - lastChange.since >= snapshotMaxAgeMs;
    }

    async function maintainSnapshots(signal: AbortSignal): Promise<void> {
        const lastChange = { endOffset: -1, since: clock.now() };
        while (!signal.aborted) {
            await clock.sleep(snapshotCheckIntervalMs * (0.8 + 0.4 * Math.random()), signal);
            const offset = configuration.appliedOffset;
            const isUpToDate = initialised && logReachable && offset > 0 && offset >= freshness.highestOffset();
            if (signal.aborted || !isUpToDate || parts.isSnapshotWriter?.(offset) !== true) {
                continue;
            }
            if (!await isSnapshotDue(lastChange)) {
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
        return { appliedOffset, text: (await renderSnapshotAsync(configuration)).join("") };
    }

    return {
        configuration,
        async run(signal) {
            await Promise.all([followLog(signal), followPeers(signal), maintainSnapshots(signal)]);
        },
        observeHigherOffset(offset, peer) {
            freshness.observe(offset, clock.now(), peer);
        },
        isFresh: now => initialised && freshness.behindMs(now) < maxBehindMs,
        recordsFrom(fromOffset, limit) {
            return {
                records: recentRecords.recordsFrom(fromOffset, limit),
                appliedOffset: configuration.appliedOffset,
                firstOffset: recentRecords.firstOffset,
            };
        },
        snapshot() {
            // After the loss of a rack many instances start at once; concurrent requests share one rendering.
            rendering ??= render().finally(() => rendering = undefined);
            return rendering;
        },
    };
}
