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

/** Most bytes that an endless answer may cost in these tests; what the sockets hold in between is some hundred kilobytes. */
const maxEndlessBytes = 8_000_000;

/** Writes a text again and again until the connection is closed; `count` gets the bytes of each write. */
function writeEndlessly(socket: Socket, text: string, count: (bytes: number) => void): void {
    const piece = text.repeat(Math.ceil(16_000 / text.length));
    const writeMore = () => {
        while (!socket.destroyed) {
            count(piece.length);
            if (!socket.write(piece)) {
                socket.once("drain", writeMore);
                return;
            }
        }
    };
    writeMore();
}

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

    // Guards against a target in trouble that writes without end: the memory and the processor of an instance must not follow.
    test.each([
        ["no response", "", "x"],
        ["a header", "HTTP/1.1 200 OK\r\nX: ", "x"],
        ["headers", "HTTP/1.1 200 OK\r\n", "X: y\r\n"],
        ["empty lines", "", "\r\n"],
        ["interim responses", "", "HTTP/1.1 100 Continue\r\n\r\n"],
        ["responses to an earlier request", "", responseText("earlier")],
        [
            "the body of an earlier request",
            "HTTP/1.1 200 OK\r\nRequest-Id: earlier\r\nContent-Length: 99999999999\r\n\r\n",
            "x",
        ],
        ["a chunk size", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;x=", "x"],
        ["a line behind a chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx", "x"],
        ["trailers", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X: y\r\n"],
    ])("fail on %s without end", async (_, beginning, repeated) => {
        let written = 0;
        await start(socket => {
            socket.write(beginning);
            writeEndlessly(socket, repeated, bytes => written += bytes);
        });
        expect(await exchange(pool, target.port, "a")).toMatchObject({ failure: "garbled" });
        expect(written).toBeLessThan(maxEndlessBytes);
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

    // Guards against requests that wait for their connection while the target turns the instance away.
    test("sends nothing when the request is no longer wanted once the connection is open", async () => {
        const target = await startScriptedTarget((socket, _, id) => void socket.write(responseText(id)));
        const pool = createPool();
        const outcome = await exchange(pool, target.port, "a", 1_000, () => false);
        expect(outcome).toMatchObject({ failure: "withdrawn", body: "" });
        expect(target.requests).toEqual([]);
        pool.close();
        await target.close();
    });
});
