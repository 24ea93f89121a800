import { createStoreOutage, lapseGraceUntil } from "@trefoilladder/replication";
import { silentLog } from "./silent-log";

describe("outage of the store", () => {
    // Guards against taking the failed calls of one instance for an outage of the store.
    test("did not happen while any instance had answers", () => {
        const outage = createStoreOutage({ now: 0, log: silentLog() });
        for (let at = 0; at <= 10_000; at += 1_600) {
            outage.noteAnswer(at);
        }
        expect(outage.endedAt).toBe(-Infinity);
    });

    test("ends with the first answer after a silence to all", () => {
        const events: string[] = [];
        const outage = createStoreOutage({ now: 0, log: silentLog(events) });
        outage.noteAnswer(1_000);
        outage.noteAnswer(5_500);
        // Told late by an instance that had its answer before.
        outage.noteAnswer(5_200);
        outage.noteAnswer(5_900);
        expect(outage.endedAt).toBe(5_500);
        expect(events).toEqual(["store_returned"]);
    });

    test("did not happen while a call waited for its answer", () => {
        const outage = createStoreOutage({ now: 0, log: silentLog() });
        outage.noteAnswer(100);
        outage.noteAnswer(20_000, 400);
        expect(outage.endedAt).toBe(-Infinity);
        outage.noteAnswer(30_000, 22_500);
        expect(outage.endedAt).toBe(30_000);
    });

    // Guards against an instance that starts while the store is away and takes its first answer for no news.
    test("ends with the first answer to an instance that started in it", () => {
        const outage = createStoreOutage({ now: 1_000, log: silentLog() });
        outage.noteAnswer(4_000);
        expect(outage.endedAt).toBe(4_000);
    });
});

describe("time in which lapsed records may come back", () => {
    // Guards against an instance that was cut off from the store and all others, and keeps targets that have left.
    test("does not begin with the return of one instance", () => {
        expect(lapseGraceUntil(10_000, [-Infinity])).toBe(-Infinity);
        expect(lapseGraceUntil(10_000, [-Infinity, 10_000, -Infinity, -Infinity])).toBe(-Infinity);
    });

    test("ends 2.2 s after an outage that most instances saw, also where it went unnoticed", () => {
        expect(lapseGraceUntil(-Infinity, [5_000, 5_100, -Infinity, 5_050])).toBe(7_200);
    });

    test("follows this instance alone when no other is in contact", () => {
        expect(lapseGraceUntil(5_000, [])).toBe(7_200);
    });
});
