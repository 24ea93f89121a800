import { stream } from "@trefoilladder/replication";
import { setTimeout as delay } from "node:timers/promises";
import { responseText } from "../upstream/scripted-target";
import { call, waitUntil } from "./caller";
import { configuration, route, startFleet, targetRecord } from "./fixtures";
import type { Fleet, Responder } from "./fixtures";

let fleet: Fleet;

const success: Responder = (socket, _, id) => void socket.write(responseText(id));

/** Number of requests after which a target that may be chosen has received one. */
const sampleRequests = 20;

/** Returns a configuration with a route whose path names the version. */
function version(number: number) {
    return configuration({ version: number, routes: [route(), route({ name: "v", pathPrefix: `/v${number}/` })] });
}

/** Waits until a version is in force at all instances. */
async function waitForVersion(number: number): Promise<void> {
    await Promise.all(fleet.callers.map(at => waitUntil(() => isInForce(number, at))));
}

/** Returns whether the route of a version exists; without a valid key, an existing route responds with 401. */
async function isInForce(number: number, at = fleet.callers[0]!): Promise<boolean> {
    return (await call(at, { path: `/v${number}/`, key: "none" })).status === 401;
}

async function start(options: Omit<Parameters<typeof startFleet>[0], "responders"> = {}): Promise<void> {
    fleet = await startFleet({ responders: [success, success], configuration: version(1), ...options });
    await waitForVersion(1);
    await waitUntil(async () => (await call(fleet.callers[0]!)).status === 200);
}

afterEach(() => fleet.close());

describe("a store that is restored from a copy", () => {
    // Guards against records that are never read: the lost record and the new one have the same offset, and an instance that
    // reads from the offset behind it waits for further ones.
    test.each([1, 3])("delivers records whose offsets are assigned again (%d instances)", async instances => {
        await start({ instances });
        const copy = fleet.store.copy();
        fleet.store.put(stream.configuration, "current", version(2));
        await waitForVersion(2);
        fleet.store.restore(copy);
        fleet.store.put(stream.configuration, "current", version(3));
        await waitForVersion(3);
    });

    // Guards against an older configuration that comes back with the copy, and with it a revoked key.
    test("does not revert the configuration", async () => {
        await start();
        const copy = fleet.store.copy();
        fleet.store.put(stream.configuration, "current", version(2));
        await waitForVersion(2);
        fleet.store.restore(copy);
        await delay(1_500);
        expect(await isInForce(2)).toBe(true);
        expect(await isInForce(1)).toBe(false);
    });

    // Guards against requests to a target that was draining before the restore and is ready in the copy.
    test("does not return a draining target to service", async () => {
        await start();
        const copy = fleet.store.copy();
        const [target, other] = fleet.targets;
        fleet.store.put(stream.targets, "target-0", targetRecord(0, target!.port, { draining: true, sequence: 2 }));
        await delay(1_000);
        fleet.store.restore(copy);
        await delay(1_500);
        const before = target!.requests.length;
        for (let request = 0; request < sampleRequests; request++) {
            expect((await call(fleet.callers[0]!)).status).toBe(200);
        }
        expect(target!.requests.length).toBe(before);
        expect(other!.requests.length).toBeGreaterThan(0);
    });

    // Guards against the loss of a live target whose record is not in the copy and is written again within 2.2 s.
    test("keeps a target whose record is missing until it is written again", async () => {
        await start();
        const copy = new Map(fleet.store.copy()).set(stream.targets, []);
        fleet.store.restore(copy);
        for (let request = 0; request < sampleRequests; request++) {
            expect((await call(fleet.callers[0]!)).status).toBe(200);
            await delay(50);
        }
        fleet.targets.forEach(({ port }, index) => {
            fleet.store.put(stream.targets, `target-${index}`, targetRecord(index, port, { sequence: 2 }));
        });
        await delay(2_500);
        expect((await call(fleet.callers[0]!)).status).toBe(200);
    });

    // Guards against an instance that keeps the state of the older era: it hears of the new one only from other instances, and their
    // offsets are lower than its own.
    test("is followed by an instance that has lost the store, through copies of other instances", async () => {
        const refusal = { instance: -1 };
        await start({ instances: 3, isRefused: instance => instance === refusal.instance });
        const copy = fleet.store.copy();
        for (let sequence = 2; sequence < 6; sequence++) {
            fleet.store.put(stream.targets, "target-1", targetRecord(1, fleet.targets[1]!.port, { sequence }));
        }
        await delay(1_500);
        refusal.instance = 2;
        await delay(500);
        fleet.store.restore(copy);
        const draining = targetRecord(0, fleet.targets[0]!.port, { draining: true, sequence: 9 });
        fleet.store.put(stream.targets, "target-0", draining);
        fleet.store.put(stream.configuration, "current", version(2));
        await waitForVersion(2);
        await delay(3_000);
        const before = fleet.targets[0]!.requests.length;
        for (let request = 0; request < sampleRequests; request++) {
            await call(fleet.callers[2]!, { path: "/lookup/1" });
        }
        expect(fleet.targets[0]!.requests.length).toBe(before);
    });

    // Guards against records of the first restored state that remain because both restores are taken for one.
    test.each([1, 3])("may be restored twice within a second (%d instances)", async instances => {
        await start({ instances });
        const copy = fleet.store.copy();
        fleet.store.restore(copy);
        fleet.store.put(stream.configuration, "current", version(2));
        await delay(400);
        fleet.store.restore(copy);
        fleet.store.put(stream.configuration, "current", version(3));
        await waitForVersion(3);
        expect(await isInForce(2)).toBe(false);
    });

    // Guards against changed behaviour with a store that sends no era.
    test("without an era still delivers changes", async () => {
        await start({ instances: 2 });
        fleet.store.era = undefined;
        fleet.store.put(stream.configuration, "current", version(2));
        await waitForVersion(2);
    });
});
