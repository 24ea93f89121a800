import type { Clock } from "@trefoilladder/clock";
import type { DecisionLog } from "@trefoilladder/telemetry";
import { createReadSchedule, maxPollAfterMs } from "./read-schedule";
import { StoreFailure, storeProblem } from "./record-store";
import type { KeyedRecord, RecordBatch, RecordStore, Stream } from "./record-store";
import { createStoreCall } from "./store-call";
import type { StoreCall } from "./store-call";
import { createStoreEra, unknownEra } from "./store-era";
import type { StoreEra } from "./store-era";
import { readerRole } from "./store-readers";
import type { ReaderRole } from "./store-readers";

/** Follows one stream of the store and applies its records in order. */
export interface StreamFollower {
    run(signal: AbortSignal): Promise<void>;
    /**
     * Records that another instance found the end of the stream at an offset, at a monotonic time in milliseconds. An instance
     * that has applied all records before that offset need not poll the store for a while. An offset of another era is ignored.
     */
    confirmEnd(endOffset: number, at: number, endEra?: number): void;
    /**
     * Applies records that another instance has read, starting at an offset. Returns false, and applies nothing, when this is
     * not the offset at which the next read of this instance starts, or when the batch is of another era.
     */
    applyFrom(from: number, batch: RecordBatch): boolean;
    /**
     * Applies a complete copy of another instance's newest records when that instance is ahead; returns false otherwise. A copy of
     * an older era is never ahead, one of a newer era always.
     */
    applyCopy(batch: RecordBatch): boolean;
    /** Reports that another instance has applied newer records; the follower fetches them unless they arrive soon. */
    handlePeerAhead(): void;
    /** Whether the last call to the store failed, or no call has succeeded yet. */
    readonly isFailing: boolean;
    /** Offset in the current era of the store; -1 while the newest records have to be read. */
    readonly nextOffset: number;
    /** Monotonic time of the last response of the store in milliseconds. */
    readonly lastResponseAt: number;
    /** Monotonic time in milliseconds of the last response to this instance after which no record was left to apply. */
    readonly endConfirmedAt: number;
}

/** Options of a follower. */
export interface StreamFollowerOptions {
    store: RecordStore;
    stream: Stream;
    clock: Clock;
    log: DecisionLog;
    random(): number;
    /** Pause between two reads, in which changes accumulate, in milliseconds. */
    pauseMs: number;
    /**
     * Era of the store, shared by the followers of an instance.
     * @default an era of this follower alone
     */
    era?: StoreEra;
    /** Returns the number of other instances in contact. */
    peerCount(): number;
    /**
     * Returns the role of this instance for the stream.
     * @default the only reader
     */
    role?(): ReaderRole;
    /** Called with the records of each read, to push them to other instances; `from` is the offset at which they start. */
    recordsRead?(from: number, batch: RecordBatch): void;
    /** Applies records. With `isSnapshot`, keys without a record are deleted; `source` is the origin of the records, for logs. */
    apply(records: readonly KeyedRecord[], isSnapshot: boolean, source: string): void;
    /**
     * Fetches the newest records from another instance. The follower polls the store if they are not applied by the end of
     * the fetch.
     * @default polls the store at once
     */
    fetchMissing?(): Promise<unknown>;
    /** Called when a response confirms the end of the stream and other instances may be waiting for it. */
    endConfirmed?(): void;
    /** Called for each response of the store with the monotonic time in milliseconds at which the call began. */
    responseReceived?(calledAt: number): void;
}

/** Interval in milliseconds at which an instance that is not a reader checks whether it has become one. */
const roleCheckIntervalMs = 250;
/** Time in milliseconds for which a read may receive no data while a peer is known to be ahead. */
const stallTimeoutMs = 400;

/** Why an instance calls the store. */
const callPurpose = {
    /** First read of the newest records after the start. */
    start: "start",
    /** Read of the newest records after the store dropped the history. */
    expired: "expired",
    /** Read of the newest records after the store was restored from a copy. */
    restored: "restored",
    /** Repetition of a failed call. */
    retry: "retry",
    /** Long poll of the reader that confirms the stream's end to all instances, and of a failure domain's reader. */
    firstReader: "first_reader",
    domainReader: "domain_reader",
    /** Poll of another instance that received no confirmation, or heard of newer records that did not arrive. */
    unconfirmed: "unconfirmed",
} as const;

const purposeByRole: Record<ReaderRole, typeof callPurpose[keyof typeof callPurpose]> = {
    [readerRole.first]: callPurpose.firstReader,
    [readerRole.domain]: callPurpose.domainReader,
    [readerRole.none]: callPurpose.unconfirmed,
};

function sizeOf(records: readonly KeyedRecord[]): number {
    return records.reduce((sum, { value }) => sum + (value?.length ?? 0), 0);
}

