import { orderReceivers, splitIntoBranches } from "@trefoilladder/mesh";

/** Instances of a failure domain of a grown site, the size of a compressed configuration, and their links. */
const receivers = Array.from({ length: 31 }, (_, index) => `10.1.0.${index + 1}`);
const copyBits = 45_000 * 8;
const narrowMbps = 10;
/** Time in milliseconds until an instance sends on what it has received. */
const hopMs = 25;

/** Replays a push over narrow links; returns when the last one has the copy, and the most copies that one instance sends. */
function replay(hosts: readonly string[], split: (hosts: readonly string[]) => string[][]) {
    const transferMs = copyBits / (narrowMbps * 1_000);
    const arrivals = new Map<string, number>();
    let mostSent = 0;

    function sendOn(from: number, rest: readonly string[]): void {
        const branches = split(rest);
        mostSent = Math.max(mostSent, branches.length);
        branches.forEach(([head, ...others], index) => {
            const arrivedAt = from + hopMs + (index + 1) * transferMs;
            arrivals.set(head!, arrivedAt);
            sendOn(arrivedAt, others);
        });
    }

    sendOn(0, hosts);
    return { arrivals, lastMs: Math.max(...arrivals.values()), mostSent };
}

describe("the tree of a large record", () => {
    test("reaches each instance once", () => {
        const { arrivals } = replay(receivers, splitIntoBranches);
        expect([...arrivals.keys()].sort()).toEqual([...receivers].sort());
        expect(splitIntoBranches([])).toEqual([]);
    });

    // Guards against a configuration that is late because one instance's narrow link carries a copy for each other one.
    test("takes half of the time that one sender for all takes, and no link carries more than four copies", () => {
        const tree = replay(receivers, splitIntoBranches);
        const star = replay(receivers, hosts => hosts.map(host => [host]));
        expect(tree.mostSent).toBeLessThanOrEqual(4);
        expect(tree.lastMs).toBeLessThan(star.lastMs / 2);
        expect(tree.lastMs).toBeLessThan(600);
    });

    test("begins with the widest links", () => {
        const ordered = orderReceivers([
            { address: "b", linkMbps: 10 },
            { address: "c", linkMbps: 200 },
            { address: "a", linkMbps: 10 },
        ]);
        expect(ordered).toEqual(["c", "a", "b"]);
    });
});
