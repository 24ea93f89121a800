import type { Clock } from "@trefoilladder/clock";
import type { DecisionLog } from "@trefoilladder/telemetry";
import { createReadTimes, maxPollAfterMs } from "./read-times";
import { storeProblem } from "./record-store";
import type { KeyedRecord, RecordBatch, RecordStore, StoreFailure, Stream } from "./record-store";
import { createStoreCall } from "./store-call";
import type { StoreCall } from "./store-call";
import { readerRole } from "./store-readers";
import type { ReaderRole } from "./store-readers";

/** Follows one stream of the store and applies its records in order. */
export interface StreamFollower {
    run(signal: AbortSignal): Promise<void>;
    /**
     * Notes that the stream ended at an offset at a monotonic time, as another instance has seen it. An instance that has
     * applied the records before that offset need not poll the store for a while.
     */
    confirmEnd(endOffset: number, at: number): void;
    /**
     * Applies records that another instance has read, from the offset at which this one's next read begins. Returns false
     * when they do not follow what this instance has applied.
     */
    applyFrom(from: number, batch: RecordBatch): boolean;
    /** Applies all newest records that another instance holds, when it is ahead; returns false otherwise. */
    applyCopy(batch: RecordBatch): boolean;
    /** Tells that another instance has applied newer records; unless they arrive soon, they are fetched. */
    nudge(): void;
    /** Whether the store did not answer the last call, or has not answered any. */
    readonly isFailing: boolean;
    readonly nextOffset: number;
    /** Monotonic time of the last answer of the store in milliseconds. */
    readonly answeredAt: number;
    /** Monotonic time in milliseconds of the last answer to this instance behind which nothing was left to apply. */
    readonly endConfirmedAt: number;
}

/** Options of a follower. */
export interface StreamFollowerOptions {
    store: RecordStore;
    stream: Stream;
    clock: Clock;
    log: DecisionLog;
    random(): number;
    /** Pause between two reads, in which changes are collected, in milliseconds. */
    pauseMs: number;
    /** Returns the number of other instances in contact. */
    peers(): number;
    /**
     * Returns the role of this instance for the stream.
     * @default a reader that is alone
     */
    role?(): ReaderRole;
    /** Called with what a read brought, for other instances; `from` is the offset at which the read began. */
    readRecords?(from: number, batch: RecordBatch): void;
    /** Applies records; `isWhole` tells that keys without a record are gone, `source` where they came from, for logs. */
    apply(records: readonly KeyedRecord[], isWhole: boolean, source: string): void;
    /**
     * Fetches the newest records from another instance. The store is polled when they have not been applied by its end.
     * @default the store is polled at once
     */
    fetchMissing?(): Promise<unknown>;
    /** Called when an answer confirms the stream's end that other instances may wait for. */
    confirmed?(): void;
    /** Called for each answer of the store with the monotonic time in milliseconds at which the call began. */
    answered?(calledAt: number): void;
}

/** Interval in milliseconds in which an instance that is no reader looks whether it has become one. */
const roleIntervalMs = 250;
/** Time in milliseconds for which a read may be silent while a peer is known to be ahead. */
const behindMs = 400;

function sizeOf(records: readonly KeyedRecord[]): number {
    return records.reduce((sum, { value }) => sum + (value?.length ?? 0), 0);
}

