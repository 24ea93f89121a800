import { stream } from "@trefoilladder/replication";
import { call, waitUntil } from "./caller";
import { startFleet } from "./fixtures";
import type { Fleet, Responder } from "./fixtures";

let fleet: Fleet;

afterEach(() => fleet.close());

const success: Responder = (socket, _, id) =>
    void socket.write(`HTTP/1.1 200 OK\r\nRequest-Id: ${id}\r\nResponse-Signature: s\r\nContent-Length: 2\r\n\r\nok`);

async function isServed(): Promise<boolean> {
    return (await call(fleet.callers[0]!)).status === 200;
}

describe("an instance", () => {
    // Guards against a rejected call to the store that ends the process or stops a stream for good (review/7).
    test("serves requests after calls to the store were rejected", async () => {
        let calls = 0;
        fleet = await startFleet({
            responders: [success],
            isRefused() {
                calls += 1;
                if (calls <= 4) {
                    throw new Error("the call cannot be sent");
                }
                return false;
            },
        });
        await waitUntil(isServed);
    });

    // Guards against records that cannot be handled and stop a stream, so that later ones are not applied.
    test("applies later records of all streams behind ones that it cannot decode", async () => {
        fleet = await startFleet({ responders: [success] });
        await waitUntil(isServed);
        const store = fleet.store.view();
        for (const [name, key] of [[stream.configuration, "current"], [stream.targets, "odd key"]] as const) {
            await store.put(name, { key, value: Buffer.from([0xff, 0xfe]) }, new AbortController().signal);
        }
        fleet.store.drop(stream.targets, "target-0");
        await waitUntil(async () => (await call(fleet.callers[0]!)).status === 503);
        expect((await call(fleet.callers[0]!, { path: "/none/" })).status).toBe(404);
    });
});
