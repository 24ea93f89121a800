/**
 * Kept connections to targets.
 */

import { createTargetConnection } from "./target-connection";
import type { ExchangeListener, OutgoingRequest, TargetConnection } from "./target-connection";

/** Where a target listens. */
export interface TargetAddress {
    id: string;
    address: string;
    port: number;
}

/** A running exchange. */
export interface Exchange {
    /** Ends the exchange without a further call of its listener. */
    cancel(): void;
    pause(): void;
    resume(): void;
    /** Whether the request goes over a new connection. */
    readonly isFresh: boolean;
}

/** Connections to all targets. */
export interface ConnectionPool {
    /** Sends a request over a connection that has been idle for at most `maxIdleMs`, or over a new one. */
    exchange(target: TargetAddress, maxIdleMs: number, request: OutgoingRequest, listener: ExchangeListener): Exchange;
    /** Closes the idle connections to a target that is gone or leaves. */
    forget(target: string): void;
    /** Closes connections that have been idle for too long. */
    sweep(): void;
    close(): void;
    /** Number of connections opened so far. */
    readonly opened: number;
}

/** Options of the pool. */
export interface PoolOptions {
    now(): number;
    connectTimeoutMs: number;
    requestIdHeader: string;
    /** Tells whether a connection to a target is kept for further requests. */
    keeps(target: string): boolean;
}

/** Longest time that a connection is kept idle, in milliseconds. */
const maxKeptMs = 9_000;

/** Creates a pool without connections. */
export function createConnectionPool(options: PoolOptions): ConnectionPool {
    const idle = new Map<string, TargetConnection[]>();
    const open = new Set<TargetConnection>();
    let opened = 0;

    function isUsable(connection: TargetConnection, maxIdleMs: number): boolean {
        const idleMs = options.now() - (connection.idleSince ?? -Infinity);
        return connection.isOpen && idleMs <= Math.min(maxIdleMs, connection.idleLimitMs);
    }

    function takeIdle(target: string, maxIdleMs: number): TargetConnection | undefined {
        const list = idle.get(target) ?? [];
        // The connection used last is the least likely one to have been closed by the target.
        const connection = list.pop();
        if (connection !== undefined && !isUsable(connection, maxIdleMs)) {
            list.push(connection);
            return undefined;
        }
        return connection;
    }

    function openConnection(target: TargetAddress): TargetConnection {
        opened += 1;
        const connection: TargetConnection = createTargetConnection({
            address: target.address,
            port: target.port,
            connectTimeoutMs: options.connectTimeoutMs,
            requestIdHeader: options.requestIdHeader,
            now: options.now,
            idle() {
                if (!options.keeps(target.id)) {
                    connection.destroy();
                    return;
                }
                const list = idle.get(target.id) ?? [];
                list.push(connection);
                idle.set(target.id, list);
            },
            closed() {
                open.delete(connection);
                idle.set(target.id, (idle.get(target.id) ?? []).filter(other => other !== connection));
            },
        });
        open.add(connection);
        return connection;
    }

    return {
        exchange(target, maxIdleMs, request, listener) {
            const kept = takeIdle(target.id, maxIdleMs);
            const connection = kept ?? openConnection(target);
            connection.exchange(request, listener);
            return {
                cancel: () => connection.destroy(),
                pause: () => connection.pause(),
                resume: () => connection.resume(),
                isFresh: kept === undefined,
            };
        },
        forget(target) {
            [...idle.get(target) ?? []].forEach(connection => connection.destroy());
            idle.delete(target);
        },
        sweep() {
            for (const [target, connections] of idle) {
                connections.filter(connection => !isUsable(connection, maxKeptMs)).forEach(connection =>
                    connection.destroy()
                );
                if (idle.get(target)?.length === 0) {
                    idle.delete(target);
                }
            }
        },
        close() {
            [...open].forEach(connection => connection.destroy());
        },
        get opened() {
            return opened;
        },
    };
}
