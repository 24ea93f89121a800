import { stream } from "@trefoilladder/replication";
import { responseText } from "../upstream/scripted-target";
import { call, waitUntil } from "./caller";
import type { CallerResult } from "./caller";
import { configuration, startFleet, targetRecord } from "./fixtures";
import type { Fleet, Responder } from "./fixtures";

let fleet: Fleet;

const success: Responder = (socket, _, id) => void socket.write(responseText(id));
const coldMs = 60_000;
/** Another instance that never responds; without one, the instance would be the whole fleet, and know it after 2 s. */
const seeds = ["127.0.0.9:1"];

/** Starts an instance whose settings name another one that it is not in contact with, and tells it that targets have become cold. */
async function startWithCold(coldTargets: readonly number[], coldPerSecond: number | undefined): Promise<void> {
    const services = [{ name: "dossier", maxConnections: 100, coldPerSecond }];
    fleet = await startFleet({ responders: [success, success], configuration: configuration({ services }), seeds });
    await waitUntil(async () => (await callOnce()).status === 200);
    for (const index of coldTargets) {
        const record = targetRecord(index, fleet.targets[index]!.port, { coldMs, sequence: 2 });
        fleet.store.put(stream.targets, record.id, record);
    }
    await new Promise(resolve => setTimeout(resolve, 1_000));
}

function callOnce(): Promise<CallerResult> {
    return call(fleet.callers[0]!);
}

/** Makes calls and returns the numbers of requests that reached each target. */
async function arrivalsOf(calls: number): Promise<number[]> {
    const before = fleet.targets.map(({ requests }) => requests.length);
    for (let index = 0; index < calls; index++) {
        expect((await callOnce()).status).toBe(200);
    }
    return fleet.targets.map(({ requests }, index) => requests.length - before[index]!);
}

afterEach(() => fleet.close());

describe("an instance that does not know the fleet", () => {
    // Guards against a cold target that crashes under the requests of instances that do not know of each other.
    test("sends nothing to a cold target whose service has a bound", async () => {
        await startWithCold([0], 4.7);
        expect(await arrivalsOf(60)).toEqual([0, 60]);
    });

    // Guards against requests that wait for a target until their deadline although none may receive them.
    test("refuses requests at once when all targets are cold", async () => {
        await startWithCold([0, 1], 4.7);
        const result = await callOnce();
        expect(result.status).toBe(503);
        expect(Number(result.headers["retry-after"])).toBeGreaterThan(0);
        expect(fleet.targets.every(({ requests }) => requests.length <= 1)).toBe(true);
    });

    // Guards against withheld requests at services whose targets have no bound.
    test("sends to cold targets of a service without a bound", async () => {
        await startWithCold([0, 1], undefined);
        expect((await arrivalsOf(10)).reduce((sum, count) => sum + count)).toBe(10);
    });
});
