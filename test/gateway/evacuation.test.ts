import { stream } from "@trefoilladder/replication";
import { responseText } from "../upstream/scripted-target";
import { call, waitUntil } from "./caller";
import { startFleet, targetRecord } from "./fixtures";
import type { Fleet, Responder } from "./fixtures";

let fleet: Fleet;

const success: Responder = (socket, _, id) => void socket.write(responseText(id));
/** Number of calls to each instance in one round; a target that may be chosen gets one of them all but certainly. */
const callsPerRound = 25;

/** Starts a fleet with target 0 in failure domain a and target 1 in failure domain b. */
async function start(options: Partial<Parameters<typeof startFleet>[0]> = {}): Promise<void> {
    fleet = await startFleet({ responders: [success, success], ...options });
    fleet.store.put(
        stream.targets,
        "target-1",
        targetRecord(1, fleet.targets[1]!.port, { domain: "b", sequence: 2 }),
    );
    for (const at of fleet.callers) {
        await waitUntil(async () => (await call(at, { path: "/none/" })).status === 404);
        await waitUntil(async () => (await call(at)).status === 200);
    }
}

/** Calls every instance and returns the number of requests that reached a target. */
async function arrivalsOfRound(target: number): Promise<number> {
    const before = fleet.targets[target]!.requests.length;
    for (const at of fleet.callers) {
        for (let index = 0; index < callsPerRound; index++) {
            expect((await call(at)).status).toBe(200);
        }
    }
    return fleet.targets[target]!.requests.length - before;
}

afterEach(() => fleet.close());

describe("an evacuation", () => {
    // Guards against requests to targets of a failure domain after the operator has evacuated it.
    test("keeps all requests away from the failure domain until it is revoked", async () => {
        await start();
        fleet.store.put(stream.configuration, "evacuate/b", {});
        await waitUntil(async () => await arrivalsOfRound(1) === 0);
        expect(await arrivalsOfRound(1)).toBe(0);
        fleet.store.drop(stream.configuration, "evacuate/b");
        await waitUntil(async () => await arrivalsOfRound(1) > 0);
    }, 30_000);

    // Guards against an instance that knows the configuration from another one, and not the evacuations in force.
    test("is in force on an instance whose calls to the store are refused", async () => {
        let isRefused = false;
        await start({ instances: 2, isRefused: instance => instance === 1 && isRefused });
        isRefused = true;
        fleet.store.put(stream.configuration, "evacuate/b", {});
        await waitUntil(async () => await arrivalsOfRound(1) === 0);
        expect(await arrivalsOfRound(1)).toBe(0);
    }, 30_000);

    // Guards against requests that wait for a target until their deadline although none may receive them.
    test("of all targets of a service makes its requests be refused at once", async () => {
        await start();
        fleet.store.put(stream.configuration, "evacuate/a", {});
        fleet.store.put(stream.configuration, "evacuate/b", {});
        await waitUntil(async () => (await call(fleet.callers[0]!)).status === 503);
        const result = await call(fleet.callers[0]!);
        expect(result.status).toBe(503);
        expect(Number(result.headers["retry-after"])).toBeGreaterThan(0);
    }, 30_000);
});
