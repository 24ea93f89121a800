import { createStoreOutage, expiryGraceUntil } from "@trefoilladder/replication";
import { silentLog } from "./silent-log";

describe("outage of the store", () => {
    // Guards against mistaking the failed calls of one instance for an outage of the store.
    test("is not detected while any instance receives responses", () => {
        const outage = createStoreOutage({ now: 0, log: silentLog() });
        for (let at = 0; at <= 10_000; at += 1_600) {
            outage.recordResponse(at);
        }
        expect(outage.endedAt).toBe(-Infinity);
    });

    test("ends with the first response after a time in which no instance received one", () => {
        const events: string[] = [];
        const outage = createStoreOutage({ now: 0, log: silentLog(events) });
        outage.recordResponse(1_000);
        outage.recordResponse(5_500);
        // Reported late by an instance that received its response earlier.
        outage.recordResponse(5_200);
        outage.recordResponse(5_900);
        expect(outage.endedAt).toBe(5_500);
        expect(events).toEqual(["store_returned"]);
    });

    test("is not detected while a call waits for its response", () => {
        const outage = createStoreOutage({ now: 0, log: silentLog() });
        outage.recordResponse(100);
        outage.recordResponse(20_000, 400);
        expect(outage.endedAt).toBe(-Infinity);
        outage.recordResponse(30_000, 22_500);
        expect(outage.endedAt).toBe(30_000);
    });

    // Guards against an instance that starts during an outage and does not detect its end from its first response.
    test("ends with the first response to an instance that started during it", () => {
        const outage = createStoreOutage({ now: 1_000, log: silentLog() });
        outage.recordResponse(4_000);
        expect(outage.endedAt).toBe(4_000);
    });
});

describe("grace period for expired records", () => {
    // Guards against an instance that was partitioned from the store and all others, and keeps targets that have left.
    test("does not start when a single instance reconnects", () => {
        expect(expiryGraceUntil(10_000, [-Infinity])).toBe(-Infinity);
        expect(expiryGraceUntil(10_000, [-Infinity, 10_000, -Infinity, -Infinity])).toBe(-Infinity);
    });

    test("ends 2.2 s after an outage that most instances detected, also on an instance that missed it", () => {
        expect(expiryGraceUntil(-Infinity, [5_000, 5_100, -Infinity, 5_050])).toBe(7_200);
    });

    test("depends on this instance alone when no other is in contact", () => {
        expect(expiryGraceUntil(5_000, [])).toBe(7_200);
    });
});
