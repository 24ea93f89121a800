import { Pool } from "undici";
import type { Dispatcher } from "undici";

/** Connections to one target, opened on first use. */
export interface TargetPool {
    dispatcher(): Dispatcher;
    /** Closes the idle connections now and the others when their requests have finished. */
    close(): void;
    /** Breaks every connection. */
    destroy(): Promise<void>;
}

/** Idle time after which a connection is closed: below the 5 s after which common servers close theirs. */
const idleMs = 4_000;

/**
 * Creates the pool of a target. Each connection carries one request at a time; undici destroys a connection whose
 * request was aborted or timed out and one that receives bytes outside a response, so none of these is reused.
 */
export function createTargetPool(
    origin: string,
    options: { connections: number; connectTimeoutMs: number; },
): TargetPool {
    let pool: Pool | undefined;
    let closed = false;

    return {
        dispatcher() {
            pool ??= new Pool(origin, {
                connections: options.connections,
                pipelining: 1,
                keepAliveTimeout: idleMs,
                connect: { timeout: options.connectTimeoutMs },
                // Time limits are the caller's deadlines, which abort the request.
                headersTimeout: 0,
                bodyTimeout: 0,
            });
            return pool;
        },
        close() {
            closed = true;
            pool?.close().catch(() => {
                // A pool that was destroyed before its requests finished has nothing left to close.
            });
        },
        async destroy() {
            await (closed ? undefined : pool?.destroy());
        },
    };
}
