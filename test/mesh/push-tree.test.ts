import { orderReceivers, splitIntoBranches } from "@trefoilladder/mesh";

/** Instances of a failure domain of a large fleet, the size of a compressed configuration, and their bandwidth. */
const receivers = Array.from({ length: 31 }, (_, index) => `10.1.0.${index + 1}`);
const recordBits = 45_000 * 8;
const linkMbps = 10;
/** Time in milliseconds until an instance forwards what it has received. */
const hopMs = 25;

/** Simulates a push over slow links; returns the arrival times, the last of them, and the most copies one instance sends. */
function simulatePush(hosts: readonly string[], split: (hosts: readonly string[]) => string[][]) {
    const transferMs = recordBits / (linkMbps * 1_000);
    const arrivals = new Map<string, number>();
    let maxCopiesSent = 0;

    function forward(from: number, rest: readonly string[]): void {
        const branches = split(rest);
        maxCopiesSent = Math.max(maxCopiesSent, branches.length);
        branches.forEach(([head, ...others], index) => {
            const arrivedAt = from + hopMs + (index + 1) * transferMs;
            arrivals.set(head!, arrivedAt);
            forward(arrivedAt, others);
        });
    }

    forward(0, hosts);
    return { arrivals, lastMs: Math.max(...arrivals.values()), maxCopiesSent };
}

describe("the distribution tree of a large record", () => {
    test("reaches each instance once", () => {
        const { arrivals } = simulatePush(receivers, splitIntoBranches);
        expect([...arrivals.keys()].sort()).toEqual([...receivers].sort());
        expect(splitIntoBranches([])).toEqual([]);
    });

    // Guards against a configuration that is late because one instance's slow link carries a copy for every other instance.
    test("takes less than half of the time of a single sender, and no link carries more than four copies", () => {
        const tree = simulatePush(receivers, splitIntoBranches);
        const star = simulatePush(receivers, hosts => hosts.map(host => [host]));
        expect(tree.maxCopiesSent).toBeLessThanOrEqual(4);
        expect(tree.lastMs).toBeLessThan(star.lastMs / 2);
        expect(tree.lastMs).toBeLessThan(600);
    });

    test("begins with the highest bandwidth", () => {
        const ordered = orderReceivers([
            { address: "b", linkMbps: 10 },
            { address: "c", linkMbps: 200 },
            { address: "a", linkMbps: 10 },
        ]);
        expect(ordered).toEqual(["c", "a", "b"]);
    });
});
