import { createRouter } from "@trefoilladder/routing";
import type { Attempt, Router } from "@trefoilladder/routing";
import { once } from "node:events";
import { createServer } from "node:net";
import type { AddressInfo, Server, Socket } from "node:net";
import { setTimeout as delay } from "node:timers/promises";
import { service } from "./synthetic-service";

interface Trial {
    server: Server;
    router: Router;
    /** Connections in the order in which they were accepted. */
    sockets: Socket[];
    /** Index of the connection of each request. */
    requestConnections: number[];
    attempt(): Promise<Attempt>;
    close(): Promise<void>;
}

const response = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";

const openTrials: Trial[] = [];

/** Starts a target that answers each request with `answer`, given the index of its connection. */
async function startTrial(answer: (socket: Socket, connection: number) => void): Promise<Trial> {
    const sockets: Socket[] = [];
    const requestConnections: number[] = [];
    const server = createServer(socket => {
        const connection = sockets.push(socket) - 1;
        socket.on("data", () => {
            requestConnections.push(connection);
            answer(socket, connection);
        });
        socket.on("error", () => {});
    }).listen(0, "127.0.0.1");
    await once(server, "listening");
    const { port } = server.address() as AddressInfo;
    // Probes would open additional connections.
    const router = createRouter({ policy: { probeIntervalMs: 1e9 } });
    router.setProbingMembers([{ id: "other", domain: "a" }]);
    router.updateTargets([{
        id: "target-0",
        role: "target",
        service,
        address: "127.0.0.1",
        port,
        domain: "a",
        state: "live",
    }]);
    const trial: Trial = {
        server,
        router,
        sockets,
        requestConnections,
        async attempt() {
            const acquired = await router.acquire({
                service,
                organisation: "laurel",
                deadlineAt: performance.now() + 5_000,
                excludedTargets: new Set(),
                signal: new AbortController().signal,
            });
            return acquired._unsafeUnwrap();
        },
        async close() {
            await router.close();
            sockets.forEach(socket => socket.destroy());
            server.close();
            await once(server, "close");
        },
    };
    openTrials.push(trial);
    return trial;
}

// A server that a failed test leaves open would prevent the test runner from exiting.
afterEach(async () => {
    await Promise.all(openTrials.splice(0).map(trial => trial.close()));
});

async function request(trial: Trial, signal?: AbortSignal): Promise<string> {
    const attempt = await trial.attempt();
    try {
        const answer = await attempt.dispatcher.request({ path: "/nominees", method: "GET", signal });
        const body = await answer.body.text();
        attempt.release({ outcome: "completed" });
        // The connection becomes idle one event loop turn after the body ends.
        await delay(5);
        return body;
    }
    catch (error) {
        attempt.release({ outcome: "cancelled" });
        return (error as Error).name;
    }
}

it("guards against opening a connection for each request", async () => {
    const trial = await startTrial(socket => socket.write(response));
    expect(trial.sockets).toHaveLength(0);
    expect(await request(trial)).toBe("ok");
    expect(await request(trial)).toBe("ok");
    expect(trial.sockets).toHaveLength(1);
});

it("guards against reusing a connection whose request was cancelled or timed out and may answer late", async () => {
    const trial = await startTrial((socket, connection) => {
        setTimeout(
            () => socket.write(connection === 0 ? response.replace("ok", "xx") : response),
            connection === 0 ? 150 : 0,
        );
    });
    expect(await request(trial, AbortSignal.timeout(50))).toBe("TimeoutError");
    expect(await request(trial)).toBe("ok");
    await delay(200);
    expect(await request(trial)).toBe("ok");
    expect(trial.requestConnections.filter(connection => connection === 0)).toHaveLength(1);
});

it("guards against using bytes after a response as the response to the next request", async () => {
    const trial = await startTrial((socket, connection) => {
        socket.write(connection === 0 ? `${response}${response.replace("ok", "xx")}` : response);
    });
    expect(await request(trial)).toBe("ok");
    expect(await request(trial)).toBe("ok");
    expect(trial.requestConnections.filter(connection => connection === 0)).toHaveLength(1);
});

it("guards against using bytes received on an idle connection as the next response", async () => {
    const trial = await startTrial(socket => socket.write(response));
    await request(trial);
    trial.sockets[0]!.write(response.replace("ok", "xx"));
    await delay(50);
    expect(await request(trial)).toBe("ok");
    expect(trial.requestConnections.filter(connection => connection === 0)).toHaveLength(1);
});

it("guards against more connections to a target than its in-flight limit", async () => {
    const trial = await startTrial(socket => setTimeout(() => socket.write(response), 20));
    const bodies = await Promise.all(Array.from({ length: 40 }, () => request(trial)));
    expect(bodies.every(body => body === "ok")).toBe(true);
    expect(trial.sockets.length).toBeLessThanOrEqual(8);
});

it("guards against aborting a request in progress when its target leaves the list", async () => {
    const trial = await startTrial(socket => setTimeout(() => socket.write(response), 100));
    const running = request(trial);
    await delay(30);
    trial.router.updateTargets([]);
    expect(await running).toBe("ok");
});
