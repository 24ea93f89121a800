import { createSettledStore, stream } from "@trefoilladder/replication";
import type { RecordStore } from "@trefoilladder/replication";

/** Returns a client of the store whose calls all fail in the given way. */
function failingStore(fail: () => Promise<never>): RecordStore {
    return { newest: fail, read: fail, put: fail, close: () => undefined };
}

const failures: Record<string, () => Promise<never>> = {
    throws: () => {
        throw new TypeError("invalid path");
    },
    rejects: () => Promise.reject(new TypeError("invalid path")),
    "rejects without an error": () => Promise.reject("invalid path"),
};

describe("a settled store", () => {
    // Guards against a rejection that ends the process, since the followers of the streams expect a result (review/7).
    test.each(Object.keys(failures))("returns a failure when the client %s", async name => {
        const store = createSettledStore(failingStore(failures[name]!));
        const { signal } = new AbortController();
        const results = [
            await store.newest(stream.targets, signal),
            await store.read(stream.targets, 0, 0, signal),
            await store.put(stream.instances, { key: "a", value: undefined }, signal),
        ];
        for (const result of results) {
            const failure = result._unsafeUnwrapErr();
            expect([failure.code, failure.message]).toEqual(["unanswered", expect.stringContaining("invalid path")]);
        }
    });
});
