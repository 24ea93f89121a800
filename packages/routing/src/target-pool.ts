import { Pool } from "undici";
import type { Dispatcher } from "undici";

/** Connection pool of one target; connections open on first use. */
export interface TargetPool {
    dispatcher(): Dispatcher;
    /** Closes idle connections now and busy ones after their requests finish. */
    close(): void;
    /** Closes every connection at once and aborts the requests on them. */
    destroy(): Promise<void>;
}

/** Idle timeout, below the 5 s after which common servers close idle connections. */
const idleMs = 4_000;

/**
 * Creates the pool of a target. Each connection carries one request at a time. Undici destroys a connection whose
 * request is aborted or times out, or that receives bytes outside a response, so it never reuses such a connection.
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
                // The caller's deadline aborts the request, so undici needs no timeouts.
                headersTimeout: 0,
                bodyTimeout: 0,
            });
            return pool;
        },
        close() {
            closed = true;
            pool?.close().catch(() => {
                // The pool was destroyed before its requests finished, so nothing is left to close.
            });
        },
        async destroy() {
            await (closed ? undefined : pool?.destroy());
        },
    };
}
