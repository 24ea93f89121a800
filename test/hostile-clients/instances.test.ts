import { connect } from "node:net";
import { headText, useHostileRun, waitUntil, writeBlocks } from "./fixtures";

const run = useHostileRun();

const block = Buffer.alloc(65_536, "x");
const copyBytes = 8 * 1024 * 1024;

/** Returns whether the process serves a copy to another instance. */
function servesCopy(): Promise<boolean> {
    return new Promise(resolve => {
        const socket = connect(run.listenerOf("instances"));
        socket.on("error", () => undefined);
        socket.on("close", () => resolve(false));
        socket.once("data", data => {
            resolve(data.toString("latin1").startsWith("HTTP/1.1 200"));
            socket.destroy();
        });
        socket.write("GET /streams/targets HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    });
}

async function expectSound(): Promise<void> {
    await run.expectSound();
    await waitUntil(servesCopy);
}

// Guards against copies of which a part is received filling the memory of the process.
test.each([
    ["a length", `Content-Length: ${copyBytes}\r\n\r\n`],
    ["chunks", `Transfer-Encoding: chunked\r\n\r\n${copyBytes.toString(16)}\r\n`],
])("many unfinished copies with %s at the listener between instances", async (_, head) => {
    await run.crowd("instances", 40, {
        send(socket, index) {
            socket.write(`${headText("instances", `c-${index}`)}${head}`);
            writeBlocks(socket, block, copyBytes - 1);
        },
        reads: true,
        stayMs: 2_000,
    });
    await expectSound();
}, 90_000);

// Guards against connections to the listener between instances that take all descriptors.
test("many connections that send nothing or a part of a head to the listener between instances", async () => {
    await run.crowd("instances", 500, {
        send(socket, index) {
            if (index % 2 === 0) {
                socket.write(headText("instances", `s-${index}`));
            }
        },
        reads: true,
        stayMs: 1_500,
    });
    await expectSound();
}, 90_000);

// Guards against responses that are not read filling the memory, and against keeping other instances from copies.
test("many requests at once without reading the responses at the listener between instances", async () => {
    await run.crowd("instances", 40, {
        send(socket, client) {
            for (let index = 0; index < 300; index++) {
                socket.write(`${headText("instances", `p-${client}-${index}`, { method: "GET" })}\r\n`);
            }
        },
        reads: false,
        stayMs: 1_500,
    });
    await expectSound();
}, 90_000);

// Guards against a body that is read without an end after its request was refused.
test("endless bodies at unknown paths of the listener between instances", async () => {
    const clients = await run.crowd("instances", 20, {
        send(socket, index) {
            const head = headText("instances", `o-${index}`, { path: "/none" });
            socket.write(`${head}Transfer-Encoding: chunked\r\n\r\nffffffff\r\n`);
            writeBlocks(socket, block, 10 * copyBytes);
        },
        reads: true,
        stayMs: 0,
    });
    await waitUntil(() => clients.every(({ isClosed }) => isClosed));
    await expectSound();
}, 90_000);