/** Creates a follower; it reads the newest records first. */
export function createStreamFollower(options: StreamFollowerOptions): StreamFollower {
    const { store, stream, clock, log } = options;
    const schedule = createReadSchedule({ random: options.random, pauseMs: options.pauseMs });
    const roleOf = options.role ?? (() => readerRole.first);
    const era = options.era ?? createStoreEra({ now: () => clock.now(), log });
    let nextOffset = -1;
    /** Number of rises of the era. */
    let rises = 0;
    /** Time of the next read of the newest records after a rise of the era; -Infinity when none is due. */
    let rereadAt = -Infinity;
    let lastResponseAt = -Infinity;
    let endConfirmedAt = -Infinity;
    let confirmedAt = -Infinity;
    let pollAfterMs = maxPollAfterMs;
    let failures = 0;
    let call: StoreCall | undefined;
    let suspectCall: StoreCall | undefined;
    let fetchPending = false;
    /** Time at which this instance first learned of records that it lacks. */
    let behindSince: number | undefined;

    function nextWaitMs(): number {
        return failures > 0 ? 0 : schedule.waitMs(options.role?.(), options.peerCount());
    }

    function purposeOfCall(): typeof callPurpose[keyof typeof callPurpose] {
        if (failures > 0) {
            return callPurpose.retry;
        }
        if (nextOffset < 0 && rereadAt > -Infinity) {
            return callPurpose.restored;
        }
        if (nextOffset < 0) {
            return lastResponseAt === -Infinity ? callPurpose.start : callPurpose.expired;
        }
        return purposeByRole[roleOf()];
    }

    async function readOnce(signal: AbortSignal): Promise<StoreFailure | undefined> {
        log.count(`store_call_${stream}_${purposeOfCall()}`);
        const calledAt = clock.now();
        const current = createStoreCall(clock);
        call = current;
        const abortCall = () => current.abort();
        signal.addEventListener("abort", abortCall, { once: true });
        const from = nextOffset;
        const risesBefore = rises;
        const isSnapshot = from < 0;
        const result = isSnapshot
            ? await store.newest(stream, current.signal)
            : await store.read(stream, from, nextWaitMs(), current.signal, current.received);
        signal.removeEventListener("abort", abortCall);
        call = undefined;
        const responseEra = result.isOk() ? result.value.era : result.error.era;
        era.observe(responseEra, "store");
        const hasRisen = rises > risesBefore;
        if (era.isOlder(responseEra)) {
            log.stateChange("older_era_ignored", { stream, era: responseEra, known: era.current });
            return hasRisen ? undefined : new StoreFailure("outdated", "the response is of an older era");
        }
        if (result.isErr()) {
            // A call that was aborted because of the rise is no failure of the store.
            return hasRisen && current.signal.aborted ? undefined : result.error;
        }
        handleResponse(calledAt);
        if (hasRisen && !isSnapshot) {
            // The requested offset was one of the older era.
            return undefined;
        }
        const batch = unappliedPart(result.value, from);
        if (batch === undefined) {
            // Records of another instance were applied first; the next read starts after them.
            log.stateChange("read_overtaken", { stream, from, applied: nextOffset, to: result.value.nextOffset });
            if (result.value.nextOffset <= nextOffset) {
                endConfirmedAt = lastResponseAt;
            }
            return undefined;
        }
        confirmedAt = lastResponseAt;
        endConfirmedAt = lastResponseAt;
        pollAfterMs = schedule.pollAfterMs(options.peerCount());
        const appliedTo = nextOffset;
        applyBatch(batch, isSnapshot, "store");
        if (!isSnapshot && nextOffset > appliedTo) {
            options.recordsRead?.(appliedTo, batch);
        }
        if (roleOf() !== readerRole.domain) {
            options.endConfirmed?.();
        }
        return undefined;
    }

    /** Discards the offset, which has no meaning in the new era, and schedules a read of the newest records. */
    function handleRise(): void {
        rises += 1;
        if (nextOffset >= 0) {
            log.stateChange("offset_discarded", { stream, offset: nextOffset, era: era.current });
            nextOffset = -1;
            behindSince = undefined;
            rereadAt = clock.now() + schedule.rereadAfterMs(roleOf(), options.peerCount());
            call?.abort();
        }
    }

    function handleResponse(calledAt: number): void {
        lastResponseAt = clock.now();
        if (failures > 0) {
            log.lifecycle("dependency_regained", { dependency: "store", stream, failures });
            failures = 0;
        }
        options.responseReceived?.(calledAt);
    }

    /**
     * Returns the part of the response to a read that follows the records applied from another instance during that read;
     * undefined when no record is left, or when the offsets of its records are unknown.
     */
    function unappliedPart(batch: RecordBatch, from: number): RecordBatch | undefined {
        if (nextOffset === from) {
            return batch;
        }
        const isGapless = from >= 0 && batch.records.length === batch.nextOffset - from;
        return isGapless && nextOffset > from && batch.nextOffset > nextOffset
            ? { records: batch.records.slice(nextOffset - from), nextOffset: batch.nextOffset }
            : undefined;
    }

    function applyBatch({ records, nextOffset: next }: RecordBatch, isSnapshot: boolean, source: string): void {
        if (records.length > 0 || isSnapshot) {
            log.stateChange("records_applied", {
                stream,
                source,
                records: records.length,
                bytes: sizeOf(records),
                from: nextOffset,
                to: next,
                behindMs: behindSince === undefined ? undefined : Math.round(clock.now() - behindSince),
            });
            behindSince = undefined;
            options.apply(records, isSnapshot, source);
        }
        rereadAt = -Infinity;
        nextOffset = next;
    }

    /** Logs that records did not arrive in the time in which other instances push them. */
    function logMissingRecords(): void {
        const waitedMs = behindSince === undefined ? 0 : Math.round(clock.now() - behindSince);
        log.stateChange("records_missing", { stream, applied: nextOffset, waitedMs, ...call?.describe() });
    }

    /** Returns the time in milliseconds until this instance has to call the store. */
    function msUntilCall(): number {
        if (nextOffset < 0) {
            return Math.max(0, rereadAt - clock.now());
        }
        const mayWait = failures === 0 && roleOf() === readerRole.none;
        return mayWait ? Math.max(0, confirmedAt + pollAfterMs - clock.now()) : 0;
    }

    function handleFailure(failure: StoreFailure): void {
        if (failure.code === storeProblem.expired) {
            log.stateChange("records_expired", { stream, offset: nextOffset });
            nextOffset = -1;
            return;
        }
        failures += 1;
        if (failures === 1) {
            log.lifecycle("dependency_lost", { dependency: "store", stream, code: failure.code, why: failure.message });
        }
    }

    /** Aborts a read that receives no data for a while, so that a new one replaces it; a response that still arrives may take longer. */
    async function replaceIfStalled(suspect: StoreCall): Promise<void> {
        suspectCall = suspect;
        let idleMs = 0;
        while (call === suspect && idleMs < stallTimeoutMs) {
            await clock.sleep(stallTimeoutMs - idleMs);
            idleMs = Math.min(stallTimeoutMs, suspect.idleMs());
        }
        if (call === suspect) {
            log.stateChange("read_replaced", {
                stream,
                applied: nextOffset,
                silentMs: stallTimeoutMs,
                ...suspect.describe(),
            });
            suspect.abort();
        }
    }

    /** Fetches the missing records when they have not been pushed within a random time. */
    async function fetchIfStillBehind(): Promise<void> {
        if (fetchPending) {
            return;
        }
        fetchPending = true;
        const offsetBefore = nextOffset;
        await clock.sleep(stallTimeoutMs * (0.5 + 0.5 * options.random()));
        if (nextOffset === offsetBefore) {
            logMissingRecords();
            if (call === undefined) {
                await options.fetchMissing?.();
            }
        }
        if (nextOffset === offsetBefore) {
            confirmedAt = -Infinity;
        }
        fetchPending = false;
    }

    era.addRiseListener(handleRise);

    return {
        async run(signal) {
            while (!signal.aborted) {
                const waitMs = msUntilCall();
                if (waitMs > 0) {
                    await clock.sleep(Math.min(waitMs, roleCheckIntervalMs), signal);
                    continue;
                }
                const offsetBefore = nextOffset;
                const risesBefore = rises;
                const failure = await readOnce(signal);
                const hasAdvanced = nextOffset !== offsetBefore && rises === risesBefore;
                if (signal.aborted) {
                    return;
                }
                if (failure !== undefined) {
                    handleFailure(failure);
                }
                if (failures > 0 || hasAdvanced) {
                    await clock.sleep(schedule.pauseMs(failures), signal);
                }
            }
        },
        confirmEnd(endOffset, at, endEra = unknownEra) {
            if (endEra === era.current && endOffset >= 0 && endOffset <= nextOffset) {
                confirmedAt = Math.max(confirmedAt, at);
            }
        },
        applyFrom(from, batch) {
            era.observe(batch.era, "peer");
            if (
                era.isOlder(batch.era ?? unknownEra) || nextOffset < 0 || from !== nextOffset
                || batch.nextOffset <= from
            ) {
                return false;
            }
            applyBatch(batch, false, "peer");
            return true;
        },
        applyCopy(batch) {
            era.observe(batch.era, "peer");
            if (era.isOlder(batch.era ?? unknownEra) || batch.nextOffset <= nextOffset) {
                return false;
            }
            applyBatch(batch, true, "peer");
            return true;
        },
        handlePeerAhead() {
            if (nextOffset < 0) {
                return;
            }
            behindSince ??= clock.now();
            if (call === undefined) {
                void fetchIfStillBehind();
            }
            else if (call !== suspectCall) {
                void replaceIfStalled(call);
            }
        },
        get isFailing() {
            return failures > 0 || lastResponseAt === -Infinity;
        },
        get nextOffset() {
            return nextOffset;
        },
        get lastResponseAt() {
            return lastResponseAt;
        },
        get endConfirmedAt() {
            return endConfirmedAt;
        },
    };
}
