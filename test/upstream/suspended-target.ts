import { spawn } from "node:child_process";
import { once } from "node:events";
import { connect } from "node:net";

/** A listening process that is suspended and whose backlog is full, so that further connections to it are not established. */
export interface SuspendedTarget {
    port: number;
    close(): void;
}

/** Program that listens with the shortest backlog, writes its port and suspends itself. */
const program = `
const server = require("node:net").createServer().listen({ port: 0, host: "127.0.0.1", backlog: 1 }, () => {
    require("node:fs").writeSync(1, String(server.address().port));
    process.kill(process.pid, "SIGSTOP");
});`;
/** Connections that fill the backlog; Linux accepts one more than its length. */
const backlogConnections = 2;

/** Starts a suspended target. */
export async function startSuspendedTarget(): Promise<SuspendedTarget> {
    const child = spawn(process.execPath, ["-e", program], { stdio: ["ignore", "pipe", "inherit"] });
    const [written] = await once(child.stdout, "data") as [Buffer];
    const port = Number(written.toString());
    const waiting = Array.from({ length: backlogConnections }, () => connect(port, "127.0.0.1"));
    await Promise.all(waiting.map(socket => once(socket, "connect")));
    return {
        port,
        close() {
            waiting.forEach(socket => socket.destroy());
            child.kill("SIGKILL");
        },
    };
}
