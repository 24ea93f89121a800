import { createDecisionLog } from "@trefoilladder/telemetry";
import type { DecisionLog } from "@trefoilladder/telemetry";

function startLog(writerAccepts: () => boolean = () => true) {
    const lines: Record<string, unknown>[] = [];
    let now = 1_000_000;
    const log: DecisionLog = createDecisionLog({
        instance: `log-${Math.random()}`,
        writer: {
            write(line) {
                if (writerAccepts()) {
                    lines.push(JSON.parse(line) as Record<string, unknown>);
                }
                return writerAccepts();
            },
            flush: () => Promise.resolve(),
        },
        wallClock: () => now,
    });
    return { log, lines, advance: (ms: number) => now += ms };
}

describe("decision log", () => {
    test("writes a decision and its inputs as one JSON line", () => {
        const { log, lines } = startLog();
        log.request("r1", "refused", { code: "over_limit", waitMs: 40, version: 7 });
        expect(lines[0]).toMatchObject({
            kind: "request",
            event: "refused",
            request: "r1",
            code: "over_limit",
            version: 7,
        });
    });

    // A burst of requests must neither fill the disk of the log collector nor displace the lines about state changes.
    test("limits the lines of a request burst, keeps state changes and reports the number of suppressed lines", () => {
        const { log, lines, advance } = startLog();
        for (let index = 0; index < 10_000; index++) {
            log.success(`r${index}`, {});
        }
        log.stateChange("configuration_in_force", { version: 2 });
        expect(lines.length).toBeLessThanOrEqual(101);
        expect(lines.at(-1)).toMatchObject({ event: "configuration_in_force" });
        advance(1_000);
        log.lifecycle("stopping");
        const report = lines.find(({ event }) => event === "lines_suppressed");
        expect(report).toMatchObject({ of: "success", count: 9_900 });
        expect(log.counters().get("request_answered")).toBe(10_000);
    });
});
