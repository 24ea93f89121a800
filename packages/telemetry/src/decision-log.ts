/**
 * Structured log of the request path: one JSON line for each decision on a request and each change of assumed state.
 *
 * Each kind of line has its own limit per second, so that a burst of requests cannot displace the changes of state.
 * Suppressed lines are counted, and the count is logged before the first line of a later second.
 */

import type { Logger } from "loglevel";
import log from "loglevel";
import { createLineWriter } from "./line-writer";
import type { LineWriter } from "./line-writer";
import type { LogFields } from "./telemetry";

/** Kinds of lines. */
export const lineKind = {
    /** A decision about one request. */
    request: "request",
    /** A request that completed successfully. */
    success: "success",
    /** A change of the state that the process assumes, such as the health of a target. */
    belief: "belief",
    /** Start, stop, reload, loss or recovery of a dependency. */
    lifecycle: "lifecycle",
    /** A fault that needs an operator. */
    fault: "fault",
} as const;

type LineKind = typeof lineKind[keyof typeof lineKind];

/** Maximum number of lines of each kind per second. */
const maxLinesPerSecond: Record<LineKind, number> = {
    success: 100,
    request: 200,
    belief: 100,
    lifecycle: 50,
    fault: 50,
};

/** Log and event counters of the request path. */
export interface DecisionLog {
    /** Writes a decision about a request and the inputs of the decision. */
    request(id: string, event: string, fields: LogFields): void;
    /** Writes that a request was answered successfully. */
    success(id: string, fields: LogFields): void;
    /** Writes a change of the state that the process assumes. */
    stateChange(event: string, fields: LogFields): void;
    lifecycle(event: string, fields?: LogFields): void;
    fault(event: string, fields: LogFields): void;
    count(name: string): void;
    /** Suppresses lines below a level from now on. */
    setLevel(level: log.LogLevelDesc): void;
    /** Resolves when all lines have been written; never while nobody reads them. */
    flush(): Promise<void>;
    /** Counters of events, by name. */
    counters(): ReadonlyMap<string, number>;
}

/** Options of the log. */
export interface DecisionLogOptions {
    instance: string;
    level?: log.LogLevelDesc;
    /** @default a writer to standard output */
    writer?: LineWriter;
    /** @default the wall clock in milliseconds */
    wallClock?: () => number;
}

const levelByKind: Record<LineKind, "info" | "warn"> = {
    success: "info",
    request: "info",
    belief: "info",
    lifecycle: "info",
    fault: "warn",
};

function createLogger(instance: string, level: log.LogLevelDesc, writer: LineWriter): Logger {
    const logger = log.getLogger(`trefoilladder-decisions-${instance}`);
    logger.methodFactory = () => line => void writer.write(line as string);
    logger.setLevel(level, false);
    return logger;
}

/** Creates the decision log of a process. */
export function createDecisionLog(options: DecisionLogOptions): DecisionLog {
    const writer = options.writer ?? createLineWriter(1);
    const wallClock = options.wallClock ?? Date.now;
    const logger = createLogger(options.instance, options.level ?? "info", writer);
    const counters = new Map<string, number>();
    const written: Record<LineKind, number> = { success: 0, request: 0, belief: 0, lifecycle: 0, fault: 0 };
    const suppressed: Record<LineKind, number> = { success: 0, request: 0, belief: 0, lifecycle: 0, fault: 0 };
    let currentSecond = 0;

    function count(name: string): void {
        counters.set(name, (counters.get(name) ?? 0) + 1);
    }

    function startSecond(now: number): void {
        currentSecond = Math.floor(now / 1_000);
        for (const kind of Object.values(lineKind)) {
            written[kind] = 0;
            if (suppressed[kind] > 0) {
                const fields = { time: new Date(now).toISOString(), kind: "lifecycle", event: "lines_suppressed" };
                logger.info(JSON.stringify({ ...fields, of: kind, count: suppressed[kind] }));
                suppressed[kind] = 0;
            }
        }
    }

    function write(kind: LineKind, event: string, fields: LogFields): void {
        const now = wallClock();
        if (Math.floor(now / 1_000) !== currentSecond) {
            startSecond(now);
        }
        if (written[kind] >= maxLinesPerSecond[kind]) {
            suppressed[kind] += 1;
            count(`lines_suppressed_${kind}`);
            return;
        }
        written[kind] += 1;
        logger[levelByKind[kind]](
            JSON.stringify({ time: new Date(now).toISOString(), instance: options.instance, kind, event, ...fields }),
        );
    }

    return {
        request(id, event, fields) {
            count(`request_${event}`);
            write(lineKind.request, event, { request: id, ...fields });
        },
        success(id, fields) {
            count("request_answered");
            write(lineKind.success, "answered", { request: id, ...fields });
        },
        stateChange(event, fields) {
            count(`belief_${event}`);
            write(lineKind.belief, event, fields);
        },
        lifecycle: (event, fields = {}) => write(lineKind.lifecycle, event, fields),
        fault(event, fields) {
            count(`fault_${event}`);
            write(lineKind.fault, event, fields);
        },
        count,
        setLevel: level => logger.setLevel(level, false),
        flush: () => writer.flush(),
        counters: () => counters,
    };
}
