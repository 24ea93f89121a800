import { err } from "neverthrow";
import type { Result } from "neverthrow";
import { StoreFailure } from "./record-store";
import type { RecordStore } from "./record-store";

async function settle<T>(call: () => Promise<Result<T, StoreFailure>>): Promise<Result<T, StoreFailure>> {
    try {
        return await call();
    }
    catch (error) {
        const cause = error instanceof Error ? error : new Error(String(error));
        return err(new StoreFailure("unanswered", `the call to the store failed: ${cause.message}`, { cause }));
    }
}

/** Wraps a client of the store so that a call that throws or rejects returns a failure with the code `unanswered`. */
export function createSettledStore(store: RecordStore): RecordStore {
    return {
        newest: (name, signal) => settle(() => store.newest(name, signal)),
        read: (name, offset, waitMs, signal, received) =>
            settle(() => store.read(name, offset, waitMs, signal, received)),
        put: (name, record, signal) => settle(() => store.put(name, record, signal)),
        close: () => store.close(),
    };
}
