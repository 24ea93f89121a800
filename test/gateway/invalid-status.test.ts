import type { Socket } from "node:net";
import { startSoakFleet } from "../soak/soak-fleet";
import type { SoakFleet } from "../soak/soak-fleet";
import { startScriptedTarget } from "../upstream/scripted-target";
import type { ScriptedTarget } from "../upstream/scripted-target";
import { call, waitUntil } from "./caller";
import type { CallerResult } from "./caller";

let fleet: SoakFleet;
let target: ScriptedTarget;

afterEach(async () => {
    await fleet.close();
    await target.close();
});

/** Starts a gateway process with one target that writes a text in response to each request. */
async function start(respond: (id: string) => string): Promise<void> {
    const ignore = () => undefined;
    fleet = await startSoakFleet({ gateways: 1, targets: 0, domains: 1, routeTimeoutMs: 4_000 }, {
        ran: ignore,
        arrived: ignore,
        throttled: ignore,
    });
    target = await startScriptedTarget((socket: Socket, _, id) => void socket.write(respond(id)));
    fleet.register({ id: "t", port: target.port }, 2_000);
    await waitUntil(async () => (await callGateway("/none/", "GET")).status === 404);
    // A target that the instance does not know yet costs no request.
    await waitUntil(async () => (await callGateway("/filing/1", "POST")).status !== 503);
    target.requests.length = 0;
}

function callGateway(path: string, method: string): Promise<CallerResult> {
    const at = { host: fleet.gateways[0]!.host, port: fleet.callersPort };
    return call(at, { host: "soak.example", path, method, body: method === "POST" ? "x" : undefined });
}

const headersOf = (id: string) => `Request-Id: ${id}\r\nResponse-Signature: s\r\n`;
const bodyText = "Content-Length: 2\r\n\r\nok";

// Guards against a failing target whose status line has no status: it was passed on, or waited for until the deadline.
test.each(["000", "099", "100", "101", "103", "199", "600", "999"])(
    "a response with a body and the status %s is a failure of the target",
    async status => {
        await start(id => `HTTP/1.1 ${status} S\r\n${headersOf(id)}${bodyText}`);
        const result = await callGateway("/filing/1", "POST");
        expect(result).toMatchObject({ status: 502, complete: true });
        expect(JSON.parse(result.body)).toEqual({ code: "outcome_unknown" });
        expect(target.requests).toHaveLength(1);
    },
);

// Guards against a switch of protocols that was never requested, after which the connection would carry anything.
test("a response without a body and the status 101 is a failure of the target", async () => {
    await start(id => `HTTP/1.1 101 S\r\n${headersOf(id)}Connection: upgrade\r\nUpgrade: x\r\n\r\n`);
    expect((await callGateway("/filing/1", "POST")).status).toBe(502);
});

// Guards against interim responses that are taken as the final one.
test.each(["100", "102", "103", "199"])("an interim response with the status %s is skipped", async status => {
    await start(id => `HTTP/1.1 ${status} S\r\n${headersOf(id)}\r\nHTTP/1.1 200 OK\r\n${headersOf(id)}${bodyText}`);
    expect(await callGateway("/filing/1", "POST")).toMatchObject({ status: 200, body: "ok", complete: true });
});

// Guards against a limit on statuses that refuses valid ones.
test.each(["200", "299", "404", "599"])("a response with the status %s is passed on", async status => {
    await start(id => `HTTP/1.1 ${status} S\r\n${headersOf(id)}${bodyText}`);
    expect(await callGateway("/filing/1", "POST")).toMatchObject({ status: Number(status), body: "ok" });
});