/** Creates a follower; it reads the newest records first. */
export function createStreamFollower(options: StreamFollowerOptions): StreamFollower {
    const { store, stream, clock, log } = options;
    const times = createReadTimes({ random: options.random, pauseMs: options.pauseMs });
    const roleOf = options.role ?? (() => readerRole.first);
    let nextOffset = -1;
    let answeredAt = -Infinity;
    let endConfirmedAt = -Infinity;
    let confirmedAt = -Infinity;
    let pollAfterMs = maxPollAfterMs;
    let failures = 0;
    let call: StoreCall | undefined;
    let doubted: StoreCall | undefined;
    let fetchPending = false;
    /** Time at which this instance first heard of records that it lacks. */
    let behindSince: number | undefined;

    function drawWaitMs(): number {
        return failures > 0 ? 0 : times.waitMs(options.role?.(), options.peers());
    }

    async function step(signal: AbortSignal): Promise<StoreFailure | undefined> {
        const calledAt = clock.now();
        const current = createStoreCall(clock);
        call = current;
        const stop = () => current.abort();
        signal.addEventListener("abort", stop, { once: true });
        const from = nextOffset;
        const isWhole = from < 0;
        const result = isWhole
            ? await store.newest(stream, current.signal)
            : await store.read(stream, from, drawWaitMs(), current.signal, current.received);
        signal.removeEventListener("abort", stop);
        call = undefined;
        if (result.isErr()) {
            return result.error;
        }
        noteAnswer(calledAt);
        const batch = unappliedPart(result.value, from);
        if (batch === undefined) {
            // Another instance's records came first; what follows them is read next.
            log.belief("read_overtaken", { stream, from, applied: nextOffset, to: result.value.nextOffset });
            if (result.value.nextOffset <= nextOffset) {
                endConfirmedAt = answeredAt;
            }
            return undefined;
        }
        confirmedAt = answeredAt;
        endConfirmedAt = answeredAt;
        pollAfterMs = times.pollAfterMs(options.peers());
        const appliedTo = nextOffset;
        applyBatch(batch, isWhole, "store");
        if (!isWhole && nextOffset > appliedTo) {
            options.readRecords?.(appliedTo, batch);
        }
        if (roleOf() !== readerRole.domain) {
            options.confirmed?.();
        }
        return undefined;
    }

    function noteAnswer(calledAt: number): void {
        answeredAt = clock.now();
        if (failures > 0) {
            log.lifecycle("dependency_regained", { dependency: "store", stream, failures });
            failures = 0;
        }
        options.answered?.(calledAt);
    }

    /**
     * Returns what an answer to a read from an offset holds beyond the records that came from another instance meanwhile; undefined when
     * nothing is left, or when the offsets of its records are not known.
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

    function applyBatch({ records, nextOffset: next }: RecordBatch, isWhole: boolean, source: string): void {
        if (records.length > 0 || isWhole) {
            log.belief("records_applied", {
                stream,
                source,
                records: records.length,
                bytes: sizeOf(records),
                from: nextOffset,
                to: next,
                behindMs: behindSince === undefined ? undefined : Math.round(clock.now() - behindSince),
            });
            behindSince = undefined;
            options.apply(records, isWhole, source);
        }
        nextOffset = next;
    }

    /** Notes that records did not arrive in the time in which others hand them on. */
    function noteMissing(): void {
        const waitedMs = behindSince === undefined ? 0 : Math.round(clock.now() - behindSince);
        log.belief("records_missing", { stream, applied: nextOffset, waitedMs, ...call?.describe() });
    }

    /** Returns the time in milliseconds for which this instance need not call the store. */
    function msUntilCall(): number {
        const isIdle = nextOffset >= 0 && failures === 0 && roleOf() === readerRole.none;
        return isIdle ? Math.max(0, confirmedAt + pollAfterMs - clock.now()) : 0;
    }

    function noteFailure(failure: StoreFailure): void {
        if (failure.code === storeProblem.expired) {
            log.belief("records_expired", { stream, offset: nextOffset });
            nextOffset = -1;
            return;
        }
        failures += 1;
        if (failures === 1) {
            log.lifecycle("dependency_lost", { dependency: "store", stream, code: failure.code, why: failure.message });
        }
    }

    /** Replaces a read of which nothing has arrived for a while; an answer that is on its way may take longer. */
    async function replaceWhenSilent(doubtful: StoreCall): Promise<void> {
        doubted = doubtful;
        let silentMs = 0;
        while (call === doubtful && silentMs < behindMs) {
            await clock.sleep(behindMs - silentMs);
            silentMs = Math.min(behindMs, doubtful.silentMs());
        }
        if (call === doubtful) {
            log.belief("read_replaced", { stream, applied: nextOffset, silentMs: behindMs, ...doubtful.describe() });
            doubtful.abort();
        }
    }

    /** Fetches the records that this instance lacks when they have not been pushed within a drawn time. */
    async function fetchIfStillBehind(): Promise<void> {
        if (fetchPending) {
            return;
        }
        fetchPending = true;
        const behindAt = nextOffset;
        await clock.sleep(behindMs * (0.5 + 0.5 * options.random()));
        if (nextOffset === behindAt) {
            noteMissing();
            if (call === undefined) {
                await options.fetchMissing?.();
            }
        }
        if (nextOffset === behindAt) {
            confirmedAt = -Infinity;
        }
        fetchPending = false;
    }

    return {
        async run(signal) {
            while (!signal.aborted) {
                const idleMs = msUntilCall();
                if (idleMs > 0) {
                    await clock.sleep(Math.min(idleMs, roleIntervalMs), signal);
                    continue;
                }
                const before = nextOffset;
                const failure = await step(signal);
                const hasRead = nextOffset !== before;
                if (signal.aborted) {
                    return;
                }
                if (failure !== undefined) {
                    noteFailure(failure);
                }
                if (failures > 0 || hasRead) {
                    await clock.sleep(times.pauseMs(failures), signal);
                }
            }
        },
        confirmEnd(endOffset, at) {
            if (endOffset <= nextOffset) {
                confirmedAt = Math.max(confirmedAt, at);
            }
        },
        applyFrom(from, batch) {
            if (nextOffset < 0 || from !== nextOffset || batch.nextOffset <= from) {
                return false;
            }
            applyBatch(batch, false, "peer");
            return true;
        },
        applyCopy(batch) {
            if (batch.nextOffset <= nextOffset) {
                return false;
            }
            applyBatch(batch, true, "peer");
            return true;
        },
        nudge() {
            if (nextOffset < 0) {
                return;
            }
            behindSince ??= clock.now();
            if (call === undefined) {
                void fetchIfStillBehind();
            }
            else if (call !== doubted) {
                void replaceWhenSilent(call);
            }
        },
        get isFailing() {
            return failures > 0 || answeredAt === -Infinity;
        },
        get nextOffset() {
            return nextOffset;
        },
        get answeredAt() {
            return answeredAt;
        },
        get endConfirmedAt() {
            return endConfirmedAt;
        },
    };
}
