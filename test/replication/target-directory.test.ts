import { createVirtualClock } from "@trefoilladder/clock";
import { targetRecord } from "../gateway/fixtures";
import { createTestDirectory } from "./create-test-directory";

function createDirectory(knownServices = new Set(["dossier", "archive"])) {
    const clock = createVirtualClock();
    const removed: string[] = [];
    const left: string[] = [];
    const outage = { graceUntil: -Infinity };
    const directory = createTestDirectory({
        clock,
        expiryGraceUntil: () => outage.graceUntil,
        isKnownService: service => knownServices.has(service),
        removed: id => removed.push(id),
        leaving: id => left.push(id),
    });
    const serving = () => directory.serving("dossier").map(({ id }) => id);
    const beginGrace = () => outage.graceUntil = clock.now() + 2_200;
    return { clock, directory, removed, left, serving, beginGrace };
}

describe("target directory", () => {
    test("removes a target whose record is dropped", () => {
        const { directory, removed, serving } = createDirectory();
        directory.put(targetRecord(0, 80));
        directory.drop("target-0");
        expect(serving()).toEqual([]);
        expect(removed).toEqual(["target-0"]);
    });

    test("ignores an older record of the same incarnation and accepts a new incarnation", () => {
        const { directory, serving } = createDirectory();
        directory.put(targetRecord(0, 80, { draining: true, sequence: 9 }));
        directory.put(targetRecord(0, 80, { sequence: 8 }));
        expect(serving()).toEqual([]);
        directory.put(targetRecord(0, 80, { startedAt: 5_000, sequence: 1 }));
        expect(serving()).toEqual(["target-0"]);
    });

    // Guards against a copy from a peer that restores a target that has left (laurel-gw, scale-2, seed 881373965701).
    test("ignores a copy of a dropped record, but accepts a later record of the same target", () => {
        const { directory, serving } = createDirectory();
        directory.put(targetRecord(0, 80, { sequence: 4 }));
        directory.drop("target-0");
        directory.put(targetRecord(0, 80, { sequence: 4 }));
        expect(serving()).toEqual([]);
        directory.put(targetRecord(0, 80, { sequence: 5 }));
        expect(serving()).toEqual(["target-0"]);
    });

    test("uses only the newest target at an address", () => {
        const { directory, serving } = createDirectory();
        directory.put(targetRecord(0, 80));
        directory.put(targetRecord(1, 80));
        expect(serving()).toEqual(["target-1"]);
    });

    // Guards against an entry of a service that no configuration names, which took a ready target at its address out of use (review/10).
    test("keeps a target in use when a record of an unknown service has its address", () => {
        const { directory, serving } = createDirectory();
        directory.put(targetRecord(0, 80));
        directory.put(targetRecord(1, 80, { service: "survey", startedAt: 9_000 }));
        expect(serving()).toEqual(["target-0"]);
    });

    // Guards against a takeover of an address that is missed because the configuration names the service after the record arrives.
    test("replaces a target at its address once the configuration names the other service", () => {
        const knownServices = new Set(["dossier"]);
        const { directory, serving } = createDirectory(knownServices);
        directory.put(targetRecord(0, 80));
        directory.put(targetRecord(1, 80, { service: "survey", startedAt: 9_000 }));
        expect(serving()).toEqual(["target-0"]);
        knownServices.add("survey");
        directory.handleServicesChange();
        expect(serving()).toEqual([]);
        expect(directory.serving("survey").map(({ id }) => id)).toEqual(["target-1"]);
    });

    // Guards against an entry of an unknown service under the key of a target, which replaces its record for good: the target's own
    // records are older by start time or sequence.
    test.each([{ startedAt: 9_000 }, { sequence: 90 }])(
        "keeps a target in use beside a record of an unknown service with its id (%p)",
        fields => {
            const odd = targetRecord(0, 80, { service: "survey", ...fields });
            const { directory, removed, serving } = createDirectory();
            directory.put(targetRecord(0, 80));
            expect(directory.put(odd)).toBe(false);
            expect([serving(), removed]).toEqual([["target-0"], []]);
            const started = createDirectory();
            started.directory.put(odd);
            started.directory.put(targetRecord(0, 80, { sequence: 2 }));
            expect(started.serving()).toEqual(["target-0"]);
        },
    );

    // Guards against the same after the entry was removed: the record that was dropped last must not count as a later one.
    test("uses a target again after a record of an unknown service with its id was dropped", () => {
        const { directory, serving } = createDirectory();
        directory.put(targetRecord(0, 80, { service: "survey", startedAt: 9_000 }));
        directory.drop("target-0");
        directory.put(targetRecord(0, 80));
        expect(serving()).toEqual(["target-0"]);
    });

    // Guards against quadratic work in the number of targets per record: a copy of 232 records blocked an instance of laurel-gw-grown, so that
    // it learned of leaving targets seconds late. At this size, such work exceeds the test's timeout.
    test("lists and replaces the number of targets expected in two years", () => {
        const { directory, serving } = createDirectory();
        const size = 31_000;
        for (const sequence of [1, 2]) {
            for (let index = 0; index < size; index++) {
                directory.put(targetRecord(index, index, { sequence }));
            }
            expect(serving()).toHaveLength(size);
        }
    });

    // Records expire during an outage of the store and are renewed within about two seconds after it.
    test("keeps targets whose records expired in an outage until they had time to renew them", async () => {
        const { clock, directory, serving, beginGrace } = createDirectory();
        directory.put(targetRecord(0, 80));
        directory.put(targetRecord(1, 81));
        beginGrace();
        directory.retain(new Set());
        expect(serving()).toHaveLength(2);
        await clock.advance(1_000);
        directory.put(targetRecord(0, 80, { sequence: 2 }));
        await clock.advance(2_000);
        expect(serving()).toEqual(["target-0"]);
    });

    test("applies a draining record at once, even during the grace period", () => {
        const { directory, serving, beginGrace } = createDirectory();
        directory.put(targetRecord(0, 80));
        beginGrace();
        directory.put(targetRecord(0, 80, { draining: true, sequence: 2 }));
        expect(serving()).toEqual([]);
    });
});

