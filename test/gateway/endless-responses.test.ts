import { once } from "node:events";
import { connect } from "node:net";
import type { Socket } from "node:net";
import { setTimeout as delay } from "node:timers/promises";
import { peakMemoryMb } from "../soak/process-state";
import { startSoakFleet } from "../soak/soak-fleet";
import type { SoakFleet } from "../soak/soak-fleet";
import { startScriptedTarget } from "../upstream/scripted-target";
import type { ScriptedTarget } from "../upstream/scripted-target";
import { call, waitUntil } from "./caller";

let fleet: SoakFleet;
let faulty: ScriptedTarget;

afterEach(async () => {
    await fleet.close();
    await faulty.close();
});

/** Arguments of Node.js in the deploy file, and the memory limit of a gateway process in megabytes. */
const nodeArguments = ["--max-old-space-size=96", "--max-semi-space-size=1"];
const memoryLimitMb = 350;
const concurrentRequests = 32;

/** Writes a text again and again until the connection is closed. */
function writeEndlessly(socket: Socket, text: string): void {
    const block = Buffer.from(text.repeat(Math.ceil(64_000 / text.length)), "latin1");
    const writeMore = () => {
        while (!socket.destroyed && socket.write(block)) {
            // The socket accepts more.
        }
    };
    socket.on("drain", writeMore);
    writeMore();
}

/** Sends a request and stops reading after the first bytes of the response; resolves when the connection ends or `ms` have passed. */
async function callWithoutReading(at: { host: string; port: number; }, id: string, ms: number): Promise<void> {
    const socket = connect(at);
    socket.on("error", () => undefined);
    socket.once("data", () => socket.pause());
    socket.write(
        `POST /filing/1 HTTP/1.1\r\nHost: soak.example\r\nRequest-Id: ${id}\r\nDeadline-Ms: 4000\r\n`
            + "Authorization: Bearer key-1\r\nContent-Length: 1\r\n\r\nx",
    );
    await Promise.race([once(socket, "close"), delay(ms)]);
    socket.destroy();
}

const headLines = (id: string) => `HTTP/1.1 200 OK\r\nRequest-Id: ${id}\r\nResponse-Signature: s\r\n`;
const chunked = (id: string) => `${headLines(id)}Transfer-Encoding: chunked\r\n\r\n`;

// Guards against a faulty target whose endless bytes fill the memory of a gateway, so that other callers' requests end with it.
test.each([
    ["bytes that are not HTTP", () => "", "x"],
    ["a header", (id: string) => `${headLines(id)}X: `, "x"],
    ["headers", headLines, "X: y\r\n"],
    ["a body with a length", (id: string) => `${headLines(id)}Content-Length: 99999999999\r\n\r\n`, "x"],
    ["a body without a length", (id: string) => `${headLines(id)}\r\n`, "x"],
    ["chunks", chunked, `4000\r\n${"x".repeat(0x4000)}\r\n`],
    ["chunks of a byte", chunked, "1\r\nx\r\n"],
    ["extensions of chunks", chunked, `1;${"x".repeat(16_000)}\r\nx\r\n`],
    ["the body of an earlier response", () => `${headLines("earlier")}Content-Length: 99999999999\r\n\r\n`, "x"],
])("%s without end does not fill the memory of a gateway", async (_, prefix, repeated) => {
    fleet = await startSoakFleet({ gateways: 1, targets: 0, domains: 1, nodeArguments }, {
        ran: () => undefined,
        arrived: () => undefined,
        throttled: () => undefined,
    });
    faulty = await startScriptedTarget((socket, _request, id) => {
        socket.write(prefix(id));
        writeEndlessly(socket, repeated);
    });
    const { host, process: child } = fleet.gateways[0]!;
    const at = { host, port: fleet.callersPort };
    await waitUntil(async () => (await call(at, { host: "soak.example", path: "/none/" })).status === 404);
    fleet.register({ id: "faulty", port: faulty.port }, 2_000);
    await waitUntil(async () => {
        await callWithoutReading(at, "first", 200);
        return faulty.requests.length > 0;
    });
    // On a busy machine some requests are refused or can't connect in time; their callers send further ones.
    const endsAt = performance.now() + 20_000;
    const callUntilEnoughArrived = async (caller: number) => {
        for (let count = 0; count === 0 || faulty.requests.length < concurrentRequests; count++) {
            if (performance.now() > endsAt) {
                return;
            }
            await callWithoutReading(at, `caller-${caller}-${count}`, 4_000);
        }
    };
    await Promise.all(Array.from({ length: concurrentRequests }, (_unused, caller) => callUntilEnoughArrived(caller)));
    expect(faulty.requests.length).toBeGreaterThanOrEqual(concurrentRequests / 2);
    expect(child.exitCode ?? child.signalCode).toBeNull();
    expect(peakMemoryMb(child.pid!)).toBeLessThan(memoryLimitMb);
}, 60_000);
