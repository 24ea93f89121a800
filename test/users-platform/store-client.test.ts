import { stream } from "@trefoilladder/replication";
import type { RecordStore } from "@trefoilladder/replication";
import { createStoreClient } from "../../platform/src/store-client";
import { startStoreStandIn } from "./store-stand-in";
import type { StoreStandIn } from "./store-stand-in";

let standIn: StoreStandIn;
let client: RecordStore;
let stopping: AbortController;

beforeEach(async () => {
    standIn = await startStoreStandIn();
    client = createStoreClient(standIn.address);
    stopping = new AbortController();
});

afterEach(async () => {
    stopping.abort();
    client.close();
    await standIn.close();
});

function put(key: string, value: string | undefined) {
    const record = { key, value: value === undefined ? undefined : Buffer.from(value) };
    return client.put(stream.instances, record, stopping.signal);
}

describe("client of the platform's store", () => {
    test("reads only the newest record of each key", async () => {
        for (const [key, value] of [["a", "1"], ["b", "2"], ["c", "3"], ["a", "4"], ["b", undefined]] as const) {
            await put(key, value);
        }
        const { records, nextOffset } = (await client.newest(stream.instances, stopping.signal))._unsafeUnwrap();
        expect(records.map(({ key, value }) => `${key}${String(value)}`)).toEqual(["a4", "c3"]);
        expect(nextOffset).toBe(5);
        expect(standIn.calls.filter(call => call.startsWith("/api/log-newest"))).toHaveLength(1);
    });

    test("reads further pages while there are more", async () => {
        for (const key of ["a", "b", "c", "d", "e"]) {
            await put(key, "1");
        }
        const { records } = (await client.newest(stream.instances, stopping.signal))._unsafeUnwrap();
        expect(records.map(({ key }) => key)).toEqual(["a", "b", "c", "d", "e"]);
    });

    // Guards against an entry of another writer at the end of a page whose key is not valid in a URL, so that the call threw and the
    // process ended (review/7), or whose key has a meaning in a query, so that the next page began elsewhere.
    test.each([
        "a ",
        "b c",
        "b&c",
        "b#c",
        "b%7a",
        "b+c",
        "b=c",
        "b/c?d",
        "b\u0000c",
        "b\r\nc",
        "a\u00e9",
        "a\u{1f600}",
        "a\ufffd",
    ])(
        "continues after the key %j at the end of a page",
        async oddKey => {
            const keys = ["a", oddKey, "bc", "d", "e"];
            for (const key of keys) {
                await put(key, "1");
            }
            const { records } = (await client.newest(stream.instances, stopping.signal))._unsafeUnwrap();
            expect(new Set(records.map(({ key }) => key))).toEqual(new Set(keys));
        },
    );

    // Guards against a page that begins behind records that were not read: the bytes of such a key cannot be sent back.
    test("continues after a key whose bytes are not UTF-8", async () => {
        standIn.append("keyed.trefoilladder-instances", Buffer.from([0, 0, 0, 4, 2, 0x62, 0xff, 0x31]));
        for (const key of ["a", "c", "d"]) {
            await put(key, "1");
        }
        const { records } = (await client.newest(stream.instances, stopping.signal))._unsafeUnwrap();
        expect(new Set(records.map(({ key }) => key))).toEqual(new Set(["a", "b\ufffd", "c", "d"]));
    });

    // Guards against a snapshot without the records of further pages, which would count as deleted.
    test("fails when a page has no key to continue after", async () => {
        standIn.page = { items: [7, { Value: "MQ==" }], HasMore: true, EndOffset: 9 };
        expect((await client.newest(stream.instances, stopping.signal))._unsafeUnwrapErr().code).toBe("malformed");
    });

    // Guards against a loop without end over pages that do not advance.
    test("fails when pages repeat", async () => {
        standIn.page = { items: [{ Key: "a", Value: "MQ==", Offset: 0 }], HasMore: true, EndOffset: 9 };
        expect((await client.newest(stream.instances, stopping.signal))._unsafeUnwrapErr().code).toBe("malformed");
    });

    // Guards against records that are lost because one item beside them, or its value, is malformed.
    test("skips malformed items of a page", async () => {
        const items = [7, null, { Key: 1, Value: "MQ==" }, { Key: "a", Value: "MQ==" }, { Key: "b", Value: 5 }];
        standIn.page = { items, HasMore: false, EndOffset: 9 };
        const { records } = (await client.newest(stream.instances, stopping.signal))._unsafeUnwrap();
        expect(records).toEqual([{ key: "a", value: Buffer.from("1") }]);
    });

    test("waits for the next record, deleted keys included", async () => {
        await put("a", "1");
        const reading = client.read(stream.instances, 1, 5_000, stopping.signal);
        await put("a", undefined);
        expect((await reading)._unsafeUnwrap())
            .toEqual({ records: [{ key: "a", value: undefined }], nextOffset: 2, era: 1 });
    });

    // Guards against a restore that is not noticed because only successful responses are examined.
    test("reads the era from each response, errors included", async () => {
        standIn.era = 7;
        expect((await put("a", "1"))._unsafeUnwrap().era).toBe(7);
        expect((await client.newest(stream.instances, stopping.signal))._unsafeUnwrap().era).toBe(7);
        expect((await client.read(stream.instances, 0, 0, stopping.signal))._unsafeUnwrap().era).toBe(7);
        expect((await client.read(stream.instances, 5, 0, stopping.signal))._unsafeUnwrapErr().era).toBe(7);
        standIn.fault = 503;
        expect((await put("a", "1"))._unsafeUnwrapErr().era).toBe(7);
    });

    test.each([undefined, "", "-1", "1.5", "new", "1e3"])("has no era for the header %p", async era => {
        standIn.era = era;
        expect((await client.read(stream.instances, 0, 0, stopping.signal))._unsafeUnwrap().era).toBeUndefined();
    });

    // Guards against a snapshot that consists of pages of two eras and lacks records of both.
    test("fails when the store is restored between two pages", async () => {
        for (const key of ["a", "b", "c"]) {
            await put(key, "1");
        }
        const copy = standIn.copy();
        const reading = client.newest(stream.instances, stopping.signal);
        while (!standIn.calls.some(path => path.startsWith("/api/log-newest"))) {
            await new Promise(resolve => setImmediate(resolve));
        }
        standIn.restore(copy);
        const failure = (await reading)._unsafeUnwrapErr();
        expect([failure.code, failure.era]).toEqual(["expired", 2]);
    });

    // Guards against a long poll that stays open over a restore and returns nothing of the new era.
    test("returns a waiting read with the new era when the store is restored", async () => {
        const copy = standIn.copy();
        await put("a", "1");
        const reading = client.read(stream.instances, 1, 5_000, stopping.signal);
        while (!standIn.calls.some(path => path.startsWith("/api/log-read"))) {
            await new Promise(resolve => setImmediate(resolve));
        }
        standIn.restore(copy);
        const failure = (await reading)._unsafeUnwrapErr();
        expect([failure.code, failure.era]).toEqual(["expired", 2]);
    });

    test.each([[410, "expired"], [503, "refused"], [429, "refused"]])(
        "maps status %d to the code %s",
        async (fault, code) => {
            standIn.fault = fault;
            expect((await client.read(stream.instances, 0, 0, stopping.signal))._unsafeUnwrapErr().code).toBe(code);
        },
    );

    // Guards against a call that never ends because the connection to the store stays silent.
    test("fails an idle call after its timeout", async () => {
        standIn.fault = "silent";
        expect((await put("a", "1"))._unsafeUnwrapErr().code).toBe("unanswered");
    });

    // Guards against the late configuration of incident inc1: a large record on a slow link takes longer than the idle timeout.
    test("reads a response to its end while parts of it arrive", async () => {
        await put("a", "x".repeat(100_000));
        standIn.transferMs = 2_000;
        const parts: number[] = [];
        const read = await client.read(stream.instances, 0, 0, stopping.signal, bytes => parts.push(bytes));
        expect(read._unsafeUnwrap().records[0]!.value).toHaveLength(100_000);
        expect(parts.length).toBeGreaterThan(1);
    });

    test("fails when a response stalls", async () => {
        await put("a", "x".repeat(100_000));
        standIn.transferMs = "stalled";
        expect((await client.read(stream.instances, 0, 0, stopping.signal))._unsafeUnwrapErr().code).toBe("unanswered");
    });

    test("ends a call when its signal is aborted", async () => {
        const reading = client.read(stream.instances, 0, 20_000, stopping.signal);
        stopping.abort();
        expect((await reading)._unsafeUnwrapErr().code).toBe("unanswered");
    });
});
