import { createMonotonicClock } from "@trefoilladder/clock";
import { chooseRelays, createMesh, encodeDigest } from "@trefoilladder/mesh";
import type { Digest, Mesh } from "@trefoilladder/mesh";
import { createSocket } from "node:dgram";
import type { Socket } from "node:dgram";
import { freePort } from "../free-port";
import { until } from "../gateway/caller";
import { silentLog } from "../replication/silent-log";

describe("the choice of relays", () => {
    const candidate = (address: string, linkMbps: number, aliveAt = 0) => ({ address, linkMbps, aliveAt });
    const namesOf = (candidates: { address: string; }[]) => candidates.map(({ address }) => address);

    // Guards against a small link that has to carry what all instances see to all of its domain: about 11 Mbit/s at 132 instances.
    test("prefers wide links, and is the same at all instances", () => {
        const candidates = [candidate("d", 10), candidate("c", 200), candidate("b", 10), candidate("a", 200)];
        expect(namesOf(chooseRelays(candidates, 0))).toEqual(["a", "c"]);
        expect(namesOf(chooseRelays([...candidates].reverse(), 0))).toEqual(["a", "c"]);
    });

    test("leaves out instances that were not heard of late", () => {
        const candidates = [
            candidate("a", 200, 0),
            candidate("b", 10, 900),
            candidate("c", 10, 900),
            candidate("d", 5, 900),
        ];
        expect(namesOf(chooseRelays(candidates, 1_000))).toEqual(["b", "c"]);
    });
});

/** Returns a digest of an instance of domain `a` that has nothing to tell. */
function digestOf(sender: string, fields: Partial<Digest>): Digest {
    return {
        sender,
        leaving: false,
        greeting: false,
        configurationVersion: 1,
        targetsOffset: 0,
        targets: [],
        admitted: [],
        furtherAttempts: [],
        instances: [],
        domain: "a",
        targetsAgeMs: 0,
        outageEndAgeMs: 60_000,
        configurationOffset: 0,
        configurationAgeMs: 0,
        linkMbps: 10,
        sequence: 0,
        ...fields,
    };
}

interface Trial {
    mesh: Mesh;
    /** Addresses of the instances whose news has arrived. */
    heard: Set<string>;
    /** What digests told, in the order in which they arrived. */
    told: Digest[];
}

describe("many instances of two domains", () => {
    const trials: Trial[] = [];
    const sockets: Socket[] = [];

    afterEach(async () => {
        await Promise.all(trials.splice(0).map(({ mesh }) => mesh.stop()));
        sockets.splice(0).forEach(socket => socket.close());
    });

    function open(address: string, port: number, domain: string): Trial {
        const heard = new Set<string>();
        let total = 0;
        const told: Digest[] = [];
        const trial: Trial = {
            heard,
            told,
            mesh: createMesh({
                address,
                port,
                incarnation: "i1",
                domain,
                linkMbps: 10,
                clock: createMonotonicClock(),
                log: silentLog(),
                random: Math.random,
                collectNews: () => ({
                    configurationVersion: 1,
                    targetsOffset: 0,
                    targets: [],
                    admitted: [["taipei", total += 1, 1]],
                    furtherAttempts: [],
                    configurationOffset: 0,
                    targetsAgeMs: 0,
                    outageEndAgeMs: 60_000,
                    configurationAgeMs: 0,
                }),
                receive(digest) {
                    heard.add(digest.sender.split(":")[0]!);
                    told.push(digest);
                },
                receiveRecords: () => undefined,
                contactChanged: () => undefined,
            }),
        };
        trials.push(trial);
        return trial;
    }

    async function openAll(sizes: Record<string, number>, port: number): Promise<string[]> {
        const addresses: string[] = [];
        for (const [domain, size] of Object.entries(sizes)) {
            for (let index = 0; index < size; index++) {
                const address = `127.0.3.${addresses.length + 1}`;
                addresses.push(address);
                open(address, port, domain);
            }
        }
        await Promise.all(trials.map(({ mesh }) => mesh.start()));
        return addresses;
    }

    const allHear = (count: number) => until(() => trials.every(({ heard }) => heard.size >= count));

    // Guards against digests that end at the instance which should pass them on, and against instances that never come to know
    // each other: each knows one of them only.
    test("all hear what any of them tells, and go on hearing it", async () => {
        const port = await freePort();
        const addresses = await openAll({ a: 8, b: 7, c: 2 }, port);
        trials.forEach(({ mesh }) => mesh.learn(addresses[0]!));
        await allHear(addresses.length - 1);
        for (let round = 0; round < 2; round++) {
            trials.forEach(({ heard }) => heard.clear());
            await allHear(addresses.length - 1);
        }
        expect(trials.map(({ mesh }) => mesh.contactShare())).toEqual(trials.map(() => 1));
    });

    // Guards against totals from before, which would be given back to the limit: a relay that was stopped for seconds sends on
    // what it had received.
    test("take outcomes only from a digest that a later one has overtaken", async () => {
        const port = await freePort();
        const [address] = await openAll({ a: 1 }, port) as [string];
        const sender = "127.0.4.2";
        const socket = createSocket("udp4");
        sockets.push(socket);
        await new Promise<void>(resolve => socket.bind(port, sender, resolve));
        const tell = (sequence: number, total: number, incarnation = "x1") => {
            const digest = digestOf(`${sender}:${port}/${incarnation}`, {
                targets: [{ target: "t-1", outcomes: [["failure", 1]], load: undefined }],
                admitted: [["taipei", total, 1]],
                furtherAttempts: [["dossier", total, 1]],
                sequence,
            });
            socket.send(encodeDigest(digest), port, address);
        };
        const { told } = trials[0]!;
        for (const [sequence, total, incarnation] of [[5, 50, "x1"], [4, 40, "x1"], [1, 1, "x2"]] as const) {
            const before = told.length;
            tell(sequence, total, incarnation);
            await until(() => told.length > before);
        }
        expect(told.map(({ admitted }) => admitted)).toEqual([[["taipei", 50, 1]], [], [["taipei", 1, 1]]]);
        expect(told.map(({ targets }) => targets.length)).toEqual([1, 1, 1]);
        expect(told[1]).toMatchObject({ furtherAttempts: [], targetsAgeMs: -1, configurationAgeMs: -1 });
    });

    // Guards against a domain that loses contact because its first relay drops what it is asked to pass on.
    test("stay in contact while one of the relays passes nothing on", async () => {
        const port = await freePort();
        const deaf = "127.0.4.1";
        const addresses = await openAll({ a: 8, b: 7 }, port);
        const socket = createSocket("udp4");
        sockets.push(socket);
        await new Promise<void>(resolve => socket.bind(port, deaf, resolve));
        const digest = digestOf(`${deaf}:${port}/x1`, { linkMbps: 1_000 });
        const timer = setInterval(() => {
            digest.sequence += 1;
            addresses.forEach(address => socket.send(encodeDigest(digest), port, address));
        }, 200);
        trials.forEach(({ mesh }) => mesh.learn(addresses[0]!));
        await allHear(addresses.length);
        for (let round = 0; round < 3; round++) {
            trials.forEach(({ heard }) => heard.clear());
            await allHear(addresses.length);
            expect(trials.map(({ mesh }) => mesh.contactShare())).toEqual(trials.map(() => 1));
        }
        clearInterval(timer);
    });
});
