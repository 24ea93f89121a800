import type { ServerResponse } from "node:http";

/** Time in milliseconds for a caller that is still sending its body to read an early response. */
const lingerMs = 1_000;

/**
 * Closes the connection after a delay if the response ends before the request body. Closing it immediately would reset
 * it, and the caller would lose the response.
 */
export function closeAfterUnreadBody(response: ServerResponse): void {
    const request = response.req;
    if (request.complete) {
        return;
    }
    response.once("finish", () => {
        const { socket } = request;
        const timer = setTimeout(() => {
            if (!request.complete) {
                socket.destroy();
            }
        }, lingerMs);
        socket.once("close", () => clearTimeout(timer));
        request.resume();
    });
}
