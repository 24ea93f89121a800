import { setTimeout as delay } from "node:timers/promises";
import { startSoakFleet } from "../soak/soak-fleet";
import type { SoakFleet } from "../soak/soak-fleet";
import { targetFault } from "../soak/soak-target";
import { call, waitUntil } from "./caller";

let fleet: SoakFleet;

afterEach(() => fleet.close());

// Guards against requests that are cut off when the platform asks a process that is stopping to stop once more.
test("a second SIGTERM during a planned stop cuts off no request", async () => {
    const arrived: string[] = [];
    fleet = await startSoakFleet({ gateways: 1, targets: 1, domains: 1 }, {
        ran: request => arrived.push(request),
        arrived: () => undefined,
        throttled: () => undefined,
    });
    const { host, process: child } = fleet.gateways[0]!;
    const at = { host, port: fleet.callersPort };
    await waitUntil(async () => (await call(at, { host: "soak.example", path: "/lookup/1" })).status === 200);
    fleet.targets[0]!.fault = targetFault.hang;
    const request = call(at, { host: "soak.example", path: "/filing/1", method: "POST", body: "x", id: "order" });
    await waitUntil(() => arrived.includes("order"));
    child.kill("SIGTERM");
    await delay(200);
    child.kill("SIGTERM");
    // The target does not respond, so the answer is that of the instance at the route's timeout.
    expect((await request).status).toBe(504);
    await waitUntil(() => child.exitCode === 0);
});