describe("a target that reports in a response that it is leaving", () => {
    // Guards against requests to a leaving target while the store is unavailable or does not report that it is leaving.
    test("receives no requests, whatever later records of the same incarnation say", () => {
        const { directory, left, serving } = createDirectory();
        directory.put(targetRecord(0, 80));
        directory.markLeaving(targetRecord(0, 80));
        expect(serving()).toEqual([]);
        expect(left).toEqual(["target-0"]);
        directory.put(targetRecord(0, 80, { sequence: 2 }));
        directory.drop("target-0");
        directory.put(targetRecord(0, 80, { sequence: 3 }));
        expect(serving()).toEqual([]);
        expect(directory.isServing(targetRecord(0, 80))).toBe(false);
    });

    test("is replaced by a later incarnation and by another target at its address", () => {
        const { directory, removed, serving } = createDirectory();
        directory.put(targetRecord(0, 80));
        directory.markLeaving(targetRecord(0, 80));
        directory.put(targetRecord(0, 80, { startedAt: 5_000 }));
        expect(serving()).toEqual(["target-0"]);
        expect(removed).toEqual(["target-0"]);
        directory.put(targetRecord(1, 80, { startedAt: 6_000 }));
        expect(serving()).toEqual(["target-1"]);
    });

    // Guards against a response of an earlier incarnation that arrives after the target has restarted.
    test("stays available when only an earlier incarnation reported that", () => {
        const { directory, serving } = createDirectory();
        directory.put(targetRecord(0, 80, { startedAt: 5_000 }));
        directory.markLeaving(targetRecord(0, 80, { startedAt: 1_000 }));
        expect(serving()).toEqual(["target-0"]);
        directory.markLeaving(targetRecord(0, 80, { startedAt: 5_000 }));
        directory.markLeaving(targetRecord(0, 80, { startedAt: 1_000 }));
        expect(serving()).toEqual([]);
    });

    // Guards against a request for an earlier incarnation that reaches the next one, which may do other work.
    test("receives no request that was meant for an earlier incarnation", () => {
        const { directory } = createDirectory();
        directory.put(targetRecord(0, 80, { startedAt: 5_000 }));
        expect(directory.isServing(targetRecord(0, 80, { startedAt: 1_000 }))).toBe(false);
        expect(directory.isServing(targetRecord(0, 80, { startedAt: 5_000 }))).toBe(true);
    });

    test("may report that before its record arrives", () => {
        const { directory, serving } = createDirectory();
        directory.markLeaving(targetRecord(0, 80));
        directory.put(targetRecord(0, 80));
        expect(serving()).toEqual([]);
    });
});

describe("an evacuated failure domain", () => {
    const coldMsOf = () => 9_000;

    // Guards against requests to an evacuated target through any question that the request path asks the directory.
    test("has no target that may receive requests, targets listed during the evacuation included", () => {
        const { directory, left, serving } = createDirectory();
        directory.put(targetRecord(0, 80));
        directory.put(targetRecord(1, 81, { domain: "b" }));
        directory.beginEvacuation("b");
        directory.put(targetRecord(2, 82, { domain: "b" }));
        expect(serving()).toEqual(["target-0"]);
        expect(left).toEqual(["target-1"]);
        for (const id of ["target-1", "target-2"]) {
            expect(directory.isActive(id)).toBe(false);
            expect(directory.isServing(directory.get(id)!)).toBe(false);
        }
        directory.beginEvacuation("a");
        expect(directory.msUntilServing("dossier")).toBeUndefined();
        directory.endEvacuation("b", coldMsOf);
        expect(serving()).toEqual(["target-1", "target-2"]);
    });

    // Guards against the usual load on targets that nothing was sent to for a while.
    test("has cold targets after its evacuation, unless a later record says that they are warm", async () => {
        const { clock, directory } = createDirectory();
        const coldMs = () => directory.get("target-0")!.coldUntil - clock.now();
        directory.put(targetRecord(0, 80));
        directory.beginEvacuation("a");
        await clock.advance(5_000);
        directory.endEvacuation("a", coldMsOf);
        expect(coldMs()).toBe(9_000);
        await clock.advance(1_000);
        // These records may have been written before the end of the evacuation.
        directory.put(targetRecord(0, 80));
        directory.put(targetRecord(0, 80, { sequence: 2 }));
        expect(coldMs()).toBe(8_000);
        await clock.advance(2_000);
        directory.put(targetRecord(0, 80, { sequence: 3 }));
        expect(coldMs()).toBeLessThanOrEqual(0);
    });
});

describe("a cold target", () => {
    // Guards against cold times that begin again with each copy of the same record.
    test("is cold from the first arrival of its record, and from the start of a new incarnation", async () => {
        const { clock, directory } = createDirectory();
        const coldMs = () => directory.get("target-0")!.coldUntil - clock.now();
        directory.put(targetRecord(0, 80, { coldMs: 4_000 }));
        await clock.advance(1_000);
        directory.put(targetRecord(0, 80, { coldMs: 4_000 }));
        expect(coldMs()).toBe(3_000);
        directory.put(targetRecord(0, 80, { coldMs: 8_000, startedAt: 5_000 }));
        expect(coldMs()).toBe(8_000);
    });
});
