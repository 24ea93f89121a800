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

/** Interval and timeout of the readiness checks. */
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

/** Returns whether an instance is ready. One without an inner listener is ready when it accepts callers' connections. */
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

/** Starts readiness checks of all instances in a list, including ones that are added later. */
export function createBalancer(entries: readonly EntryProcess[]): Balancer {
    const closing = new AbortController();
    // The check loop of every instance adds a listener to this signal.
    setMaxListeners(0, closing.signal);
    const ready = new Set<EntryProcess>();
    const watched = new Set<EntryProcess>();
    const tasks: Promise<void>[] = [];
    let next = 0;

    async function checkReadiness(entry: EntryProcess): Promise<void> {
        while (!closing.signal.aborted) {
            if (await isReady(entry)) {
                ready.add(entry);
            }
            else {
                ready.delete(entry);
            }
            await delay(checkIntervalMs, undefined, { signal: closing.signal }).catch(() => undefined);
        }
    }

    async function checkNewEntries(): Promise<void> {
        while (!closing.signal.aborted) {
            for (const entry of entries.filter(candidate => !watched.has(candidate))) {
                watched.add(entry);
                tasks.push(checkReadiness(entry));
            }
            await delay(checkIntervalMs, undefined, { signal: closing.signal }).catch(() => undefined);
        }
    }

    tasks.push(checkNewEntries());
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
            closing.abort();
            await Promise.all(tasks);
        },
    };
}
