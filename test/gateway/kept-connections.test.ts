import { once } from "node:events";
import { connect } from "node:net";
import { responseText } from "../upstream/scripted-target";
import { call, waitUntil } from "./caller";
import { startFleet } from "./fixtures";
import type { Fleet } from "./fixtures";

let fleet: Fleet;

afterEach(() => fleet.close());

/** Returns a request whose body is sent with a length or in chunks of this size. */
function requestText(id: string, body: string, chunkBytes?: number): string {
    const head = `POST /filing/1 HTTP/1.1\r\nHost: laurel.example\r\nRequest-Id: ${id}\r\nDeadline-Ms: 8000\r\n`
        + "Authorization: Bearer key-1\r\n";
    if (chunkBytes === undefined) {
        return `${head}Content-Length: ${body.length}\r\n\r\n${body}`;
    }
    const chunk = `${chunkBytes.toString(16)}\r\n${"x".repeat(chunkBytes)}\r\n`;
    return `${head}Transfer-Encoding: chunked\r\n\r\n${chunk.repeat(body.length / chunkBytes)}0\r\n\r\n`;
}

// Guards against a connection that stays paused after the end of a body, so that the next request on it is never read.
test.each([
    ["buffered", 60_000, undefined],
    ["streamed", 400_000, undefined],
    ["buffered, in chunks of a byte", 40_000, 1],
    ["streamed, in chunks", 400_000, 100],
])("a connection carries further requests after a body that is %s", async (_, bytes, chunkBytes) => {
    fleet = await startFleet({
        responders: [(socket, _request, id) => void setTimeout(() => socket.write(responseText(id)), 300)],
    });
    await waitUntil(async () => (await call(fleet.callers[0]!, { path: "/none/" })).status === 404);
    const socket = connect(fleet.callers[0]!);
    await once(socket, "connect");
    let received = "";
    socket.on("data", chunk => received += chunk.toString("latin1"));
    const responses = () => received.split("HTTP/1.1 200 OK").length - 1;
    for (let index = 1; index <= 3; index++) {
        socket.write(requestText(`kept-${bytes}-${index}`, "x".repeat(bytes), chunkBytes));
        await waitUntil(() => responses() === index);
    }
    socket.destroy();
});
