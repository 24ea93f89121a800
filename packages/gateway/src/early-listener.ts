/**
 * Listener for callers that is opened before the rest of the program is loaded.
 *
 * Load pattern: all instances restart at once while callers go on. On a small instance, loading the program takes a few tenths of
 * a second; connections that callers open meanwhile wait in the backlog instead of being refused.
 */

import { createServer } from "node:net";
import type { Server } from "node:net";

/** Number of connections that wait until the program has been loaded. */
const backlog = 511;

/**
 * Opens the listener; resolves with undefined when the address cannot be used, which the gateway reports when it opens its own.
 * The caller hands the listener to the HTTP server before the event loop continues, so that no connection is accepted here.
 */
export function openEarlyListener(host: string, port: number): Promise<Server | undefined> {
    return new Promise(resolve => {
        const server = createServer();
        server.once("error", () => resolve(undefined));
        server.listen({ host, port, backlog }, () => resolve(server));
    });
}
