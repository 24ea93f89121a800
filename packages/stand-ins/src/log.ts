import { Hono } from "hono";
import { serveApplication } from "./http-server";

/** Stand-in of the platform's append-only log service. */
export interface LogStandIn {
    url: string;
    append(stream: string, value: unknown): number;
    close(): Promise<void>;
}

interface Stream {
    records: { offset: number; value: unknown; }[];
    waiters: Set<() => void>;
}

const maxWaitMs = 30_000;

/** Starts a log service on loopback. */
export async function startLog(options: { port?: number; } = {}): Promise<LogStandIn> {
    const streams = new Map<string, Stream>();
    const app = new Hono();

    function streamOf(name: string): Stream {
        let stream = streams.get(name);
        if (stream === undefined) {
            stream = { records: [], waiters: new Set() };
            streams.set(name, stream);
        }
        return stream;
    }

    function append(name: string, value: unknown): number {
        const stream = streamOf(name);
        const offset = stream.records.length;
        stream.records.push({ offset, value });
        stream.waiters.forEach(wake => wake());
        stream.waiters.clear();
        return offset;
    }

    function waitForRecord(stream: Stream, waitMs: number): Promise<void> {
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

    app.post("/streams/:stream/records", async context => {
        const body = await context.req.json<{ value: unknown; }>();
        return context.json({ offset: append(context.req.param("stream"), body.value) });
    });
    app.get("/streams/:stream/records", async context => {
        const stream = streamOf(context.req.param("stream"));
        const from = Number(context.req.query("from") ?? 0);
        const limit = Number(context.req.query("limit") ?? 500);
        const waitMs = Math.min(Number(context.req.query("waitMs") ?? 0), maxWaitMs);
        if (from >= stream.records.length && waitMs > 0) {
            await waitForRecord(stream, waitMs);
        }
        return context.json({
            firstOffset: 0,
            endOffset: stream.records.length,
            records: stream.records.slice(from, from + limit),
        });
    });

    const server = await serveApplication(app.fetch, options.port ?? 0);
    return { url: `http://127.0.0.1:${server.port}`, append, close: server.close };
}
