/**
 * Order in which the requests of one connection are handled.
 *
 * Load pattern: callers that send many requests without waiting for the responses. What one connection has in hand is bounded; the
 * requests behind that wait, and nothing more is read from the connection until the last of them is handled.
 */

import type { FieldPacer } from "./field-pacing";
import type { ReadHold } from "./read-hold";

/** Size of a request. */
export interface RequestSize {
    /** Memory in bytes. */
    bytes: number;
    /** Number of header fields. */
    fields: number;
}

/** Turns of the requests on a connection. */
export interface RequestTurns {
    /** Returns whether a further request of this size has to wait. */
    hasToWait(bytes: number): boolean;
    /**
     * Adds a request; returns undefined if it may be handled at once, otherwise a promise of whether it is handled. It is not when the
     * connection closes before its turn.
     */
    add(size: RequestSize): Promise<boolean> | undefined;
    /** Frees the memory of a request whose turn has come. */
    finish(bytes: number): void;
    /** Reads nothing further; requests that wait are handled in their turn. */
    endReading(): void;
    /** Ends the wait of all requests, which are not handled. */
    cancel(): void;
    /** Returns whether a request that has to wait would wait too long, since heads with very many fields are paced. */
    waitsTooLong(): boolean;
    /** Returns whether requests wait although none is being handled, since heads with very many fields are paced. */
    isPaced(): boolean;
    /** Time at which reading was last released, in milliseconds; now while it is held, and undefined if it never was. */
    lastHeldAt(): number | undefined;
}

/** Dependencies of the turns. */
export interface RequestTurnParts {
    readHold: ReadHold;
    pacer: FieldPacer;
    now(): number;
    /** Returns whether a response to a request whose turn comes can still be sent. */
    isOpen(): boolean;
    /** Returns whether little memory is held for callers in the whole process. */
    hasAmpleMemory(): boolean;
}

/**
 * Memory in bytes of the requests of one connection that are handled at once, about 64 of a usual size, and 16 while many requests
 * and responses are held: crowds that read no responses kept a process busy for half a minute with 64 each.
 */
const maxHandledBytes = 1024 * 1024;
const maxHandledBytesWhenBusy = 256 * 1024;

/** Creates the turns of a connection without requests. */
export function createRequestTurns(parts: RequestTurnParts): RequestTurns {
    const { readHold, pacer, now, isOpen, hasAmpleMemory } = parts;

    interface Waiting {
        bytes: number;
        resolve(isHandled: boolean): void;
    }

    let waiting: Waiting[] = [];
    let handledBytes = 0;
    /** Time until which no request behind a head with very many fields is handled. */
    let pacedUntil = -Infinity;
    let paceTimer: NodeJS.Timeout | undefined;
    let isCancelled = false;
    let hasEndedReading = false;
    let releasedAt: number | undefined;

    function hasRoom(bytes: number): boolean {
        const allowedBytes = hasAmpleMemory() ? maxHandledBytes : maxHandledBytesWhenBusy;
        return (handledBytes === 0 || handledBytes + bytes <= allowedBytes) && now() >= pacedUntil;
    }

    function hasToWait(bytes: number): boolean {
        return waiting.length > 0 || !hasRoom(bytes);
    }

    function advance(): void {
        if (isCancelled || waiting.length === 0 || !isOpen()) {
            return;
        }
        while (waiting.length > 0 && hasRoom(waiting[0]!.bytes)) {
            const { bytes, resolve } = waiting.shift()!;
            handledBytes += bytes;
            resolve(true);
        }
        if (waiting.length === 0 && !hasEndedReading) {
            releasedAt = now();
            readHold.release();
        }
        if (waiting.length > 0 && now() < pacedUntil) {
            paceTimer ??= setTimeout(() => {
                paceTimer = undefined;
                advance();
            }, Math.ceil(pacedUntil - now()));
        }
    }

    return {
        hasToWait,
        add({ bytes, fields }) {
            const waits = hasToWait(bytes);
            pacedUntil = Math.max(pacedUntil, now() + pacer.delayAfterMs(fields));
            if (!waits) {
                handledBytes += bytes;
                return undefined;
            }
            readHold.hold();
            const turn = new Promise<boolean>(resolve => waiting.push({ bytes, resolve }));
            advance();
            return turn;
        },
        finish(bytes) {
            handledBytes -= bytes;
            advance();
        },
        endReading() {
            hasEndedReading = true;
            readHold.hold();
        },
        cancel() {
            isCancelled = true;
            clearTimeout(paceTimer);
            waiting.forEach(({ resolve }) => resolve(false));
            waiting = [];
        },
        waitsTooLong: () => now() < pacedUntil && pacer.isExceeded(),
        isPaced: () => waiting.length > 0 && handledBytes === 0,
        lastHeldAt: () => readHold.isHeld ? now() : releasedAt,
    };
}
