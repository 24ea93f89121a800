import { createLimitGroup } from "@trefoilladder/limits";
import { createLimitSummary } from "../../packages/gateway/src/limit-summary";
import { createRateLimits } from "../../packages/gateway/src/rate-limits";

/** A line that the summary wrote. */
interface Line {
    event: string;
    fields: Record<string, unknown>;
}

function createFixture() {
    let now = 0;
    const lines: Line[] = [];
    const log = { stateChange: (event: string, fields: Record<string, unknown>) => void lines.push({ event, fields }) };
    const falls: [name: string, sender: string, tokens: number][] = [];
    const group = createLimitGroup({
        now: () => now,
        minChange: 1,
        totalFell: (...fall) => falls.push(fall),
    });
    const organisation = { name: "laurel", keys: [], priority: undefined, ratePerSecond: 1, burst: 4 };
    const limits = createRateLimits(group, () => now, log);
    limits.configure([organisation]);
    return {
        group,
        falls,
        lines,
        take: () => limits.limitOf(organisation)!.take(now),
        summarize: createLimitSummary({ log, limits: group, now: () => now }),
        advance: (ms: number) => now += ms,
    };
}

// Guards against an excess over a limit whose cause the logs do not show (incident inc3).
describe("lines about limits", () => {
    test("tell the level, the running total and the reports that a rejection was based on", () => {
        const { take, summarize, lines, group, advance } = createFixture();
        advance(10_000);
        while (take() === 0) {
            // Uses up the bucket.
        }
        group.applyPeerTotals("a/1", [["laurel", 1, 1]]);
        advance(300);
        lines.splice(0);
        summarize();
        expect(lines).toEqual([{
            event: "limit_state",
            fields: expect.objectContaining({
                organisation: "laurel",
                admitted: 4,
                rejected: 1,
                rejectedSince: 1,
                admittedSince: 4,
                reporters: 1,
                newsAgeMs: 300,
            }) as unknown,
        }]);
    });

    test("leave out organisations that did not use their limit", () => {
        const { take, summarize, lines } = createFixture();
        while (take() === 0) {
            // Uses up the bucket.
        }
        summarize();
        lines.splice(0);
        summarize();
        expect(lines).toEqual([]);
    });

    test("tell of a total that falls", () => {
        const { group, falls } = createFixture();
        group.applyPeerTotals("a/1", [["laurel", 5, 5]]);
        group.applyPeerTotals("a/1", [["laurel", 1, 1]]);
        expect(falls).toEqual([["laurel", "a/1", 4]]);
    });
});
