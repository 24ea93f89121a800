import { randomInt } from "node:crypto";
import { createSocket } from "node:dgram";
import { once } from "node:events";
import { createServer } from "node:net";
import { firstPortVariable, portsPerRun } from "./port-slot";

/** Number of jest workers of a run. Each has its own ports, since a port is unused between its check and its use. */
const workerCount = 12;
/** Number of ports of each jest worker. */
export const portsPerWorker = portsPerRun / workerCount;

const workerFirstPort = Number(process.env[firstPortVariable])
    + Number(process.env["JEST_WORKER_ID"] ?? 1) % workerCount * portsPerWorker;
/** Random, so that the test files of a worker start at different ports. */
let nextPort = randomInt(portsPerWorker);

/** Returns whether a socket that is being bound gets its address; fails on an error other than an address in use. */
async function getsAddress(socket: NodeJS.EventEmitter & { close(): void; }): Promise<boolean> {
    try {
        await once(socket, "listening");
    }
    catch (error) {
        if ((error as NodeJS.ErrnoException).code === "EADDRINUSE") {
            return false;
        }
        throw error;
    }
    const closed = once(socket, "close");
    socket.close();
    await closed;
    return true;
}

/** Addresses of the first instance of the fleets in the tests; the others of a fleet use the same ports. */
const firstAddresses = ["127.0.0.1", "127.0.1.1"];

async function isFree(port: number): Promise<boolean> {
    for (const address of firstAddresses) {
        const isAddressFree = await getsAddress(createServer().listen(port, address))
            && await getsAddress(createSocket("udp4").bind(port, address));
        if (!isAddressFree) {
            return false;
        }
    }
    return true;
}

/** Returns a loopback port that was free for TCP and UDP at the time of the check; another process may take it before it is used. */
export async function freePort(): Promise<number> {
    for (let checked = 0; checked < portsPerWorker; checked++) {
        const port = workerFirstPort + nextPort;
        nextPort = (nextPort + 1) % portsPerWorker;
        if (await isFree(port)) {
            return port;
        }
    }
    throw new Error(`no free port from ${workerFirstPort} to ${workerFirstPort + portsPerWorker - 1}`);
}
