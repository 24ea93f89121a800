import { decodeConfiguration, decodeVersion } from "../../platform/src/configuration-codec";
import { decodeReadResponse, encodeRecord } from "../../platform/src/record-codec";
import { decodeTarget } from "../../platform/src/target-codec";

function resource(type: string, name: string, spec: object): object {
    return { ResourceType: type, Metadata: { Name: name }, Spec: spec };
}

const routeSpec = {
    Host: "h.example",
    PathPrefix: "/a/",
    Type: "unsafe",
    TimeoutMs: 2_000,
    TargetLatencyMs: 900,
    Priority: 1,
    Service: "s",
    MaxAttempts: 2,
    Public: false,
};

function document(resources: readonly object[], version = "r12"): Buffer {
    return Buffer.from(JSON.stringify({ Version: version, Resources: resources }));
}

describe("configuration of the platform", () => {
    test("decodes to routes, services, organisations and limits", () => {
        const split = [{ Service: "s", Weight: 90 }, { Service: "t", Weight: 10 }];
        const decoded = decodeConfiguration(document([
            resource("Routes", "r", routeSpec),
            resource("Routes", "q", {
                ...routeSpec,
                Type: "download",
                Service: undefined,
                TrafficSplit: split,
                Public: true,
            }),
            resource("Services", "s", { HealthCheckPath: "/health", MaxConnections: 360 }),
            resource("Tenants", "o", { ApiKeys: ["k"], Priority: 0, RatePerS: 45, Burst: 50 }),
            resource("Limits", "", { MaxHeaderBytes: 1, MaxBodyBytes: 2, HeaderTimeoutMs: 3, IdleTimeoutMs: 4 }),
            resource("Later", "x", {}),
            resource("constructor", "y", {}),
        ]))._unsafeUnwrap();
        expect(decoded.version).toBe(12);
        expect(decoded.routes[0]).toMatchObject({
            idempotent: false,
            allowsAnonymous: false,
            services: [{ service: "s", weight: 1 }],
        });
        expect(decoded.routes[1]).toMatchObject({ idempotent: true, largeResponses: true, allowsAnonymous: true });
        expect(decoded.routes[1]!.services).toEqual([{ service: "s", weight: 90 }, { service: "t", weight: 10 }]);
        expect(decoded.organisations).toEqual([{ name: "o", keys: ["k"], priority: 0, ratePerSecond: 45, burst: 50 }]);
        expect(decoded.limits).toEqual({ maxHeaderBytes: 1, maxBodyBytes: 2, headerTimeoutMs: 3, idleTimeoutMs: 4 });
    });

    // Guards against a bound on cold targets that is lost on the way, and against one in other services.
    test("decodes the cold start of services, which is absent by default", () => {
        const decoded = decodeConfiguration(document([
            resource("Services", "s", { ColdStartS: 45, ColdPerS: 4.7 }),
            resource("Services", "t", { ColdStartS: null, ColdPerS: 0 }),
            resource("Services", "u", {}),
        ]))._unsafeUnwrap();
        expect(decoded.services).toMatchObject([{ coldStartMs: 45_000, coldPerSecond: 4.7 }, {}, {}]);
        for (const service of decoded.services.slice(1)) {
            expect(service).toMatchObject({ coldStartMs: 0, coldPerSecond: undefined });
        }
        expect(decodeConfiguration(document([resource("Services", "s", { ColdPerS: "4" })])).isErr()).toBe(true);
    });

    // Guards against a restriction to regions that is lost on the way, and against one that nobody ordered.
    test("decodes the allowed regions of routes and organisations", () => {
        const regions = { AllowedRegions: ["west", "east"] };
        const decoded = decodeConfiguration(document([
            resource("Routes", "r", { ...routeSpec, ...regions }),
            resource("Routes", "q", { ...routeSpec, AllowedRegions: null }),
            resource("Tenants", "o", regions),
            resource("Tenants", "p", { AllowedRegions: [] }),
        ]))._unsafeUnwrap();
        expect(decoded.routes.map(({ allowedRegions }) => allowedRegions)).toEqual([["west", "east"], undefined]);
        expect(decoded.organisations.map(({ allowedRegions }) => allowedRegions)).toEqual([
            ["west", "east"],
            undefined,
        ]);
        expect(decodeConfiguration(document([resource("Tenants", "o", { AllowedRegions: "west" })])).isErr()).toBe(
            true,
        );
    });

    test.each([["no JSON", Buffer.from("{")], ["an array", Buffer.from("[]")], ["no version", document([], "12")]])(
        "is rejected with %s",
        (_, bytes) => {
            expect(decodeConfiguration(bytes).isErr()).toBe(true);
        },
    );

    test("has versions that compare as numbers", () => {
        expect(decodeVersion("r9")._unsafeUnwrap()).toBeLessThan(decodeVersion("r12")._unsafeUnwrap());
    });
});

