import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { readRequestTrace } from "../../packages/client/src/request-trace";

let directory: string;

beforeEach(() => {
    directory = mkdtempSync(join(tmpdir(), "request-trace-"));
});

afterEach(() => rmSync(directory, { recursive: true }));

function write(name: string, lines: readonly string[]): string {
    const path = join(directory, name);
    writeFileSync(path, lines.join("\n"));
    return path;
}

function line(time: string, event: string, request: string): string {
    return JSON.stringify({ time, instance: "e", kind: "request", event, request, target: "t-1" });
}

describe("trace of a request", () => {
    test("contains the lines of all instances sorted by time, and none of other requests", () => {
        const files = [
            write("a.log", [
                `12.0 e ${line("2026-01-01T00:00:02Z", "refused", "r1")}`,
                "{\"cut",
                line("2026-01-01T00:00:01Z", "x", "r2"),
            ]),
            write("b.log", [line("2026-01-01T00:00:01Z", "attempt_failed", "r1")]),
        ];
        const trace = readRequestTrace("r1", files)._unsafeUnwrap();
        expect(trace.map(text => text.split("  ")[2])).toEqual(["request attempt_failed", "request refused"]);
        expect(trace[0]).toContain("target=t-1");
    });

    test("fails with the name of a file that cannot be read", () => {
        expect(readRequestTrace("r1", [join(directory, "none")])._unsafeUnwrapErr().message).toContain("none");
    });
});
