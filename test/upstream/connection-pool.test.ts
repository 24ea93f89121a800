import type { ConnectionPool } from "@trefoilladder/upstream";
import type { Socket } from "node:net";
import { setTimeout as delay } from "node:timers/promises";
import { createPool, exchange, responseText, startScriptedTarget } from "./scripted-target";
import type { ScriptedTarget } from "./scripted-target";

let pool: ConnectionPool;
let target: ScriptedTarget;

async function start(answer: (socket: Socket, request: number, id: string) => void): Promise<void> {
    pool = createPool();
    target = await startScriptedTarget(answer);
}

afterEach(async () => {
    pool.close();
    await target.close();
});

describe("connections to targets", () => {
    test("carry further requests while they are kept", async () => {
        await start((socket, _, id) => socket.write(responseText(id)));
        expect(await exchange(pool, target.port, "a")).toMatchObject({ body: "ok" });
        expect(await exchange(pool, target.port, "b")).toMatchObject({ body: "ok" });
        expect(target.connections()).toBe(1);
    });

    test("are not used again after the idle time that a caller accepts", async () => {
        await start((socket, _, id) => socket.write(responseText(id)));
        await exchange(pool, target.port, "a");
        await delay(30);
        await exchange(pool, target.port, "b", 10);
        expect(target.connections()).toBe(2);
    });

    test("are not used again after the target said it closes them", async () => {
        await start((socket, _, id) => socket.write(responseText(id, "ok", ["Connection: close"])));
        await exchange(pool, target.port, "a");
        await exchange(pool, target.port, "b");
        expect(target.connections()).toBe(2);
    });

    // A late second response must neither reach the next request's caller nor cost the next request its own response.
    test("skip a response to an earlier request", async () => {
        await start((socket, request, id) => {
            socket.write(
                request === 2 ? responseText("a", "late") + responseText(id, "own") : responseText(id, "first"),
            );
        });
        expect(await exchange(pool, target.port, "a")).toMatchObject({ body: "first" });
        expect(await exchange(pool, target.port, "b")).toMatchObject({ body: "own", skipped: ["a"] });
    });

    test("are given up when bytes follow a complete response", async () => {
        await start((socket, _, id) => socket.write(responseText(id) + responseText(id, "again")));
        expect(await exchange(pool, target.port, "a")).toMatchObject({ body: "ok" });
        expect(await exchange(pool, target.port, "b")).toMatchObject({ body: "ok" });
        expect(target.connections()).toBe(2);
    });

    test("are given up when bytes arrive while no request waits", async () => {
        await start((socket, request, id) => {
            socket.write(responseText(id));
            if (request === 1) {
                setTimeout(() => socket.write(responseText(id, "again")), 10);
            }
        });
        await exchange(pool, target.port, "a");
        await delay(50);
        await exchange(pool, target.port, "b");
        expect(target.connections()).toBe(2);
    });

    test.each([
        ["no response", "what is this\r\n\r\n", "garbled"],
        ["a length that is no number", "HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\nok", "garbled"],
        // The parser library takes such a size for the end of the body.
        [
            "a chunk size that is no number",
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\nzz\r\n\r\n",
            "garbled",
        ],
    ])("fail on %s", async (_, text, failure) => {
        await start(socket => socket.write(text));
        expect(await exchange(pool, target.port, "a")).toMatchObject({ failure });
    });

    test("fail when a response with a length breaks off", async () => {
        await start((socket, _, id) => socket.end(responseText(id, "whole").slice(0, -2)));
        expect(await exchange(pool, target.port, "a")).toMatchObject({ failure: "broken" });
    });

    test("end a response without a length with the connection, but not with its reset", async () => {
        const text = "HTTP/1.1 200 OK\r\nRequest-Id: a\r\n\r\nbody";
        await start((socket, request) => {
            socket.write(text);
            setTimeout(() => request === 1 ? socket.end() : socket.resetAndDestroy(), 20);
        });
        expect(await exchange(pool, target.port, "a")).toMatchObject({ body: "body" });
        expect(await exchange(pool, target.port, "a")).toMatchObject({ failure: "broken" });
    });

    test("tell a refused connection from a broken one", async () => {
        await start(socket => socket.resetAndDestroy());
        expect(await exchange(pool, target.port, "a")).toMatchObject({ failure: "broken" });
        expect(await exchange(pool, 1, "a")).toMatchObject({ failure: "unreachable" });
    });

    // Guards against the end of the process when a target's address has a port that no socket can have.
    test("are unreachable at a port out of range", async () => {
        await start(socket => socket.resetAndDestroy());
        expect(await exchange(pool, 70_000, "a")).toMatchObject({ failure: "unreachable" });
    });
});
