import { Failure } from "@trefoilladder/failures";
import type { Result } from "neverthrow";

/** Streams of the platform's store in which the newest record of each key is kept. */
export const stream = {
    /** The operator's configuration, in full under one key. */
    configuration: "configuration",
    /** What targets say of themselves, by target id. */
    targets: "targets",
    /** Addresses of this system's instances. */
    instances: "instances",
} as const;

/** One of the streams. */
export type Stream = typeof stream[keyof typeof stream];

/** The newest record of a key; without a value the key was dropped. */
export interface KeyedRecord {
    key: string;
    value: Buffer | undefined;
}

/** Records of a stream, up to the offset at which the next read begins. */
export interface RecordBatch {
    records: KeyedRecord[];
    nextOffset: number;
}

/** Why a call to the store gave no answer. */
export const storeProblem = {
    /** The records were deleted; the newest ones have to be read anew. */
    expired: "expired",
    /** The store refused the call and did nothing. */
    refused: "refused",
    /** No answer; the call may have been executed. */
    unanswered: "unanswered",
    /** The answer could not be read. */
    malformed: "malformed",
} as const;

/** A call to the store without an answer to use. */
export class StoreFailure extends Failure<typeof storeProblem[keyof typeof storeProblem]> {}

/** The platform's store as this system uses it. */
export interface RecordStore {
    /** Returns the newest record of each key. Records written meanwhile come again with the following read. */
    newest(stream: Stream, signal: AbortSignal): Promise<Result<RecordBatch, StoreFailure>>;
    /** Waits up to `waitMs` for records from an offset on; `received` is called with the size in bytes of each part of the answer. */
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
