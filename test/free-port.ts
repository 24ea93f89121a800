import { once } from "node:events";
import { createServer } from "node:net";
import type { AddressInfo } from "node:net";

/** Returns a loopback port that was free at the time of the check; another process may take it before it is used. */
export async function freePort(): Promise<number> {
    const server = createServer().listen(0, "127.0.0.1");
    await once(server, "listening");
    const { port } = server.address() as AddressInfo;
    server.close();
    await once(server, "close");
    return port;
}
