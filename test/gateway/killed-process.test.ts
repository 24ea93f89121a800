import { setTimeout as delay } from "node:timers/promises";
import { startSoakFleet } from "../soak/soak-fleet";
import type { SoakFleet } from "../soak/soak-fleet";
import { startScriptedTarget } from "../upstream/scripted-target";
import type { ScriptedTarget } from "../upstream/scripted-target";
import { call, waitUntil } from "./caller";

const partBytes = 16_384;
const partIntervalMs = 5;
/** Time in milliseconds for which a response is relayed before the process is killed. */
const relayedMs = 400;

/** Framings of a response whose body does not end. */
const framings: Record<string, string> = {
    "without a length": "",
    "with a length": "Content-Length: 100000000\r\n",
};

let fleet: SoakFleet;
let target: ScriptedTarget;

afterEach(async () => {
    await fleet.close();
    await target.close();
});

/** Starts a gateway process and a target whose responses have no end. */
async function start(framing: string): Promise<void> {
    const ignore = () => undefined;
    target = await startScriptedTarget((socket, _, id) => {
        socket.write(`HTTP/1.1 200 OK\r\nRequest-Id: ${id}\r\nResponse-Signature: s\r\n${framing}\r\n`);
        const timer = setInterval(() => socket.write("x".repeat(partBytes)), partIntervalMs);
        socket.on("close", () => clearInterval(timer));
    });
    fleet = await startSoakFleet(
        { gateways: 1, targets: 0, domains: 1, routeTimeoutMs: 20_000 },
        { ran: ignore, arrived: ignore, throttled: ignore },
    );
    fleet.register({ id: "t", port: target.port }, 2_000);
}

describe("a response that a process relays when it is killed", () => {
    // Guards against a part of a body that looks complete (review/8): the system closes the connections of a killed process in order.
    test.each(Object.keys(framings))("is incomplete (%s)", async name => {
        await start(framings[name]!);
        const { host, process: child } = fleet.gateways[0]!;
        const at = { host, port: fleet.callersPort };
        await waitUntil(async () => (await call(at, { host: "soak.example", path: "/none/" })).status === 404);
        const result = call(at, { host: "soak.example", deadlineMs: 20_000 });
        await waitUntil(() => target.requests.length > 0);
        await delay(relayedMs);
        child.kill("SIGKILL");
        const { status, body, complete } = await result;
        expect({ status, hasPart: body.length > partBytes, complete })
            .toEqual({ status: 200, hasPart: true, complete: false });
    });
});
