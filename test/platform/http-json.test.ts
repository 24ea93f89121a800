import { once } from "node:events";
import { createServer } from "node:http";
import type { Server } from "node:http";
import type { AddressInfo } from "node:net";
import { Agent } from "undici";
import { callJson } from "../../packages/platform/src/http-json";

const timeoutMs = 300;
const parts = 8;

let server: Server;
let dispatcher: Agent;

/** Starts a server that sends its response in parts with a pause between them and stops after `sentParts` parts. */
async function startServer(pauseMs: number, sentParts: number): Promise<string> {
    server = createServer((_, outgoing) => {
        let sent = 0;
        outgoing.writeHead(200, { "content-length": parts + 2 });
        outgoing.write("\"");
        const timer = setInterval(() => {
            if (sent === parts) {
                clearInterval(timer);
                outgoing.end("\"");
            }
            else if (sent < sentParts) {
                sent += 1;
                outgoing.write("x");
            }
        }, pauseMs);
        outgoing.on("close", () => clearInterval(timer));
    }).listen(0, "127.0.0.1");
    await once(server, "listening");
    dispatcher = new Agent();
    return `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
}

afterEach(async () => {
    await dispatcher.destroy();
    server.closeAllConnections();
    server.close();
});

describe("a call to a platform service", () => {
    // Guards against the fault of incident inc1 in this client: a large page on a slow link takes longer than the idle timeout.
    test("reads a response to its end while parts of it arrive", async () => {
        const origin = await startServer(100, parts);
        const response = await callJson({ dispatcher, origin, path: "/", method: "GET", timeoutMs });
        expect(response._unsafeUnwrap()).toEqual({ status: 200, body: "x".repeat(parts) });
    });

    test("fails when a response stalls", async () => {
        const origin = await startServer(100, 2);
        const response = await callJson({ dispatcher, origin, path: "/", method: "GET", timeoutMs });
        expect(response._unsafeUnwrapErr().code).toBe("platform_unreachable");
    });
});
