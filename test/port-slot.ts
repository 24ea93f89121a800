import { once } from "node:events";
import { createServer } from "node:net";
import { setTimeout as delay } from "node:timers/promises";

// Two runs of jest on one machine, for example of two checkouts, would otherwise choose among the same ports: a port is unused between
// its check and its use, and instances at other loopback addresses are not seen by the check. A request then reached an instance of
// the other run.

/** First port of the tests; all are below the kernel's ephemeral range and the ports of scripts/start.mjs and the experiment tool. */
const firstPort = 10_000;
/** Number of runs of jest that can use ports at the same time. */
const slotCount = 6;
/** Number of ports that the workers of a run share. */
export const portsPerRun = 1_320;
/** The first port of a slot is its lock. */
const portsPerSlot = portsPerRun + 1;
/** Time in milliseconds between two attempts to claim a slot. */
const retryMs = 500;

/** Name of the environment variable that tells the workers the first port of their run. */
export const firstPortVariable = "TEST_FIRST_PORT";

/** Listens on the lock port of a slot until this process ends; resolves to whether it was free. */
async function holdsLock(port: number): Promise<boolean> {
    const lock = createServer().unref();
    lock.listen(port, "127.0.0.1");
    try {
        await once(lock, "listening");
        return true;
    }
    catch (error) {
        if ((error as NodeJS.ErrnoException).code === "EADDRINUSE") {
            return false;
        }
        throw error;
    }
}

async function claimPort(): Promise<number> {
    for (let slot = 0;; slot = (slot + 1) % slotCount) {
        const port = firstPort + slot * portsPerSlot;
        if (await holdsLock(port)) {
            return port + 1;
        }
        if (slot === slotCount - 1) {
            await delay(retryMs);
        }
    }
}

/** Claims the ports of this run of jest; waits while as many runs as there are slots hold one. */
export async function claimPorts(): Promise<void> {
    process.env[firstPortVariable] = String(await claimPort());
}

// Jest expects the function of `globalSetup` as default export.
export { claimPorts as default };
