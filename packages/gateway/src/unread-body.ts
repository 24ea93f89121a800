import type { IncomingMessage } from "node:http";

/** Interval in milliseconds at which the rest of a body is checked. */
const checkIntervalMs = 250;

/**
 * Bounds how much of a refused body is read so that its connection can be kept. Closes the connection when more bytes than these
 * have arrived, or the body has not ended after this time.
 */
export function boundUnreadBody(
    incoming: IncomingMessage,
    { maxBytes, maxMs, now, exceeded }: {
        maxBytes: number;
        maxMs: number;
        now(): number;
        exceeded(bytes: number): void;
    },
): void {
    const { socket } = incoming;
    const firstByte = socket.bytesRead;
    const startedAt = now();
    const timer = setInterval(() => {
        if (incoming.complete || socket.destroyed) {
            clearInterval(timer);
            return;
        }
        const bytes = socket.bytesRead - firstByte;
        if (bytes > maxBytes || now() - startedAt > maxMs) {
            clearInterval(timer);
            exceeded(bytes);
            socket.destroy();
        }
    }, checkIntervalMs);
}
