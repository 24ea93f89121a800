import { stream } from "@trefoilladder/replication";
import type { ServingConfiguration } from "@trefoilladder/serving";
import { call, waitUntil } from "./caller";
import { configuration, route, startFleet } from "./fixtures";
import type { Fleet } from "./fixtures";

let fleet: Fleet;

const instanceCount = 8;
/** Full reads of the record that are allowed, since two instances may briefly both act as the reader of the domain. */
const maxFullReads = 2;

/** Returns a configuration that does not fit in one datagram when compressed. */
function largeConfiguration(version: number): ServingConfiguration {
    const routes = Array.from({ length: 1_500 }, (_, index) => {
        const digits = (index * 2_654_435_761 % 4_294_967_296).toString(36);
        return route({ name: `r-${digits}`, pathPrefix: `/${digits}x${version}/` });
    });
    return configuration({ version, routes: [route(), route({ pathPrefix: `/v${version}/` }), ...routes] });
}

afterEach(() => fleet.close());

describe("a large configuration", () => {
    // Guards against incident inc1: each instance read the whole record from the store several times, which saturated the links of
    // all instances while the old version stayed in force.
    test("reaches all instances from one read of the store", async () => {
        fleet = await startFleet({ responders: [(socket, _, id) => void socket.write(id)], instances: instanceCount });
        for (const at of fleet.callers) {
            await waitUntil(async () => (await call(at, { path: "/none/" })).status === 404);
        }
        // Before the instances have discovered each other, all of them read the store.
        await new Promise(resolve => setTimeout(resolve, 2_000));
        const large = largeConfiguration(2);
        fleet.store.put(stream.configuration, "current", large);
        await Promise.all(
            fleet.callers.map(at =>
                waitUntil(async () => (await call(at, { path: "/v2/", key: "none" })).status === 401)
            ),
        );
        const size = JSON.stringify(large).length;
        expect(fleet.store.bytesRead(stream.configuration)).toBeLessThanOrEqual(maxFullReads * size);
    }, 20_000);
});
