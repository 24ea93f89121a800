import type { ServerResponse } from "node:http";

/** Time for a caller to read an early response while it still sends its body, in milliseconds. */
const lingerMs = 1_000;

/**
 * Closes the connection some time after a response that ends before the request body has. Closing it at once would
 * reset it, and the caller would lose the response.
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
