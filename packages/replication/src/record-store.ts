import { Failure } from "@trefoilladder/failures";
import type { FailureInfo } from "@trefoilladder/failures";
import type { Result } from "neverthrow";

/** Streams of the platform's store, which keeps the newest record of each key. */
export const stream = {
    /** The operator's configuration, complete in one record. */
    configuration: "configuration",
    /** State that targets publish, by target id. */
    targets: "targets",
    /** Addresses of the instances of this system. */
    instances: "instances",
} as const;

/** One of the streams. */
export type Stream = typeof stream[keyof typeof stream];

/** The newest record of a key; `value` is undefined when the key was deleted. */
export interface KeyedRecord {
    key: string;
    value: Buffer | undefined;
}

/** Records of a stream, up to the offset at which the next read starts. */
export interface RecordBatch {
    records: KeyedRecord[];
    nextOffset: number;
    /** Era of the offsets; undefined when the store reports none. */
    era?: number | undefined;
}

/** Acknowledgement of a write. */
export interface Acknowledgement {
    /** Era in which the record was written; undefined when the store reports none. */
    era?: number | undefined;
}

/** Why a call to the store returned no result. */
export const storeProblem = {
    /** The store no longer has the records; read the newest ones instead. */
    expired: "expired",
    /** The store rejected the call and did not execute it. */
    refused: "refused",
    /** No response; the call may have been executed. */
    unanswered: "unanswered",
    /** The response could not be decoded. */
    malformed: "malformed",
    /** The response is of an older era than the newest one known. */
    outdated: "outdated",
} as const;

/** A call to the store that returned no usable response. */
export class StoreFailure extends Failure<typeof storeProblem[keyof typeof storeProblem]> {
    /** Era in the response; undefined without a response or when the store reports none. */
    readonly era: number | undefined;

    constructor(
        code: typeof storeProblem[keyof typeof storeProblem],
        message: string,
        options: { cause?: Error; info?: FailureInfo; era?: number | undefined; } = {},
    ) {
        super(code, message, options);
        this.era = options.era;
    }
}

/** Client of the platform's store. */
export interface RecordStore {
    /** Returns the newest record of each key. The next read repeats records that are written during the call. */
    newest(stream: Stream, signal: AbortSignal): Promise<Result<RecordBatch, StoreFailure>>;
    /** Waits up to `waitMs` for records at or after an offset; calls `received` with the size in bytes of each part of the response. */
    read(
        stream: Stream,
        offset: number,
        waitMs: number,
        signal: AbortSignal,
        received?: (bytes: number) => void,
    ): Promise<Result<RecordBatch, StoreFailure>>;
    /** Writes the newest record of a key. */
    put(stream: Stream, record: KeyedRecord, signal: AbortSignal): Promise<Result<Acknowledgement, StoreFailure>>;
    close(): void;
}
