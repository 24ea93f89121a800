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

/** Starts a service that sends its answer in parts, with a pause behind each; `sent` is the number of parts that it sends. */
async function start(pauseMs: number, sent: number): Promise<string> {
    server = createServer((_, outgoing) => {
        let part = 0;
        outgoing.writeHead(200, { "content-length": parts + 2 });
        outgoing.write("\"");
        const timer = setInterval(() => {
            if (part === parts) {
                clearInterval(timer);
                outgoing.end("\"");
            }
            else if (part < sent) {
                part += 1;
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
    // Guards against the fault of incident inc1 in the own interface: a large page on a narrow link takes longer than a silent call.
    test("reads an answer to its end while parts of it arrive", async () => {
        const origin = await start(100, parts);
        const answer = await callJson({ dispatcher, origin, path: "/", method: "GET", timeoutMs });
        expect(answer._unsafeUnwrap()).toEqual({ status: 200, body: "x".repeat(parts) });
    });

    test("ends when an answer stops on its way", async () => {
        const origin = await start(100, 2);
        const answer = await callJson({ dispatcher, origin, path: "/", method: "GET", timeoutMs });
        expect(answer._unsafeUnwrapErr().code).toBe("platform_unreachable");
    });
});
