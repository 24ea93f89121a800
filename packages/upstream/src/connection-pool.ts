/**
 * Pool of persistent connections to targets.
 */

import { createTargetConnection } from "./target-connection";
import type { ExchangeControl, ExchangeListener, OutgoingRequest, TargetConnection } from "./target-connection";

/** Address at which a target listens. */
export interface TargetAddress {
    id: string;
    address: string;
    port: number;
}

/** A request in progress. */
export interface Exchange extends ExchangeControl {
    /** Whether the request is sent over a new connection. */
    readonly usesNewConnection: boolean;
}

/** Connections to all targets. */
export interface ConnectionPool {
    /** Sends a request over a connection that has been idle for at most `maxIdleMs`, or over a new one. */
    exchange(target: TargetAddress, maxIdleMs: number, request: OutgoingRequest, listener: ExchangeListener): Exchange;
    /** Returns whether a request to a target would be sent over an idle connection. */
    hasIdle(target: string, maxIdleMs: number): boolean;
    /** Closes the idle connections to a target that has left or is leaving. */
    closeIdleConnections(target: string): void;
    /** Closes connections that have exceeded their idle time. */
    closeExpiredConnections(): void;
    close(): void;
    /** Number of connections opened so far. */
    readonly openedCount: number;
    /** Number of connections that are open, idle ones included. */
    readonly openCount: number;
}

/** Options of the pool. */
export interface PoolOptions {
    now(): number;
    connectTimeoutMs: number;
    requestIdHeader: string;
    /** Number of connections above which idle ones are closed. */
    maxConnections?: number;
    /** Returns whether a connection to a target is kept open for further requests. */
    keepsConnections(target: string): boolean;
}

/** Maximum time in milliseconds for which the pool keeps an idle connection. */
const poolIdleLimitMs = 9_000;

/** Creates a pool without connections. */
export function createConnectionPool(options: PoolOptions): ConnectionPool {
    const maxConnections = options.maxConnections ?? Infinity;
    const idleConnections = new Map<string, TargetConnection[]>();
    const openConnections = new Set<TargetConnection>();
    let openedCount = 0;

    function isUsable(connection: TargetConnection, maxIdleMs: number): boolean {
        const idleMs = options.now() - (connection.idleSince ?? -Infinity);
        return connection.isOpen && idleMs <= Math.min(maxIdleMs, connection.idleLimitMs);
    }

    function takeIdle(target: string, maxIdleMs: number): TargetConnection | undefined {
        const list = idleConnections.get(target) ?? [];
        // The target is least likely to have closed the most recently used connection.
        const connection = list.pop();
        if (connection !== undefined && !isUsable(connection, maxIdleMs)) {
            list.push(connection);
            return undefined;
        }
        return connection;
    }

    /** Closes an idle connection, if there is one. */
    function closeOneIdle(): void {
        for (const [oldest] of idleConnections.values()) {
            if (oldest !== undefined) {
                oldest.destroy();
                return;
            }
        }
    }

    function openConnection(target: TargetAddress): TargetConnection {
        if (openConnections.size >= maxConnections) {
            closeOneIdle();
        }
        openedCount += 1;
        const connection: TargetConnection = createTargetConnection({
            address: target.address,
            port: target.port,
            connectTimeoutMs: options.connectTimeoutMs,
            requestIdHeader: options.requestIdHeader,
            now: options.now,
            idle() {
                if (!options.keepsConnections(target.id) || openConnections.size > maxConnections) {
                    connection.destroy();
                    return;
                }
                const list = idleConnections.get(target.id) ?? [];
                list.push(connection);
                idleConnections.set(target.id, list);
            },
            closed() {
                openConnections.delete(connection);
                idleConnections.set(
                    target.id,
                    (idleConnections.get(target.id) ?? []).filter(other => other !== connection),
                );
            },
        });
        openConnections.add(connection);
        return connection;
    }

    return {
        exchange(target, maxIdleMs, request, listener) {
            const reused = takeIdle(target.id, maxIdleMs);
            const connection = reused ?? openConnection(target);
            const control = connection.exchange(request, listener);
            return { ...control, usesNewConnection: reused === undefined };
        },
        hasIdle(target, maxIdleMs) {
            const connection = idleConnections.get(target)?.at(-1);
            return connection !== undefined && isUsable(connection, maxIdleMs);
        },
        closeIdleConnections(target) {
            [...idleConnections.get(target) ?? []].forEach(connection => connection.destroy());
            idleConnections.delete(target);
        },
        closeExpiredConnections() {
            for (const [target, connections] of idleConnections) {
                connections.filter(connection => !isUsable(connection, poolIdleLimitMs)).forEach(connection =>
                    connection.destroy()
                );
                if (idleConnections.get(target)?.length === 0) {
                    idleConnections.delete(target);
                }
            }
        },
        close() {
            [...openConnections].forEach(connection => connection.destroy());
        },
        get openedCount() {
            return openedCount;
        },
        get openCount() {
            return openConnections.size;
        },
    };
}
