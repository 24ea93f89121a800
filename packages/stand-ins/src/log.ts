import type { HttpBindings } from "@hono/node-server";
import { Hono } from "hono";
import { z } from "zod";
import { serveApplication } from "./http-server";
import { createRandom } from "./random";
import { sharedNow } from "./shared-clock";

const logBehaviourSchema = z.strictObject({
    /** Every read and append fails with 503, including pending long polls. */
    outage: z.boolean().default(false),
    /** Time until an appended record becomes readable, in milliseconds. */
    readLagMs: z.number().min(0).default(0),
    /** Probability that an append takes effect but its response is lost. */
    loseResponseRate: z.number().min(0).max(1).default(0),
    /** Appends accepted per second over all streams; further ones receive 429. */
    appendsPerSecond: z.number().positive().default(400),
    /** Number of records that a stream retains. */
    retainedRecords: z.number().int().positive().default(1_000_000),
});

/** Faults and limits of the log, which can be changed while it runs. */
export type LogBehaviour = z.infer<typeof logBehaviourSchema>;

/** Options of a log. */
export interface LogOptions {
    port?: number;
    /** @default 1 */
    seed?: number;
    behaviour?: Partial<LogBehaviour>;
}

/** Stand-in for the platform's append-only log service. */
export interface LogStandIn {
    url: string;
    append(stream: string, value: unknown): number;
    close(): Promise<void>;
}

interface Stream {
    firstOffset: number;
    records: { offset: number; value: unknown; appendedAt: number; }[];
    waiters: Set<() => void>;
}

const maxWaitMs = 30_000;
/** Interval at which a long poll checks for records that are still hidden by the read lag. */
const lagPollMs = 10;

/** Starts a log service on loopback. `PUT /control/behaviour` changes its behaviour. */
export async function startLog(options: LogOptions = {}): Promise<LogStandIn> {
    const streams = new Map<string, Stream>();
    const random = createRandom(options.seed ?? 1);
    let behaviour = logBehaviourSchema.parse(options.behaviour ?? {});
    let appendTimes: number[] = [];
    const app = new Hono<{ Bindings: HttpBindings; }>();

    function streamOf(name: string): Stream {
        let stream = streams.get(name);
        if (stream === undefined) {
            stream = { firstOffset: 0, records: [], waiters: new Set() };
            streams.set(name, stream);
        }
        return stream;
    }

    function wakeAll(stream: Stream): void {
        stream.waiters.forEach(wake => wake());
        stream.waiters.clear();
    }

    function trim(stream: Stream): void {
        const excess = stream.records.length - behaviour.retainedRecords;
        if (excess > 0) {
            stream.records.splice(0, excess);
            stream.firstOffset += excess;
        }
    }

    function append(name: string, value: unknown): number {
        const stream = streamOf(name);
        const offset = stream.firstOffset + stream.records.length;
        stream.records.push({ offset, value, appendedAt: sharedNow() });
        trim(stream);
        wakeAll(stream);
        return offset;
    }

    function visibleEnd(stream: Stream): number {
        const latest = sharedNow() - behaviour.readLagMs;
        let count = stream.records.length;
        while (count > 0 && stream.records[count - 1]!.appendedAt > latest) {
            count -= 1;
        }
        return stream.firstOffset + count;
    }

    function waitForChange(stream: Stream, waitMs: number): Promise<void> {
        return new Promise(resolve => {
            const wake = () => {
                clearTimeout(timer);
                stream.waiters.delete(wake);
                resolve();
            };
            const timer = setTimeout(wake, waitMs);
            stream.waiters.add(wake);
        });
    }

    async function waitForRecord(stream: Stream, from: number, waitMs: number): Promise<void> {
        const deadline = sharedNow() + waitMs;
        for (;;) {
            const remainingMs = deadline - sharedNow();
            if (behaviour.outage || visibleEnd(stream) > from || remainingMs <= 0) {
                return;
            }
            const isHidden = stream.firstOffset + stream.records.length > from;
            await waitForChange(stream, isHidden ? Math.min(lagPollMs, remainingMs) : remainingMs);
        }
    }

    function exceedsAppendRate(): boolean {
        const now = sharedNow();
        appendTimes = appendTimes.filter(at => at > now - 1_000);
        if (appendTimes.length >= behaviour.appendsPerSecond) {
            return true;
        }
        appendTimes.push(now);
        return false;
    }

    app.put("/control/behaviour", async context => {
        const changed = logBehaviourSchema.safeParse({ ...behaviour, ...await context.req.json<object>() });
        if (!changed.success) {
            return context.json({ issues: changed.error.issues }, 400);
        }
        behaviour = changed.data;
        streams.forEach(stream => {
            trim(stream);
            wakeAll(stream);
        });
        return context.json(behaviour);
    });
    app.post("/streams/:stream/records", async context => {
        const body = await context.req.json<{ value: unknown; }>();
        if (behaviour.outage) {
            return context.json({ error: "unavailable" }, 503);
        }
        if (exceedsAppendRate()) {
            return context.json({ error: "too many appends" }, 429, { "retry-after": "1" });
        }
        const offset = append(context.req.param("stream"), body.value);
        if (random.chance(behaviour.loseResponseRate)) {
            context.env.incoming.socket.destroy();
        }
        return context.json({ offset });
    });
    app.get("/streams/:stream/records", async context => {
        const stream = streamOf(context.req.param("stream"));
        const from = Number(context.req.query("from") ?? 0);
        const limit = Number(context.req.query("limit") ?? 500);
        const waitMs = Math.min(Number(context.req.query("waitMs") ?? 0), maxWaitMs);
        await waitForRecord(stream, from, waitMs);
        if (behaviour.outage) {
            return context.json({ error: "unavailable" }, 503);
        }
        const { firstOffset } = stream;
        const endOffset = visibleEnd(stream);
        if (from < firstOffset) {
            return context.json({ error: "past retention", firstOffset, endOffset }, 410);
        }
        const records = stream.records.slice(from - firstOffset, Math.min(from + limit, endOffset) - firstOffset);
        return context.json({
            firstOffset,
            endOffset,
            records: records.map(({ offset, value }) => ({ offset, value })),
        });
    });

    const server = await serveApplication(app.fetch, options.port ?? 0);
    return {
        url: `http://127.0.0.1:${server.port}`,
        append,
        async close() {
            behaviour.outage = true;
            streams.forEach(wakeAll);
            await server.close();
        },
    };
}
