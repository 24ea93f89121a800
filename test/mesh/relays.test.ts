import { createMonotonicClock } from "@trefoilladder/clock";
import { createMesh, encodeDigest, selectRelays } from "@trefoilladder/mesh";
import type { Digest, Mesh } from "@trefoilladder/mesh";
import { createSocket } from "node:dgram";
import type { Socket } from "node:dgram";
import { freePort } from "../free-port";
import { waitUntil } from "../gateway/caller";
import { silentLog } from "../replication/silent-log";

describe("the selection of relays", () => {
    const candidate = (address: string, linkMbps: number, lastSeenAt = 0) => ({ address, linkMbps, lastSeenAt });
    const addressesOf = (candidates: { address: string; }[]) => candidates.map(({ address }) => address);

    // Guards against a slow link that carries the digests of all instances to its whole domain: about 11 Mbit/s at 132 instances.
    test("prefers high bandwidth, and is the same on all instances", () => {
        const candidates = [candidate("d", 10), candidate("c", 200), candidate("b", 10), candidate("a", 200)];
        expect(addressesOf(selectRelays(candidates, 0))).toEqual(["a", "c"]);
        expect(addressesOf(selectRelays([...candidates].reverse(), 0))).toEqual(["a", "c"]);
    });

    test("omits instances without recent contact", () => {
        const candidates = [
            candidate("a", 200, 0),
            candidate("b", 10, 900),
            candidate("c", 10, 900),
            candidate("d", 5, 900),
        ];
        expect(addressesOf(selectRelays(candidates, 1_000))).toEqual(["b", "c"]);
    });
});

/** Returns a digest without changes from an instance of domain `a`, with the given fields. */
function createDigest(sender: string, fields: Partial<Digest>): Digest {
    return {
        sender,
        leaving: false,
        probe: false,
        configurationVersion: 1,
        targetsOffset: 0,
        targets: [],
        admitted: [],
        retries: [],
        instances: [],
        domain: "a",
        targetsAgeMs: 0,
        storeOutageEndAgeMs: 60_000,
        configurationOffset: 0,
        configurationAgeMs: 0,
        linkMbps: 10,
        sequence: 0,
        uptimeMs: 60_000,
        storeEra: -1,
        storeEraAgeMs: -1,
        ...fields,
    };
}

interface TestInstance {
    mesh: Mesh;
    /** Addresses of the instances whose digests have arrived. */
    senders: Set<string>;
    /** Received digests in order of arrival. */
    received: Digest[];
}

