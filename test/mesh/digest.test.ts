import { encode } from "@msgpack/msgpack";
import {
    createPeers,
    decodeBundle,
    decodeDigest,
    decodePushedRecords,
    encodeBundles,
    encodeDigest,
    encodePushedRecords,
    forwardableText,
    markForForwarding,
} from "@trefoilladder/mesh";
import type { Digest, PushedRecords } from "@trefoilladder/mesh";
import fc from "fast-check";
import { randomBytes } from "node:crypto";
import { deflateRawSync } from "node:zlib";

const digest: Digest = {
    sender: "10.0.0.1:7660/a1",
    leaving: false,
    probe: true,
    configurationVersion: 12,
    targetsOffset: 40,
    targets: [{ target: "t-1", outcomes: [["failure", 2]], load: [3, 0, 6] }, {
        target: "t-2",
        outcomes: [],
        load: undefined,
    }],
    admitted: [["laurel", 17, 2]],
    retries: [["dossier", -3.5, 0.5]],
    instances: ["10.0.0.2:7660"],
    domain: "a",
    targetsAgeMs: 250,
    storeOutageEndAgeMs: 1_700,
    configurationOffset: 4,
    configurationAgeMs: 90,
    linkMbps: 200,
    sequence: 31,
    uptimeMs: 61_000,
    storeEra: 2,
    storeEraAgeMs: 4_000,
};

describe("digest", () => {
    test("decodes to what was encoded", () => {
        expect(decodeDigest(encodeDigest(digest))._unsafeUnwrap()).toEqual(digest);
    });

    // Guards against a split of the mesh during a rolling upgrade, when older instances send fewer fields.
    test("is accepted from an instance of an earlier version that sends fewer fields", () => {
        const fields = JSON.parse(encodeDigest(digest).toString()) as unknown[];
        const older = decodeDigest(Buffer.from(JSON.stringify(fields.slice(0, -11))))._unsafeUnwrap();
        const defaults = {
            retries: [],
            domain: "",
            targetsAgeMs: -1,
            configurationOffset: 0,
            configurationAgeMs: -1,
            linkMbps: 0,
            sequence: 0,
            uptimeMs: -1,
            storeEra: -1,
            storeEraAgeMs: -1,
            storeOutageEndAgeMs: -1,
        };
        expect(older).toEqual({ ...digest, ...defaults });
    });

    // Guards against a split of the mesh by an instance that sends totals without their increments.
    test("is accepted when totals lack their increments", () => {
        const fields = JSON.parse(encodeDigest(digest).toString()) as unknown[];
        fields[7] = [["laurel", 17]];
        fields[9] = [["dossier", -3.5]];
        const older = decodeDigest(Buffer.from(JSON.stringify(fields)))._unsafeUnwrap();
        expect(older).toEqual({ ...digest, admitted: [["laurel", 17, 0]], retries: [["dossier", -3.5, 0]] });
    });

    // Any process can send a datagram to the port; none may crash this one.
    test("is rejected when a datagram holds anything else", () => {
        fc.assert(
            fc.property(fc.uint8Array({ maxLength: 200 }), bytes => decodeDigest(Buffer.from(bytes)).isErr()),
            { seed: 20_261_204, numRuns: 500 },
        );
        fc.assert(
            fc.property(fc.json(), text => decodeDigest(Buffer.from(text)).isErr()),
            { seed: 20_261_204, numRuns: 500 },
        );
        const valid = encodeDigest(digest);
        for (let length = 0; length < valid.length; length++) {
            expect(decodeDigest(valid.subarray(0, length)).isErr()).toBe(true);
        }
    });
});

describe("a digest to forward", () => {
    // Guards against digests that two relays forward to each other in an endless loop.
    test("decodes to the same digest, and is forwarded once", () => {
        const toForward = markForForwarding(encodeDigest(digest));
        expect(decodeDigest(toForward)._unsafeUnwrap()).toEqual(digest);
        const forwarded = Buffer.from(forwardableText(toForward)!);
        expect(decodeDigest(forwarded)._unsafeUnwrap()).toEqual(digest);
        expect(forwardableText(forwarded)).toBeUndefined();
    });
});

describe("a bundle of digests", () => {
    const texts = Array.from(
        { length: 200 },
        (_, index) => encodeDigest({ ...digest, targetsOffset: index }).toString(),
    );
    const digestsOf = (datagrams: readonly Buffer[]) =>
        datagrams.flatMap(datagram => decodeBundle(datagram)?.digests ?? []);

    test("decodes to what was encoded, also when it needs several datagrams", () => {
        const datagrams = encodeBundles(texts, false);
        expect(datagrams.length).toBeGreaterThan(1);
        expect(digestsOf(datagrams).map(({ targetsOffset }) => targetsOffset)).toEqual(texts.map((_, index) => index));
        expect(decodeBundle(datagrams[0]!)!.forward).toBe(false);
    });

    test("can be forwarded as received", () => {
        const received = decodeBundle(encodeBundles(texts.slice(0, 3), true)[0]!)!;
        expect(received.forward).toBe(true);
        expect(digestsOf(encodeBundles([received.text, texts[3]!], false))).toHaveLength(4);
    });

    // Any process can send a datagram to the port; none may crash this one.
    test("is not decoded from a datagram that holds anything else", () => {
        const valid = encodeBundles(texts.slice(0, 2), false)[0]!;
        for (let length = 0; length < valid.length; length++) {
            expect(decodeBundle(valid.subarray(0, length))).toBeUndefined();
        }
        fc.assert(
            fc.property(fc.uint8Array({ maxLength: 200 }), bytes => decodeBundle(bytes) === undefined),
            { seed: 20_261_204, numRuns: 500 },
        );
        expect(decodeBundle(encodeBundles(["[1,2]", texts[0]!], false)[0]!)).toMatchObject({ malformedCount: 1 });
    });
});

