import { setMaxListeners } from "node:events";
import { connect } from "node:net";
import { setTimeout as delay } from "node:timers/promises";
import { request } from "undici";
import type { EntryProcess } from "./fleet";

/** Spreads callers over the ready entry instances, as the platform's load balancer does. */
export interface Balancer {
    /** Returns the next ready instance that is not excluded, any ready one otherwise. */
    pick(excluded?: ReadonlySet<string>): EntryProcess | undefined;
    readyCount(): number;
    close(): Promise<void>;
}

/** Interval and time limit of the readiness checks. */
const checkIntervalMs = 200;
const checkTimeoutMs = 500;

function canConnect(port: number): Promise<boolean> {
    return new Promise(resolve => {
        const socket = connect(port, "127.0.0.1");
        const finish = (connected: boolean) => {
            socket.destroy();
            resolve(connected);
        };
        socket.setTimeout(checkTimeoutMs, () => finish(false));
        socket.once("connect", () => finish(true));
        socket.once("error", () => finish(false));
    });
}

/** An instance without an inner listener counts as ready when it accepts connections from callers. */
export async function isReady(entry: EntryProcess): Promise<boolean> {
    try {
        const { statusCode, body } = await request(`http://127.0.0.1:${entry.innerPort}/ready`, {
            signal: AbortSignal.timeout(checkTimeoutMs),
        });
        await body.dump();
        return statusCode === 200;
    }
    catch (error) {
        const code = (error as { code?: string; }).code;
        return code === "ECONNREFUSED" && await canConnect(entry.port);
    }
}

/** Starts to check the instances of a list that may grow. */
export function createBalancer(entries: readonly EntryProcess[]): Balancer {
    const stopping = new AbortController();
    // Each watched instance sleeps with this signal.
    setMaxListeners(0, stopping.signal);
    const ready = new Set<EntryProcess>();
    const watched = new Set<EntryProcess>();
    const tasks: Promise<void>[] = [];
    let next = 0;

    async function watch(entry: EntryProcess): Promise<void> {
        while (!stopping.signal.aborted) {
            if (await isReady(entry)) {
                ready.add(entry);
            }
            else {
                ready.delete(entry);
            }
            await delay(checkIntervalMs, undefined, { signal: stopping.signal }).catch(() => undefined);
        }
    }

    async function watchAll(): Promise<void> {
        while (!stopping.signal.aborted) {
            for (const entry of entries.filter(candidate => !watched.has(candidate))) {
                watched.add(entry);
                tasks.push(watch(entry));
            }
            await delay(checkIntervalMs, undefined, { signal: stopping.signal }).catch(() => undefined);
        }
    }

    tasks.push(watchAll());
    return {
        pick(excluded = new Set()) {
            const all = [...ready];
            const preferred = all.filter(({ id }) => !excluded.has(id));
            const candidates = preferred.length > 0 ? preferred : all;
            next += 1;
            return candidates[next % candidates.length];
        },
        readyCount: () => ready.size,
        async close() {
            stopping.abort();
            await Promise.all(tasks);
        },
    };
}
