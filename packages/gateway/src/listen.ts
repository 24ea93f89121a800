import { Failure } from "@trefoilladder/failures";
import { splitAddress } from "@trefoilladder/mesh";
import type { Server } from "node:http";
import type { Server as Listener } from "node:net";

/** Starts a server, on a listener that is already open or on a new one; fails with `listen_failed` when the address cannot be used. */
export function listen(server: Server, address: string, listener?: Listener): Promise<void> {
    const { host, port } = splitAddress(address);
    return new Promise((resolve, reject) => {
        const fail = (cause: Error) => reject(new Failure("listen_failed", `cannot listen on ${address}`, { cause }));
        server.once("error", fail);
        server.listen(listener ?? { host, port, backlog: 511 }, () => {
            server.off("error", fail);
            resolve();
        });
    });
}
