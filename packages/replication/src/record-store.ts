import { Failure } from "@trefoilladder/failures";
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
} as const;

/** A call to the store that returned no usable response. */
export class StoreFailure extends Failure<typeof storeProblem[keyof typeof storeProblem]> {}

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
    put(stream: Stream, record: KeyedRecord, signal: AbortSignal): Promise<Result<void, StoreFailure>>;
    close(): void;
}
