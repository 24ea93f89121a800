import { stream } from "@trefoilladder/replication";
import { responseText } from "../upstream/scripted-target";
import { call, waitUntil } from "./caller";
import { configuration, route, startFleet, targetRecord } from "./fixtures";
import type { Fleet, Responder } from "./fixtures";

let fleet: Fleet;

const success: Responder = (socket, _, id) => void socket.write(responseText(id));
const fail: Responder = (socket, _, id) =>
    void socket.write(
        `HTTP/1.1 500 Oops\r\nRequest-Id: ${id}\r\nResponse-Signature: s\r\nContent-Length: 3\r\n\r\nbad`,
    );
const silent: Responder = () => undefined;
const calls = 30;

interface Restrictions {
    route?: string[];
    organisation?: string[];
    regions?: Record<string, string>;
}

/** Starts an instance with target 0 in the region west and target 1 in the region east. */
async function start(responders: readonly Responder[], restrictions: Restrictions): Promise<void> {
    const organisation = { name: "taipei", keys: ["key-1"], priority: undefined, ratePerSecond: 0, burst: 0 };
    fleet = await startFleet({
        responders,
        configuration: configuration({
            routes: [route({ allowedRegions: restrictions.route, latencyObjectiveMs: 100 })],
            organisations: [{ ...organisation, allowedRegions: restrictions.organisation }],
        }),
        regions: restrictions.regions ?? { a: "west", b: "east" },
    });
    const record = targetRecord(1, fleet.targets[1]!.port, { domain: "b", sequence: 2 });
    fleet.store.put(stream.targets, record.id, record);
    await waitUntil(async () => (await call(fleet.callers[0]!, { path: "/none/" })).status === 404);
    await new Promise(resolve => setTimeout(resolve, 1_000));
}

async function callAll(): Promise<number[]> {
    const statuses: number[] = [];
    for (let index = 0; index < calls; index++) {
        statuses.push((await call(fleet.callers[0]!)).status);
    }
    return statuses;
}

function arrivals(): number[] {
    return fleet.targets.map(({ requests }) => requests.length);
}

afterEach(() => fleet.close());

// Guards against requests that leave the regions in which the operator allows them to be processed.
describe("a request whose regions are restricted", () => {
    test.each([
        ["by its route", { route: ["west"] }],
        ["by its organisation", { organisation: ["west"] }],
        ["by both, to their common region", { route: ["west", "east"], organisation: ["west", "north"] }],
        ["and whose other target is in an unknown region", { route: ["west", "east"], regions: { a: "west" } }],
    ])("%s reaches no target elsewhere", async (_, restrictions) => {
        await start([success, success], restrictions);
        expect(new Set(await callAll())).toEqual(new Set([200]));
        expect(arrivals()).toEqual([calls, 0]);
    });

    test.each([["a retry", fail], ["a hedged attempt", silent]])("reaches none elsewhere by %s", async (_, respond) => {
        await start([respond, success], { route: ["west"] });
        const result = await call(fleet.callers[0]!, { deadlineMs: 1_200 });
        expect(result.status).not.toBe(200);
        expect(arrivals()).toEqual([1, 0]);
    });

    test.each([
        ["no target is in its regions", { route: ["north"] }],
        ["the regions of its route and organisation have none in common", { route: ["west"], organisation: ["east"] }],
    ])("is refused at once when %s", async (_, restrictions) => {
        await start([success, success], restrictions);
        const result = await call(fleet.callers[0]!);
        expect(result.status).toBe(503);
        expect(Number(result.headers["retry-after"])).toBeGreaterThan(0);
        expect(arrivals()).toEqual([0, 0]);
    });
});

test("a request without a restriction reaches targets of every region, also without a table of regions", async () => {
    await start([success, success], { regions: {} });
    expect(new Set(await callAll())).toEqual(new Set([200]));
    expect(arrivals().every(count => count > 0)).toBe(true);
});
