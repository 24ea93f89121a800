import type { ConnectionPool, Exchange } from "@trefoilladder/upstream";
import type { Socket } from "node:net";
import { setTimeout as delay } from "node:timers/promises";
import { connectTimeoutMs, createPool, exchange, responseText, startScriptedTarget } from "./scripted-target";
import type { ScriptedTarget } from "./scripted-target";
import { startSuspendedTarget } from "./suspended-target";

let pool: ConnectionPool;
let target: ScriptedTarget;

async function start(respond: (socket: Socket, request: number, id: string) => void): Promise<void> {
    pool = createPool();
    target = await startScriptedTarget(respond);
}

afterEach(async () => {
    pool.close();
    await target.close();
});

/** Maximum bytes that a target can write of an endless response; socket buffers hold some hundred kilobytes of them. */
const maxEndlessBytes = 8_000_000;

/** Writes a text repeatedly until the connection is closed; `count` receives the number of bytes of each write. */
function writeEndlessly(socket: Socket, text: string, count: (bytes: number) => void): void {
    const block = text.repeat(Math.ceil(16_000 / text.length));
    const writeMore = () => {
        while (!socket.destroyed) {
            count(block.length);
            if (!socket.write(block)) {
                socket.once("drain", writeMore);
                return;
            }
        }
    };
    writeMore();
}

/** Keeps the event loop from handling events for a time in milliseconds. */
function blockEventLoop(ms: number): void {
    const endAt = performance.now() + ms;
    while (performance.now() < endAt) {
        // Nothing else may run.
    }
}

