import { createExpectedWork, createLatencyClasses, createTargetPace, reservedTargets } from "@trefoilladder/placement";
import type { WorkFeatures } from "@trefoilladder/placement";
import { slowdownOf } from "@trefoilladder/placement";

function features(fields: Partial<WorkFeatures> = {}): WorkFeatures {
    return { route: "lookup", method: "GET", bodyBytes: 0, organisation: "taipei", ...fields };
}

describe("the expected work of a request", () => {
    test("is unknown before the first response on the route", () => {
        expect(createExpectedWork().estimate(features())).toBeUndefined();
    });

    // Guards against one mean for requests of a route whose method decides on their work.
    test("depends on the property that predicts it better than the route", () => {
        const work = createExpectedWork();
        for (let index = 0; index < 60; index++) {
            work.record(features({ organisation: `org-${index % 3}` }), 94);
            work.record(features({ method: "POST", organisation: `org-${index % 3}` }), 577);
        }
        expect(work.estimate(features())!.meanMs).toBeCloseTo(94);
        expect(work.estimate(features({ method: "POST" }))!.meanMs).toBeCloseTo(577);
        expect(work.estimate(features({ method: "PUT" }))!.meanMs).toBeGreaterThan(200);
    });

    // Guards against estimates from few responses of one organisation where organisations do not differ.
    test("is that of the route where a property does not predict it better", () => {
        const work = createExpectedWork();
        for (let index = 0; index < 200; index++) {
            work.record(features({ organisation: `org-${index % 2}` }), 100 + (index * 37) % 50);
        }
        expect(work.estimate(features({ organisation: "org-0" }))).toEqual(
            work.estimate(features({ organisation: "org-9" })),
        );
    });

    // Guards against memory that grows with the organisations and sizes that callers send.
    test("is learned in a bounded number of entries", () => {
        const work = createExpectedWork({ maxEntries: 50 });
        for (let index = 0; index < 1_000; index++) {
            work.record(features({ organisation: `org-${index}`, bodyBytes: index ** 3 }), 100);
        }
        expect(work.size).toBe(50);
        expect(work.estimate(features())!.meanMs).toBeCloseTo(100);
    });
});

describe("the pace of a target", () => {
    /** Returns a target of 6 slots in use, where requests end at regular intervals. */
    function busyPace(serviceMs: number) {
        const pace = createTargetPace();
        const intervalMs = serviceMs / 6;
        for (let now = 0; now < 10_000; now += intervalMs) {
            pace.ended(1, now);
            pace.report(6, now);
        }
        return pace;
    }

    // Guards against slow targets that look like others because their reported load is the same.
    test("is the slots' time by the requests that ended, and shows a slow target", () => {
        expect(busyPace(400).serviceMs(10_000)!).toBeGreaterThan(380);
        expect(busyPace(400).serviceMs(10_000)!).toBeLessThan(420);
        expect(slowdownOf(busyPace(1_000), 400, 10_000)).toBeGreaterThan(1.8);
        expect(slowdownOf(busyPace(400), 400, 10_000)).toBeCloseTo(1, 1);
    });

    test("is that of the others without observations", () => {
        expect(slowdownOf(createTargetPace(), 400, 0)).toBe(1);
    });
});

describe("the separation of requests by their slack", () => {
    test("reserves targets by the share of work of the requests with little slack", () => {
        const classes = createLatencyClasses();
        for (let index = 0; index < 200; index++) {
            classes.record("short", 206, 94 * 0.4);
            classes.record("long", 1_423, 577 * 0.6);
        }
        const { maxTightSlackMs, reservedShare } = classes.separation()!;
        expect(maxTightSlackMs).toBeGreaterThan(206);
        expect(maxTightSlackMs).toBeLessThan(1_423);
        expect(reservedShare).toBeCloseTo(0.142, 2);
    });

    // Guards against targets that are kept from the bulk of the requests.
    test("is absent when most work has little slack, and when the slacks are alike", () => {
        const mostlyTight = createLatencyClasses();
        const alike = createLatencyClasses();
        for (let index = 0; index < 200; index++) {
            mostlyTight.record("short", 206, 94);
            mostlyTight.record("long", 1_423, 40);
            alike.record("short", 206, 10);
            alike.record("long", 400, 90);
        }
        expect(mostlyTight.separation()).toBeUndefined();
        expect(alike.separation()).toBeUndefined();
    });

    const listed = Array.from({ length: 69 }, (_, index) => ({ id: `t${index}`, domain: String(index % 3) }));

    // Guards against instances that reserve different targets, and against requests that leave their failure domain.
    test("takes the same targets everywhere, some in each failure domain", () => {
        const reserved = reservedTargets(listed, 0.14);
        expect(reserved).toEqual(reservedTargets([...listed].reverse(), 0.14));
        for (const domain of ["0", "1", "2"]) {
            expect(listed.filter(target => target.domain === domain && reserved.has(target.id))).toHaveLength(3);
        }
        const more = reservedTargets(listed, 0.2);
        reserved.forEach(id => expect(more.has(id)).toBe(true));
    });

    test("leaves small services as they are", () => {
        expect(reservedTargets(listed.slice(0, 9), 0.3).size).toBe(0);
    });
});
