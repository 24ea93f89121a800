import type { Socket } from "node:net";
import { headText, maxBodyBytes, useHostileRun, waitUntil, writeBlocks } from "./fixtures";
import type { Place } from "./fixtures";

const run = useHostileRun();

const block = Buffer.alloc(65_536, "x");
const byteChunks = Buffer.from("1\r\nx\r\n".repeat(10_000), "latin1");
const bytesPerChunk = 6;
/** Bytes of a body in the smallest chunks; one that the gateway buffers completely. */
const smallChunksBytes = 60_000;

/** Sends a body that stops just short of its end. */
type BodySender = (socket: Socket, place: Place, index: number) => void;

const withLength: BodySender = (socket, place, index) => {
    socket.write(`${headText(place, `b-${index}`)}Content-Length: ${maxBodyBytes}\r\n\r\n`);
    writeBlocks(socket, block, maxBodyBytes - 1);
};
const shortWithLength: BodySender = (socket, place, index) => {
    socket.write(`${headText(place, `b-${index}`)}Content-Length: 65000\r\n\r\n`);
    writeBlocks(socket, block, 64_999);
};
const inOneChunk: BodySender = (socket, place, index) => {
    const size = maxBodyBytes.toString(16);
    socket.write(`${headText(place, `b-${index}`)}Transfer-Encoding: chunked\r\n\r\n${size}\r\n`);
    writeBlocks(socket, block, maxBodyBytes - 1);
};
const inSmallChunks: BodySender = (socket, place, index) => {
    socket.write(`${headText(place, `b-${index}`)}Transfer-Encoding: chunked\r\n\r\n`);
    writeBlocks(socket, byteChunks, smallChunksBytes * bytesPerChunk);
};
const senders = [withLength, shortWithLength, inOneChunk, inSmallChunks];

// Guards against a process that runs out of memory because it holds what it received of bodies that never end.
describe("unfinished bodies", () => {
    test.each([
        ["with a length", 60, 1_500, withLength],
        ["with a length, short enough to be buffered", 150, 1_500, shortWithLength],
        ["in one chunk", 60, 1_500, inOneChunk],
        ["in chunks of one byte", 60, 8_000, inSmallChunks],
    ])("%s", async (_, clients, stayMs, send) => {
        await run.crowd("route", clients, {
            send: (socket, index) => send(socket, "route", index),
            reads: true,
            stayMs,
        });
        await run.expectSound();
    }, 90_000);

    test.each(["no route", "readiness"] as const)("of every kind at the place: %s", async place => {
        await run.crowd(place, 80, {
            send: (socket, index) => senders[index % senders.length]!(socket, place, index),
            reads: true,
            stayMs: 1_500,
        });
        await run.expectSound();
    }, 90_000);
});

// Guards against reading a refused body without an end, which keeps the connection and takes processor time from other callers.
test.each(["no route", "readiness"] as const)("bodies far over the limit at the place: %s", async place => {
    const clients = await run.crowd(place, 20, {
        send(socket, index) {
            socket.write(`${headText(place, `o-${index}`)}Transfer-Encoding: chunked\r\n\r\nffffffff\r\n`);
            writeBlocks(socket, block, 20 * maxBodyBytes);
        },
        reads: true,
        stayMs: 0,
    });
    await waitUntil(() => clients.every(({ isClosed }) => isClosed));
    await run.expectSound();
}, 90_000);
