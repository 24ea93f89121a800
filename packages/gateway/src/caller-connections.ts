/**
 * Open connections of callers, and the requests on each whose responses have not been sent completely.
 *
 * Node.js takes a connection as idle once its response has been ended, although the response may not have been sent and further
 * ones may wait behind it.
 */

import type { DecisionLog } from "@trefoilladder/telemetry";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import type { FieldPacer } from "./field-pacing";
import { memoryUse } from "./memory-budget";
import type { MemoryBudget, MemoryHolder } from "./memory-budget";
import { createReadHold } from "./read-hold";
import { createRequestTurns } from "./request-turns";
import type { RequestTurns } from "./request-turns";
import { breakOffResponse } from "./response-relay";

/** Registry of the connections. */
export interface CallerConnections {
    /** Adds a connection; it is removed when it closes. Above the limit, the least active one is closed. */
    add(socket: Socket): void;
    /**
     * Adds a request; returns false if an earlier response closes the connection, or if it would have to wait while memory is short,
     * so that the request must not be handled.
     */
    accept(incoming: IncomingMessage, outgoing: ServerResponse): boolean;
    /**
     * Returns undefined if a request is handled at once, otherwise a promise of whether it is; it is not when the connection closes
     * before its turn.
     */
    turnOf(incoming: IncomingMessage): Promise<boolean> | undefined;
    /** Returns what has been read from a connection; undefined for one that has closed. */
    readStateOf(socket: Socket): ReadState | undefined;
    /** Accepts no further request on a connection and closes it after the pending responses. */
    closeAfterPending(socket: Socket): void;
    /** Returns the memory of the connection of a request. */
    memoryOf(incoming: IncomingMessage): Pick<MemoryHolder, "add" | "progress">;
    /** Returns whether a later request on the same connection has been accepted. */
    hasLaterRequest(incoming: IncomingMessage): boolean;
    /** Accepts no further request on the connection of a request, because the response to it closes the connection. */
    acceptNoneAfter(incoming: IncomingMessage): void;
    /** Returns whether requests behind this one were not accepted, so that the response to it has to close the connection. */
    isLastAccepted(incoming: IncomingMessage): boolean;
    /** Marks the begin and the end of reading the body of a request. */
    setReadsBody(incoming: IncomingMessage, reads: boolean): void;
    /**
     * Closes the connections whose responses have all been sent. One that has not carried a request yet may be about to, and is
     * kept as long as any response is pending.
     */
    closeIdle(): void;
    /** Ends the pending responses, visibly incomplete. */
    breakOff(): void;
    /** Closes the connections that have not taken a complete response within a time since an earlier call found it complete. */
    closeStalled(now: number, maxMs: number): void;
    readonly openCount: number;
    /** Number of responses that have not been sent completely. */
    readonly pendingCount: number;
}

/** What has been read from a connection. */
export interface ReadState {
    newestRequest: IncomingMessage | undefined;
    /** Time in milliseconds until which nothing was read because requests waited; undefined if that was never so. */
    lastHeldAt: number | undefined;
    pendingCount: number;
    /** Whether a part of a response has been sent to the oldest pending request. */
    hasBegunResponse: boolean;
}

interface CallerConnection {
    pending: Set<ServerResponse>;
    newestRequest: IncomingMessage | undefined;
    acceptsRequests: boolean;
    turns: RequestTurns;
    /** Whether the response to the last accepted request closes the connection. */
    closesAfterLast: boolean;
    /** The oldest response when it was first found complete, and the time of that. */
    unsent: { outgoing: ServerResponse; since: number; } | undefined;
    /** Requests whose bodies are being read. */
    readingBodies: Set<IncomingMessage>;
    memory: MemoryHolder;
}

/** Options of the registry. */
export interface CallerConnectionOptions {
    budget: Pick<MemoryBudget, "open" | "dropLeastActive" | "acceptsBodies" | "isAmple">;
    fieldPacer: FieldPacer;
    maxConnections: number;
    now(): number;
    log: Pick<DecisionLog, "request" | "count">;
}

/** Memory in bytes of a connection without a request. */
const connectionBytes = 8 * 1024;
/** Memory in bytes of a request, and of each of its header fields; they are on the heap, whose limit is lower than the machine's. */
const requestBytes = 12 * 1024;
const headerFieldBytes = 512;
/** The same while a request waits for its turn; nothing has been copied for its target yet. */
const waitingRequestBytes = 5 * 1024;
const waitingFieldBytes = 128;

/** Memory of a connection that has closed. */
const noMemory: Pick<MemoryHolder, "add" | "progress"> = { add: () => undefined, progress: () => undefined };

