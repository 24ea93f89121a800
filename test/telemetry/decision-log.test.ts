import { createDecisionLog } from "@trefoilladder/telemetry";
import type { DecisionLog } from "@trefoilladder/telemetry";

function startLog(accepts: () => boolean = () => true) {
    const lines: Record<string, unknown>[] = [];
    let now = 1_000_000;
    const log: DecisionLog = createDecisionLog({
        instance: `log-${Math.random()}`,
        writer: {
            write(line) {
                if (accepts()) {
                    lines.push(JSON.parse(line) as Record<string, unknown>);
                }
                return accepts();
            },
        },
        wallClock: () => now,
    });
    return { log, lines, pass: (ms: number) => now += ms };
}

describe("decision log", () => {
    test("writes one JSON line with the inputs of a decision", () => {
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

    // A burst of requests must neither fill the disk of the collector nor hide why the instance changed its mind.
    test("bounds the lines of a flood, keeps beliefs and reports what was left out", () => {
        const { log, lines, pass } = startLog();
        for (let index = 0; index < 10_000; index++) {
            log.success(`r${index}`, {});
        }
        log.stateChange("configuration_in_force", { version: 2 });
        expect(lines.length).toBeLessThanOrEqual(101);
        expect(lines.at(-1)).toMatchObject({ event: "configuration_in_force" });
        pass(1_000);
        log.lifecycle("stopping");
        const report = lines.find(({ event }) => event === "lines_suppressed");
        expect(report).toMatchObject({ of: "success", count: 9_900 });
        expect(log.counters().get("request_answered")).toBe(10_000);
    });
});