describe("connections to targets", () => {
    test("are reused for further requests", async () => {
        await start((socket, _, id) => socket.write(responseText(id)));
        expect(await exchange(pool, target.port, "a")).toMatchObject({ body: "ok" });
        expect(await exchange(pool, target.port, "b")).toMatchObject({ body: "ok" });
        expect(target.connections()).toBe(1);
    });

    // Guards against a response that is never read: the previous one on its connection was paused in its last read.
    test("are read again after a response that was paused at its end", async () => {
        await start((socket, _, id) => socket.write(responseText(id)));
        await exchange(pool, target.port, "a", { onData: control => control.pause() });
        expect(await exchange(pool, target.port, "b")).toMatchObject({ body: "ok" });
        expect(target.connections()).toBe(1);
    });

    // Guards against a caller whose response stalls because the previous caller on the connection is slow or leaves.
    test("are not controlled by an exchange that has ended", async () => {
        await start((socket, _, id) => socket.write(responseText(id)));
        let first: Exchange | undefined;
        await exchange(pool, target.port, "a", { onData: control => first = control });
        const second = exchange(pool, target.port, "b");
        first!.pause();
        first!.cancel();
        expect(await second).toMatchObject({ body: "ok" });
        expect(target.connections()).toBe(1);
    });

    test("are not reused after the maximum idle time of the caller", async () => {
        await start((socket, _, id) => socket.write(responseText(id)));
        await exchange(pool, target.port, "a");
        await delay(30);
        expect(pool.hasIdle("t", 10)).toBe(false);
        expect(pool.hasIdle("t", 5_000)).toBe(true);
        await exchange(pool, target.port, "b", { maxIdleMs: 10 });
        expect(target.connections()).toBe(2);
    });

    test("are not reused after the target announced that it closes them", async () => {
        await start((socket, _, id) => socket.write(responseText(id, "ok", ["Connection: close"])));
        await exchange(pool, target.port, "a");
        await exchange(pool, target.port, "b");
        expect(target.connections()).toBe(2);
    });

    // Guards against a late second response that reaches the next request's caller or costs that request its own response.
    test("skip a response to an earlier request", async () => {
        await start((socket, request, id) => {
            socket.write(
                request === 2 ? responseText("a", "late") + responseText(id, "own") : responseText(id, "first"),
            );
        });
        expect(await exchange(pool, target.port, "a")).toMatchObject({ body: "first" });
        expect(await exchange(pool, target.port, "b")).toMatchObject({ body: "own", skipped: ["a"] });
    });

    test("are closed when bytes follow a complete response", async () => {
        await start((socket, _, id) => socket.write(responseText(id) + responseText(id, "again")));
        expect(await exchange(pool, target.port, "a")).toMatchObject({ body: "ok" });
        expect(await exchange(pool, target.port, "b")).toMatchObject({ body: "ok" });
        expect(target.connections()).toBe(2);
    });

    test("are closed when bytes arrive while no request is pending", async () => {
        let first: Socket | undefined;
        await start((socket, _, id) => {
            first ??= socket;
            socket.write(responseText(id));
        });
        await exchange(pool, target.port, "a");
        const closed = new Promise(resolve => first!.once("close", resolve));
        first!.write(responseText("a", "again"));
        await closed;
        await exchange(pool, target.port, "b");
        expect(target.connections()).toBe(2);
    });

    test.each([
        ["bytes that are not HTTP", "what is this\r\n\r\n", "garbled"],
        ["a length that is not a number", "HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\nok", "garbled"],
        // The parser library interprets such a size as the end of the body.
        [
            "a chunk size that is not a number",
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\nzz\r\n\r\n",
            "garbled",
        ],
        // The library would take the chunks of such a body for the body itself.
        [
            "an encoding beside chunks",
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\nContent-Length: 12\r\n\r\n2\r\nok\r\n0\r\n\r\n",
            "garbled",
        ],
        [
            "two encodings",
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\nContent-Length: 12\r\n\r\n"
            + "2\r\nok\r\n0\r\n\r\n",
            "garbled",
        ],
    ])("fail on %s", async (_, text, failure) => {
        await start(socket => socket.write(text));
        expect(await exchange(pool, target.port, "a")).toMatchObject({ failure });
    });

    // Guards against a faulty target that writes without end and exhausts the memory and CPU of an instance.
    test.each([
        ["bytes that are not HTTP", "", "x"],
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
        ["a line after a chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx", "x"],
        [
            "extensions of chunks",
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
            `1;${"x".repeat(9_000)}\r\nx\r\n`,
        ],
        ["trailers", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X: y\r\n"],
    ])("fail on %s without end", async (_, prefix, repeated) => {
        let written = 0;
        await start(socket => {
            socket.write(prefix);
            writeEndlessly(socket, repeated, bytes => written += bytes);
        });
        expect(await exchange(pool, target.port, "a")).toMatchObject({ failure: "garbled" });
        expect(written).toBeLessThan(maxEndlessBytes);
    });

    test("fail when a response with a length is truncated", async () => {
        await start((socket, _, id) => socket.end(responseText(id, "whole").slice(0, -2)));
        expect(await exchange(pool, target.port, "a")).toMatchObject({ failure: "broken" });
    });

    test("complete a response without a length when the connection closes, but not when it is reset", async () => {
        const text = "HTTP/1.1 200 OK\r\nRequest-Id: a\r\n\r\nbody";
        await start((socket, request) => {
            socket.write(text);
            setTimeout(() => request === 1 ? socket.end() : socket.resetAndDestroy(), 20);
        });
        expect(await exchange(pool, target.port, "a")).toMatchObject({ body: "body" });
        expect(await exchange(pool, target.port, "a")).toMatchObject({ failure: "broken" });
    });

    // Guards against a part of a body that looks whole: the reset is reported as a close when it arrives together with data.
    test.each([1, 5_000, 100_000])(
        "fail when a response without a length is reset right after a part of %d bytes",
        async bytes => {
            const text = `HTTP/1.1 200 OK\r\nRequest-Id: a\r\n\r\n${"x".repeat(bytes)}`;
            await start(socket => void socket.write(text, () => socket.resetAndDestroy()));
            for (let index = 0; index < 20; index++) {
                expect(await exchange(pool, target.port, "a")).toMatchObject({ failure: "broken" });
            }
        },
    );

    // Guards against a second response that is taken for more of a body without a length, whole or cut, in one piece or in many.
    test.each([
        ["of the same request", "a", 1, 10_000],
        ["of another request", "other", 1, 10_000],
        ["in small pieces", "a", 1, 3],
        ["that is cut in its head", "a", 0.5, 10_000],
        ["that is cut in its status line", "a", 0.2, 10_000],
    ])("fail when a response without a length is followed by one %s", async (_, secondId, share, pieceBytes) => {
        const first = `HTTP/1.1 200 OK\r\nRequest-Id: a\r\nResponse-Signature: s\r\n\r\n${"x".repeat(5_000)}`;
        const head = `HTTP/1.1 200 OK\r\nRequest-Id: ${secondId}\r\nResponse-Signature: s\r\n\r\n`;
        const second = share < 1 ? head.slice(0, Math.round(share * head.length)) : head + "x".repeat(5_000);
        await start(async socket => {
            socket.write(first);
            await delay(20);
            for (let index = 0; index < Math.min(second.length, 600); index += pieceBytes) {
                socket.write(second.slice(index, index + pieceBytes));
                await delay(1);
            }
            socket.end();
        });
        expect((await exchange(pool, target.port, "a")).failure).toBeDefined();
    });

    // Guards against a document about HTTP that is taken for a second response.
    test.each([
        ["a status line", "The server sends HTTP/1.1 200 OK\r\nand closes."],
        ["a head without the id of a request", "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\nok"],
        ["a version at its end", "see HTTP/1.1"],
    ])("complete a response without a length that contains %s", async (_, body) => {
        await start(socket => void socket.end(`HTTP/1.1 200 OK\r\nRequest-Id: a\r\n\r\n${body}`));
        expect(await exchange(pool, target.port, "a")).toMatchObject({ body });
    });

    // Guards against the opposite: a whole body whose connection is closed in the same moment.
    test.each([1, 5_000, 100_000])(
        "complete a response without a length that is closed right after its %d bytes",
        async bytes => {
            const text = `HTTP/1.1 200 OK\r\nRequest-Id: a\r\n\r\n${"x".repeat(bytes)}`;
            await start(socket => void socket.end(text));
            for (let index = 0; index < 20; index++) {
                const { body, failure } = await exchange(pool, target.port, "a");
                expect({ bytes: body.length, failure }).toEqual({ bytes, failure: undefined });
            }
        },
    );

    test("distinguish a refused connection from a broken one", async () => {
        await start(socket => socket.resetAndDestroy());
        expect(await exchange(pool, target.port, "a")).toMatchObject({ failure: "broken" });
        expect(await exchange(pool, 1, "a")).toMatchObject({ failure: "unreachable" });
    });

    // Guards against a target that counts as unreachable although it accepted the connection in time: after a delay of the event
    // loop, the timer of the connection ran before the connection was found to be established.
    test("do not time out because the event loop was delayed while they were established", async () => {
        await start((socket, _, id) => socket.write(responseText(id)));
        const result = exchange(pool, target.port, "a");
        blockEventLoop(connectTimeoutMs + 100);
        expect(await result).toMatchObject({ body: "ok" });
    });

    // Guards against a request that waits for ever for a target that accepts no connection.
    test("time out when the target does not accept them", async () => {
        await start(() => undefined);
        const suspended = await startSuspendedTarget();
        expect(await exchange(pool, suspended.port, "a")).toMatchObject({ failure: "unreachable" });
        suspended.close();
    });

    // Guards against a request that may run only once and counts as possibly run, since it was written to a connection that the
    // target reset because it has too many: its caller got 502 and could not repeat it.
    test.each([0, 2])(
        "send nothing on a connection that the target resets %d ms after it was accepted",
        async resetMs => {
            pool = createPool();
            const received: string[] = [];
            target = await startScriptedTarget((_, __, id) => received.push(id), socket => {
                if (resetMs === 0) {
                    socket.resetAndDestroy();
                    return;
                }
                setTimeout(() => socket.resetAndDestroy(), resetMs);
            });
            for (let index = 0; index < 20; index++) {
                expect(await exchange(pool, target.port, `r${index}`)).toMatchObject({ failure: "unreachable" });
            }
            expect(received).toEqual([]);
        },
    );

    // Guards against a crash of the process when a target's port is out of range.
    test("are unreachable at a port out of range", async () => {
        await start(socket => socket.resetAndDestroy());
        expect(await exchange(pool, 70_000, "a")).toMatchObject({ failure: "unreachable" });
    });

    // Guards against requests that are sent although the target began to reject the instance while they waited to connect.
    test("send nothing when the request is withdrawn before the connection is established", async () => {
        const target = await startScriptedTarget((socket, _, id) => void socket.write(responseText(id)));
        const pool = createPool();
        const outcome = await exchange(pool, target.port, "a", { canBeSent: () => false });
        expect(outcome).toMatchObject({ failure: "withdrawn", body: "" });
        expect(target.requests).toEqual([]);
        pool.close();
        await target.close();
    });
});