describe("many instances of several domains", () => {
    const instances: TestInstance[] = [];
    const sockets: Socket[] = [];

    afterEach(async () => {
        await Promise.all(instances.splice(0).map(({ mesh }) => mesh.stop()));
        sockets.splice(0).forEach(socket => socket.close());
    });

    function createInstance(address: string, port: number, domain: string): TestInstance {
        const senders = new Set<string>();
        let total = 0;
        const received: Digest[] = [];
        const instance: TestInstance = {
            senders,
            received,
            mesh: createMesh({
                address,
                port,
                incarnation: "i1",
                domain,
                linkMbps: 10,
                clock: createMonotonicClock(),
                log: silentLog(),
                random: Math.random,
                collectDigestContent: () => ({
                    configurationVersion: 1,
                    targetsOffset: 0,
                    targets: [],
                    admitted: [["taipei", total += 1, 1]],
                    retries: [],
                    configurationOffset: 0,
                    targetsAgeMs: 0,
                    storeOutageEndAgeMs: 60_000,
                    configurationAgeMs: 0,
                    storeEra: -1,
                    storeEraAgeMs: -1,
                }),
                receive(digest) {
                    senders.add(digest.sender.split(":")[0]!);
                    received.push(digest);
                },
                receiveRecords: () => undefined,
                runningSince: () => 0,
                answerTokenRequest: ({ id, name }) => ({ id, name, decision: { kind: "unknown" } }),
                receiveTokenResponse: () => undefined,
                updateContactShare: () => undefined,
            }),
        };
        instances.push(instance);
        return instance;
    }

    async function startInstances(sizes: Record<string, number>, port: number): Promise<string[]> {
        const addresses: string[] = [];
        for (const [domain, size] of Object.entries(sizes)) {
            for (let index = 0; index < size; index++) {
                const address = `127.0.3.${addresses.length + 1}`;
                addresses.push(address);
                createInstance(address, port, domain);
            }
        }
        await Promise.all(instances.map(({ mesh }) => mesh.start()));
        return addresses;
    }

    const waitUntilAllReceive = (count: number) =>
        waitUntil(() => instances.every(({ senders }) => senders.size >= count));

    // Guards against digests that a relay does not forward, and against instances that never discover each other: at the start
    // each knows the same one only.
    test("all receive the digests of each other, and continue to do so", async () => {
        const port = await freePort();
        const addresses = await startInstances({ a: 8, b: 7, c: 2 }, port);
        instances.forEach(({ mesh }) => mesh.addPeer(addresses[0]!));
        await waitUntilAllReceive(addresses.length - 1);
        for (let round = 0; round < 2; round++) {
            instances.forEach(({ senders }) => senders.clear());
            await waitUntilAllReceive(addresses.length - 1);
        }
        expect(instances.map(({ mesh }) => mesh.contactShare())).toEqual(instances.map(() => 1));
    });

    // Guards against outdated totals, whose difference would be returned to the limit: a relay that was stopped for seconds
    // forwards what it had received.
    test("apply only the outcomes of a digest that arrives after a later one", async () => {
        const port = await freePort();
        const [address] = await startInstances({ a: 1 }, port) as [string];
        const sender = "127.0.4.2";
        const socket = createSocket("udp4");
        sockets.push(socket);
        await new Promise<void>(resolve => socket.bind(port, sender, resolve));
        const sendDigest = (sequence: number, total: number, incarnation = "x1") => {
            const digest = createDigest(`${sender}:${port}/${incarnation}`, {
                targets: [{ target: "t-1", outcomes: [["failure", 1]], load: undefined }],
                admitted: [["taipei", total, 1]],
                retries: [["dossier", total, 1]],
                sequence,
            });
            socket.send(encodeDigest(digest), port, address);
        };
        const { received } = instances[0]!;
        for (const [sequence, total, incarnation] of [[5, 50, "x1"], [4, 40, "x1"], [1, 1, "x2"]] as const) {
            const before = received.length;
            sendDigest(sequence, total, incarnation);
            await waitUntil(() => received.length > before);
        }
        expect(received.map(({ admitted }) => admitted)).toEqual([[["taipei", 50, 1]], [], [["taipei", 1, 1]]]);
        expect(received.map(({ targets }) => targets.length)).toEqual([1, 1, 1]);
        expect(received[1]).toMatchObject({ retries: [], targetsAgeMs: -1, configurationAgeMs: -1 });
    });

    // Guards against a domain that loses contact because its first relay drops the digests that it should forward.
    test("stay in contact while one of the relays forwards nothing", async () => {
        const port = await freePort();
        const failedRelay = "127.0.4.1";
        const addresses = await startInstances({ a: 8, b: 7 }, port);
        const socket = createSocket("udp4");
        sockets.push(socket);
        await new Promise<void>(resolve => socket.bind(port, failedRelay, resolve));
        const digest = createDigest(`${failedRelay}:${port}/x1`, { linkMbps: 1_000 });
        const timer = setInterval(() => {
            digest.sequence += 1;
            addresses.forEach(address => socket.send(encodeDigest(digest), port, address));
        }, 200);
        instances.forEach(({ mesh }) => mesh.addPeer(addresses[0]!));
        await waitUntilAllReceive(addresses.length);
        for (let round = 0; round < 3; round++) {
            instances.forEach(({ senders }) => senders.clear());
            await waitUntilAllReceive(addresses.length);
            expect(instances.map(({ mesh }) => mesh.contactShare())).toEqual(instances.map(() => 1));
        }
        clearInterval(timer);
    });
});
