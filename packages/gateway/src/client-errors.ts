/**
 * Handling of heads that cannot be parsed or that do not arrive in time.
 */

import type { Socket } from "node:net";
import type { CallerConnections, ReadState } from "./caller-connections";

/** Statuses by error code; other codes mean a request that cannot be parsed. */
const statuses: Record<string, string> = {
    HPE_HEADER_OVERFLOW: "431 Request Header Fields Too Large",
    HPE_CHUNK_EXTENSIONS_OVERFLOW: "413 Payload Too Large",
    ERR_HTTP_REQUEST_TIMEOUT: "408 Request Timeout",
};
const malformedStatus = "400 Bad Request";

/** Dependencies of the handling. */
export interface ClientErrorParts {
    connections: Pick<CallerConnections, "readStateOf" | "closeAfterPending">;
    now(): number;
    /** Returns the time in milliseconds in which a head has to arrive. */
    headTimeoutMs(): number;
    /** Called when the parser has refused a head because of its length. */
    headTooLong(): void;
}

/** Creates the listener for errors of connections. */
export function createClientErrors(parts: ClientErrorParts): (error: NodeJS.ErrnoException, socket: Socket) => void {
    const { connections, now } = parts;

    /** Returns the milliseconds left for a head that was not read for a time because requests before it waited. */
    function remainingMs({ lastHeldAt }: ReadState): number {
        return lastHeldAt === undefined ? 0 : lastHeldAt + parts.headTimeoutMs() - now();
    }

    /** Responds in place of a request, unless the response would be taken as that of an earlier one. */
    function refuse(error: NodeJS.ErrnoException, socket: Socket, state: ReadState | undefined): void {
        const isNewestComplete = state?.newestRequest?.complete !== false;
        if (state !== undefined && state.pendingCount > 0 && isNewestComplete) {
            connections.closeAfterPending(socket);
            return;
        }
        const isForBody = state?.pendingCount === 1 && !state.hasBegunResponse;
        if (socket.writable && (state === undefined || state.pendingCount === 0 || isForBody)) {
            socket.write(`HTTP/1.1 ${statuses[error.code ?? ""] ?? malformedStatus}\r\nConnection: close\r\n\r\n`);
        }
        socket.destroy(error);
    }

    /** Waits for a head that has more time left; one that has been read completely is no longer the newest request. */
    function refuseWhenLate(error: NodeJS.ErrnoException, socket: Socket, state: ReadState): void {
        const timer = setTimeout(() => {
            const next = connections.readStateOf(socket);
            if (next === undefined || next.newestRequest !== state.newestRequest) {
                return;
            }
            if (remainingMs(next) > 0) {
                refuseWhenLate(error, socket, next);
            }
            else {
                refuse(error, socket, next);
            }
        }, remainingMs(state));
        timer.unref();
    }

    return (error, socket) => {
        if (error.code === "HPE_HEADER_OVERFLOW") {
            parts.headTooLong();
        }
        const state = connections.readStateOf(socket);
        if (error.code === "ERR_HTTP_REQUEST_TIMEOUT" && state !== undefined && remainingMs(state) > 0) {
            refuseWhenLate(error, socket, state);
        }
        else {
            refuse(error, socket, state);
        }
    };
}
