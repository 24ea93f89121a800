import { createMonotonicClock } from "@trefoilladder/clock";
import { createMesh, createPeers, planRoutes } from "@trefoilladder/mesh";
import type { Mesh, Peer } from "@trefoilladder/mesh";
import { freePort } from "../free-port";
import { until } from "../gateway/caller";
import { silentLog } from "../replication/silent-log";

/** Returns instances in contact, `sizes` of them in each domain. */
function contacts(sizes: Record<string, number>): Peer[] {
    const peers = createPeers("10.0.0.1:1");
    for (const [domain, size] of Object.entries(sizes)) {
        for (let index = 0; index < size; index++) {
            peers.hear(`${domain}-${index}:1`, "a", 0).peer.domain = domain;
        }
    }
    return peers.inContact(0);
}

const addressesOf = (peers: readonly Peer[]) => peers.map(({ address }) => address);

describe("ways of a digest", () => {
    // Guards against bytes between domains that grow with the square of the fleet.
    test("cross to each other domain once, and reach the own domain directly", () => {
        const { direct, relays } = planRoutes(contacts({ a: 43, b: 44, c: 44 }), "a", () => 0.5);
        expect(direct).toHaveLength(43);
        expect(direct.every(({ domain }) => domain === "a")).toBe(true);
        expect(addressesOf(relays)).toEqual(["b-22:1", "c-22:1"]);
    });

    // Guards against one lost instance that keeps its whole domain out of contact.
    test("cross at another instance each time", () => {
        const drawn = [0, 0.3, 0.6, 0.99].map(value =>
            addressesOf(planRoutes(contacts({ a: 4, b: 10 }), "a", () => value).relays)
        );
        expect(drawn).toEqual([["b-0:1"], ["b-3:1"], ["b-6:1"], ["b-9:1"]]);
    });

    test("reach few instances of a domain, and those of an unknown one, directly", () => {
        const { direct, relays } = planRoutes(contacts({ "a": 2, "b": 3, "": 2 }), "a", () => 0);
        expect(direct).toHaveLength(7);
        expect(relays).toEqual([]);
    });
});

describe("instances of two domains", () => {
    const meshes: Mesh[] = [];

    afterEach(async () => {
        await Promise.all(meshes.splice(0).map(mesh => mesh.stop()));
    });

    // Guards against digests that end at the instance which should pass them on.
    test("all hear what one of them tells through an instance of their own domain", async () => {
        const port = await freePort();
        const domains = ["a", "b", "b", "b", "b", "b"];
        const heard = domains.map(() => new Set<string>());
        domains.forEach((domain, index) => {
            const mesh = createMesh({
                address: `127.0.3.${index + 1}`,
                port,
                incarnation: `i${index}`,
                domain,
                clock: createMonotonicClock(),
                log: silentLog(),
                random: Math.random,
                collectNews: () => ({
                    configurationVersion: 1,
                    targetsOffset: 0,
                    targets: [],
                    admitted: [["taipei", index + 1]],
                    furtherAttempts: [],
                    configurationOffset: 0,
                    targetsAgeMs: 0,
                    configurationAgeMs: 0,
                }),
                receive: digest => digest.admitted.forEach(([, total]) => heard[index]!.add(String(total))),
                receiveRecords: () => undefined,
                contactChanged: () => undefined,
            });
            meshes.push(mesh);
        });
        await Promise.all(meshes.map(mesh => mesh.start()));
        meshes.forEach(mesh => domains.forEach((_, index) => mesh.learn(`127.0.3.${index + 1}`)));
        await until(() => Promise.resolve(heard.every(totals => totals.size === domains.length - 1)));
        heard.forEach(totals => totals.clear());
        await until(() => Promise.resolve(heard.every(totals => totals.size === domains.length - 1)));
    });
});
