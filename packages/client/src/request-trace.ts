import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";
import { readFileSync } from "node:fs";
import { ClientFailure } from "./exit-code";

/** Formatted log line of a request with its time for sorting. */
interface TraceLine {
    time: string;
    line: string;
}

function parseLine(text: string, id: string): TraceLine | undefined {
    // A log collector may put its own columns before the JSON object.
    const start = text.indexOf("{");
    if (start < 0 || !text.includes(id)) {
        return undefined;
    }
    try {
        const { time, instance, event, request, kind, ...fields } = JSON.parse(text.slice(start)) as Record<
            string,
            unknown
        >;
        const details = Object.entries(fields).map(([name, value]) => `${name}=${String(value)}`).join(" ");
        return request === id
            ? {
                time: String(time),
                line: `${String(time)}  ${String(instance)}  ${String(kind)} ${String(event)}  ${details}`,
            }
            : undefined;
    }
    catch {
        // Skips a line that was truncated when its process ended.
        return undefined;
    }
}

/** Returns the lines of one request from the log files of all instances, sorted by time. */
export function readRequestTrace(id: string, files: readonly string[]): Result<string[], ClientFailure> {
    const trace: TraceLine[] = [];
    for (const file of files) {
        let text: string;
        try {
            text = readFileSync(file, "utf8");
        }
        catch (error) {
            return err(new ClientFailure("unreadableFile", `${file} cannot be read`, { cause: error as Error }));
        }
        for (const line of text.split("\n")) {
            const traceLine = parseLine(line, id);
            if (traceLine !== undefined) {
                trace.push(traceLine);
            }
        }
    }
    return ok(trace.sort((a, b) => a.time.localeCompare(b.time)).map(({ line }) => line));
}