describe("pushed records", () => {
    const pushed: PushedRecords = {
        stream: "targets",
        from: 7,
        nextOffset: 9,
        records: [["t-1", Buffer.from("v")], ["t-2", null]],
        era: 2,
    };

    test("decode to what was encoded, and are not a digest", () => {
        const bytes = encodePushedRecords(pushed)!;
        const { records, ...offsets } = decodePushedRecords(bytes)!;
        expect(offsets).toEqual({ stream: "targets", from: 7, nextOffset: 9, era: 2 });
        expect(records.map(([key, value]) => [key, value === null ? null : Buffer.from(value).toString()]))
            .toEqual([["t-1", "v"], ["t-2", null]]);
        expect(decodeDigest(Buffer.from(bytes)).isErr()).toBe(true);
        expect(decodePushedRecords(encodeDigest(digest))).toBeUndefined();
    });

    // Guards against a split of the fleet during a rolling upgrade: earlier versions send no era.
    test("have no known era when their sender is of an earlier version", () => {
        const older = encode([102, "targets", 7, 7, deflateRawSync(encode([]))]);
        expect(decodePushedRecords(older)).toEqual({ stream: "targets", from: 7, nextOffset: 7, records: [], era: -1 });
    });

    test("are not encoded when they do not fit in a datagram", () => {
        const records: PushedRecords["records"] = [["t-1", randomBytes(20_000)]];
        expect(encodePushedRecords({ ...pushed, records })).toBeUndefined();
    });

    // Guards against a configuration that each instance must read from the store because its text is 25 KB long.
    test("fit in a datagram when they are compressible text", () => {
        const lines = Array.from(
            { length: 250 },
            (_, index) => `{"ResourceType":"Routes","Name":"r-${index * 7_919}"}`,
        );
        const records: PushedRecords["records"] = [["configuration", Buffer.from(lines.join(",").repeat(2))]];
        const bytes = encodePushedRecords({ ...pushed, records })!;
        expect(Buffer.from(decodePushedRecords(bytes)!.records[0]![1]!)).toEqual(records[0]![1]);
    });

    test("are not decoded from a datagram that holds anything else", () => {
        const valid = encodePushedRecords(pushed)!;
        for (let length = 0; length < valid.length; length++) {
            expect(decodePushedRecords(valid.subarray(0, length))).toBeUndefined();
        }
        fc.assert(
            fc.property(fc.uint8Array({ maxLength: 200 }), bytes => decodePushedRecords(bytes) === undefined),
            { seed: 20_261_204, numRuns: 500 },
        );
    });
});

describe("peers", () => {
    test("counts silent instances, which may still admit requests behind a partition", () => {
        const peers = createPeers("10.0.0.1:1");
        peers.recordDigest("10.0.0.2:1", "a", 0);
        peers.recordDigest("10.0.0.3:1", "a", 0);
        expect(peers.contactShare(1_000)).toBe(1);
        peers.recordDigest("10.0.0.2:1", "a", 10_000);
        expect(peers.contactShare(10_500)).toBeCloseTo(2 / 3);
        expect(peers.contactShare(10_000 + 59_000)).toBeCloseTo(1 / 2);
        expect(peers.contactShare(10_000 + 61_000)).toBe(1);
    });

    test("no longer counts an instance that announced its departure", () => {
        const peers = createPeers("10.0.0.1:1");
        peers.recordDigest("10.0.0.2:1", "a", 0);
        peers.remove("10.0.0.2:1", "a");
        expect(peers.contactShare(5_000)).toBe(1);
    });

    // Guards against relays that are not selected between two digests, 0.6 s apart in large fleets, although they send bundles.
    test("records each datagram as contact with its sender", () => {
        const peers = createPeers("10.0.0.1:1");
        const peer = peers.recordDigest("10.0.0.2:1", "a", 0)!;
        peers.recordDatagram("10.0.0.2:1", 650);
        peers.recordDatagram("10.0.0.9:1", 650);
        expect(peer).toMatchObject({ lastDigestAt: 0, lastSeenAt: 650 });
        expect(peers.addresses()).toEqual(["10.0.0.2:1"]);
    });

    // Guards against a digest that was delayed at a relay and re-adds an instance that has left.
    test("accepts digests of an instance that has left only after its restart", () => {
        const peers = createPeers("10.0.0.1:1");
        peers.recordDigest("10.0.0.2:1", "a", 0);
        peers.remove("10.0.0.2:1", "a");
        expect(peers.recordDigest("10.0.0.2:1", "a", 50)).toBeUndefined();
        expect(peers.contactShare(50)).toBe(1);
        expect(peers.recordDigest("10.0.0.2:1", "b", 900)).toMatchObject({ incarnation: "b" });
    });

    test("probes instances that were discovered but sent no digest, and not itself", () => {
        const peers = createPeers("10.0.0.1:1");
        peers.discover("10.0.0.1:1", 0);
        peers.discover("10.0.0.2:1", 0);
        expect(peers.dueForProbe(0).map(({ address }) => address)).toEqual(["10.0.0.2:1"]);
        expect(peers.dueForProbe(100)).toEqual([]);
        expect(peers.dueForProbe(2_100)).toHaveLength(1);
    });
});
