import { setTimeout as delay } from "node:timers/promises";
import { call, waitUntil } from "./caller";
import { startFleet } from "./fixtures";
import type { Fleet, Responder } from "./fixtures";

let fleet: Fleet;

afterEach(() => fleet.close());

/** Framings of a complete response that targets use. */
const framings: Record<string, (id: string) => string> = {
    length: id => `HTTP/1.1 200 OK\r\nRequest-Id: ${id}\r\nResponse-Signature: s\r\nContent-Length: 5\r\n\r\nwhole`,
    chunked: id =>
        `HTTP/1.1 200 OK\r\nRequest-Id: ${id}\r\nResponse-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n`,
    lengthFirst: id =>
        `HTTP/1.1 200 OK\r\nContent-Length: 5\r\nConnection: close\r\nResponse-Signature: s\r\nRequest-Id: ${id}\r\n\r\nwhole`,
};

/** How a target ends the connection. */
const endings: Record<string, (socket: Parameters<Responder>[0], text: string) => void> = {
    closes: (socket, text) => void socket.end(text, "latin1"),
    resets: (socket, text) => void socket.write(text, "latin1", () => socket.resetAndDestroy()),
};

describe("a target that truncates its response in or after the head", () => {
    // Guards against a success with an empty or truncated body that is framed as complete.
    test.each(Object.keys(framings).flatMap(framing => Object.keys(endings).map(ending => [framing, ending] as const)))(
        "never yields a complete response (%s, target %s)",
        async (framing, ending) => {
            let length = 0;
            fleet = await startFleet({
                responders: [(socket, _, id) => endings[ending]!(socket, framings[framing]!(id).slice(0, length))],
            });
            await waitUntil(async () => (await call(fleet.callers[0]!, { path: "/none/" })).status === 404);
            const whole = framings[framing]!("id").length;
            for (length = 1; length < whole; length++) {
                const id = "id";
                const result = await call(fleet.callers[0]!, { path: "/filing/1", method: "POST", body: "x", id });
                expect({ length, status: result.status }).toEqual({ length, status: 502 });
            }
        },
        60_000,
    );
});

/** Writes a response without a length in parts of 16 KB until the connection closes, or until `bytes` have been written. */
function writeUnframed(socket: Parameters<Responder>[0], id: string, bytes: number, written: () => void): void {
    socket.write(`HTTP/1.1 200 OK\r\nRequest-Id: ${id}\r\nResponse-Signature: s\r\nConnection: close\r\n\r\n`);
    let rest = bytes;
    const timer = setInterval(() => {
        socket.write("x".repeat(16_384));
        rest -= 16_384;
        if (rest <= 0) {
            clearInterval(timer);
            written();
        }
    }, 5);
    socket.on("close", () => clearInterval(timer));
}

// Guards against a part of a body without a length that looks complete, since the connection to the caller was closed, not reset.
describe("a streamed response without a length", () => {
    const streamedBytes = 500_000;

    async function start(responder: Responder): Promise<void> {
        fleet = await startFleet({ responders: [responder] });
        await waitUntil(async () => (await call(fleet.callers[0]!, { path: "/none/" })).status === 404);
    }

    test("is complete when the target closes the connection", async () => {
        await start((socket, _, id) => writeUnframed(socket, id, streamedBytes, () => socket.end()));
        const result = await call(fleet.callers[0]!);
        expect(result).toMatchObject({ status: 200, complete: true });
        expect(result.body.length).toBeGreaterThanOrEqual(streamedBytes);
    });

    test("is incomplete when the target resets the connection", async () => {
        await start((socket, _, id) =>
            writeUnframed(socket, id, streamedBytes, () => void setTimeout(() => socket.resetAndDestroy(), 100))
        );
        expect(await call(fleet.callers[0]!)).toMatchObject({ status: 200, complete: false });
    });

    test("is incomplete when the caller's deadline has passed", async () => {
        await start((socket, _, id) => writeUnframed(socket, id, Infinity, () => undefined));
        expect(await call(fleet.callers[0]!, { deadlineMs: 500 })).toMatchObject({ status: 200, complete: false });
    });

    test("is incomplete when the instance ends", async () => {
        let begun = false;
        await start((socket, _, id) => {
            begun = true;
            writeUnframed(socket, id, Infinity, () => undefined);
        });
        const result = call(fleet.callers[0]!);
        await waitUntil(() => begun);
        await delay(200);
        await fleet.gateways[0]!.stop();
        expect(await result).toMatchObject({ status: 200, complete: false });
    });
});