describe("record of a target", () => {
    const entry = {
        Service: "s",
        Address: "10.0.0.9:8080",
        Zone: "z",
        Version: "v1",
        Slots: 6,
        State: "ready",
        ColdRemainingMs: 0,
        Sequence: 4,
        born: 1_700,
    };

    test("decodes to a target record", () => {
        expect(decodeTarget("i-1", Buffer.from(JSON.stringify(entry)))._unsafeUnwrap()).toEqual({
            id: "i-1",
            service: "s",
            address: "10.0.0.9",
            port: 8_080,
            domain: "z",
            slots: 6,
            draining: false,
            coldMs: 0,
            startedAt: 1_700,
            sequence: 4,
        });
    });

    // Other writers may leave invalid records, which must neither be used nor affect the valid ones.
    test.each([
        ["a missing field", { Slots: undefined }],
        ["a field of another type", { Sequence: "4" }],
        // Such an entry at the address of a target that started earlier would take it out of use.
        ["no version", { Version: undefined }],
        ["a version of another type", { Version: 3 }],
        ["an unknown state", { State: "resting" }],
        ["an address without a port", { Address: "10.0.0.9" }],
        // Connecting to such a port throws synchronously, which ended the process when it happened after a failed attempt.
        ["a port out of range", { Address: "10.0.0.9:70000" }],
        ["text after the port", { Address: "10.0.0.9:8080:1" }],
        ["port 0", { Address: "10.0.0.9:0" }],
        ["an address out of range", { Address: "10.0.0.999:8080" }],
        ["a state that is a property of every object", { State: "constructor" }],
        ["a number of slots beyond the safe integers", { Slots: 1e300 }],
        ["a fractional number of slots", { Slots: 0.5 }],
        ["a sequence beyond the safe integers", { Sequence: 2 ** 60 }],
        ["an endless cold start", { ColdRemainingMs: 1e300 }],
        // The live target at the same address would be ignored as an older incarnation.
        ["a start in the far future", { born: 1e15 }],
    ])("is rejected with %s", (_, fields) => {
        expect(decodeTarget("i-1", Buffer.from(JSON.stringify({ ...entry, ...fields }))).isErr()).toBe(true);
    });

    // The id is sent to the target in a header.
    test.each(["", "i 1", "i\r\nx: y", "i".repeat(300)])("is rejected with the id %j", id => {
        expect(decodeTarget(id, Buffer.from(JSON.stringify(entry))).isErr()).toBe(true);
    });

    test("does not affect the others when it is deeply nested", () => {
        const depth = 100_000;
        const nested = `${"[".repeat(depth)}${"]".repeat(depth)}`;
        const text = JSON.stringify(entry);
        const decoded = decodeTarget("i-1", Buffer.from(`${text.slice(0, -1)},"Extra":${nested}}`));
        expect(decoded._unsafeUnwrap().id).toBe("i-1");
        expect(decodeTarget("i-2", Buffer.from(nested)).isErr()).toBe(true);
        expect(decodeTarget("i-3", Buffer.from(`${text.slice(0, -1)},"Slots":1e999}`)).isErr()).toBe(true);
    });

    test("is rejected when it is not JSON", () => {
        expect(decodeTarget("i-1", Buffer.from([0xff, 0x00])).isErr()).toBe(true);
    });
});

describe("records of the store", () => {
    const offsets = Buffer.alloc(16);

    test("keep their content when encoded and decoded, deleted keys included", () => {
        const records = [{ key: "a", value: Buffer.from("1") }, { key: "b", value: undefined }];
        const decoded = decodeReadResponse(Buffer.concat([offsets, ...records.map(encodeRecord)]), 7)._unsafeUnwrap();
        expect(decoded).toEqual({ records, nextOffset: 9 });
    });

    test("are read up to a truncated one", () => {
        const truncated = encodeRecord({ key: "a", value: Buffer.from("1") }).subarray(0, -1);
        expect(decodeReadResponse(Buffer.concat([offsets, truncated]), 7)._unsafeUnwrap()).toEqual({
            records: [],
            nextOffset: 7,
        });
        expect(decodeReadResponse(Buffer.alloc(3), 0).isErr()).toBe(true);
    });
});