/** Creates a registry without connections. */
export function createCallerConnections(options: CallerConnectionOptions): CallerConnections {
    const { budget, fieldPacer, maxConnections, now, log } = options;
    const turns = new WeakMap<IncomingMessage, Promise<boolean>>();
    const connections = new Map<Socket, CallerConnection>();

    function countPending(): number {
        let count = 0;
        connections.forEach(({ pending }) => count += pending.size);
        return count;
    }

    function waitsForCaller({ pending, readingBodies, turns: { isPaced } }: CallerConnection): boolean {
        if (pending.size === 0 || readingBodies.size > 0 || isPaced()) {
            return true;
        }
        const [oldest] = pending;
        return oldest!.writableEnded || oldest!.writableNeedDrain;
    }

    function drop(socket: Socket, connection: CallerConnection): void {
        log.request("", "caller_dropped", {
            pending: connection.pending.size,
            readingBodies: connection.readingBodies.size,
            open: connections.size,
        });
        connection.pending.forEach(breakOffResponse);
        socket.destroy();
    }

    /**
     * Node.js emits `close` only for the response that owns the connection; the ones behind it are told here, so that the attempts
     * for their requests end.
     */
    function closePending({ pending }: CallerConnection): void {
        for (const outgoing of pending) {
            if (outgoing.socket === null) {
                outgoing.destroy();
                outgoing.emit("close");
            }
        }
    }

    function closeAfterPending(socket: Socket, connection: CallerConnection): void {
        connection.closesAfterLast = true;
        connection.acceptsRequests = false;
        connection.turns.endReading();
        if (connection.pending.size === 0) {
            socket.destroySoon();
        }
    }

    return {
        add(socket) {
            if (connections.size >= maxConnections) {
                log.count("caller_connections_at_limit");
                if (!budget.dropLeastActive()) {
                    socket.destroy();
                    return;
                }
            }
            const connection: CallerConnection = {
                pending: new Set(),
                newestRequest: undefined,
                acceptsRequests: true,
                closesAfterLast: false,
                turns: createRequestTurns({
                    readHold: createReadHold(socket),
                    pacer: fieldPacer,
                    now,
                    isOpen: () => !socket.destroyed && !socket.writableEnded,
                    hasAmpleMemory: budget.isAmple,
                }),
                unsent: undefined,
                readingBodies: new Set(),
                memory: budget.open({
                    waitsForPeer: () => waitsForCaller(connection),
                    drop: () => drop(socket, connection),
                }),
            };
            connections.set(socket, connection);
            socket.on("close", () => {
                connections.delete(socket);
                connection.memory.close();
                connection.turns.cancel();
                closePending(connection);
            });
            connection.memory.add(memoryUse.connection, connectionBytes);
        },
        accept(incoming, outgoing) {
            const { socket } = incoming;
            const connection = connections.get(socket);
            if (connection === undefined || !connection.acceptsRequests) {
                // What follows will not be handled either.
                connection?.turns.endReading();
                return false;
            }
            const fields = incoming.rawHeaders.length / 2;
            const bytes = requestBytes + fields * headerFieldBytes;
            const waitingBytes = waitingRequestBytes + fields * waitingFieldBytes;
            const canWait = budget.acceptsBodies() && !connection.turns.waitsTooLong();
            if (connection.turns.hasToWait(bytes) && !canWait) {
                log.request("", "caller_reads_too_late", { pending: connection.pending.size });
                closeAfterPending(socket, connection);
                return false;
            }
            const turn = connection.turns.add({ bytes, fields });
            let chargedBytes = turn === undefined ? bytes : waitingBytes;
            if (turn !== undefined) {
                turns.set(incoming, turn);
                void turn.then(isHandled => {
                    if (isHandled && connection.pending.has(outgoing)) {
                        connection.memory.add(memoryUse.request, bytes - chargedBytes);
                        chargedBytes = bytes;
                    }
                });
            }
            connection.newestRequest = incoming;
            connection.pending.add(outgoing);
            outgoing.on("close", () => {
                connection.pending.delete(outgoing);
                connection.readingBodies.delete(incoming);
                connection.memory.add(memoryUse.request, -chargedBytes);
                if (outgoing.writableFinished) {
                    connection.memory.restart();
                }
                connection.turns.finish(bytes);
                if (connection.closesAfterLast && connection.pending.size === 0) {
                    socket.destroySoon();
                }
            });
            connection.memory.add(memoryUse.request, chargedBytes);
            return !socket.destroyed;
        },
        turnOf: incoming => turns.get(incoming),
        readStateOf(socket) {
            const connection = connections.get(socket);
            if (connection === undefined) {
                return undefined;
            }
            const { newestRequest, turns: { lastHeldAt }, pending } = connection;
            const [oldest] = pending;
            return {
                newestRequest,
                lastHeldAt: lastHeldAt(),
                pendingCount: pending.size,
                hasBegunResponse: oldest?.headersSent === true,
            };
        },
        closeAfterPending(socket) {
            const connection = connections.get(socket);
            if (connection !== undefined) {
                closeAfterPending(socket, connection);
            }
        },
        memoryOf: ({ socket }) => connections.get(socket)?.memory ?? noMemory,
        hasLaterRequest: incoming => connections.get(incoming.socket)?.newestRequest !== incoming,
        acceptNoneAfter(incoming) {
            const connection = connections.get(incoming.socket);
            if (connection !== undefined) {
                connection.acceptsRequests = false;
                connection.turns.cancel();
            }
        },
        isLastAccepted(incoming) {
            const connection = connections.get(incoming.socket);
            return connection !== undefined && connection.closesAfterLast && connection.newestRequest === incoming;
        },
        setReadsBody(incoming, reads) {
            const connection = connections.get(incoming.socket);
            if (reads) {
                connection?.readingBodies.add(incoming);
            }
            else {
                connection?.readingBodies.delete(incoming);
            }
        },
        closeIdle() {
            const closesNew = countPending() === 0;
            for (const [socket, { pending, newestRequest }] of connections) {
                if (pending.size === 0 && (closesNew || newestRequest !== undefined)) {
                    socket.destroy();
                }
            }
        },
        breakOff() {
            for (const { pending } of connections.values()) {
                pending.forEach(breakOffResponse);
            }
        },
        closeStalled(now, maxMs) {
            for (const [socket, connection] of connections) {
                const [oldest] = connection.pending;
                if (oldest === undefined || !oldest.writableEnded) {
                    connection.unsent = undefined;
                }
                else if (connection.unsent?.outgoing !== oldest) {
                    connection.unsent = { outgoing: oldest, since: now };
                }
                else if (now - connection.unsent.since > maxMs) {
                    drop(socket, connection);
                }
            }
        },
        get openCount() {
            return connections.size;
        },
        get pendingCount() {
            return countPending();
        },
    };
}
