import { stream } from "@trefoilladder/replication";
import { call, waitUntil } from "./caller";
import { startFleet, targetRecord } from "./fixtures";
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

    // Guards against requests that are refused because records of a service without a configuration have the addresses of ready targets
    // (review/10), or their keys, also at an instance that starts later.
    test("serves requests beside records of an unknown service at the address and under the key of its target", async () => {
        fleet = await startFleet({ responders: [success, success, success] });
        await waitUntil(isServed);
        const { store, targets } = fleet;
        const odd = { service: "survey", startedAt: 9_000 };
        store.put(stream.targets, "survey-1", targetRecord(7, targets[0]!.port, { id: "survey-1", ...odd }));
        store.put(stream.targets, "target-1", targetRecord(1, targets[1]!.port, { sequence: 90, ...odd }));
        // Shows when the records before it have been applied.
        store.put(stream.targets, "late", targetRecord(2, targets[2]!.port, { id: "late", startedAt: 9_000 }));
        await waitUntil(async () => await isServed() && targets[2]!.requests.at(-1)?.includes("late") === true);
        const countsBefore = targets.map(({ requests }) => requests.length);
        await waitUntil(async () => {
            expect(await isServed()).toBe(true);
            return targets.every(({ requests }, index) => requests.length > countsBefore[index]! + 5);
        });
    });
});
