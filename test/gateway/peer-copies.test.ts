import { createVirtualClock } from "@trefoilladder/clock";
import type { Peer } from "@trefoilladder/mesh";
import { stream } from "@trefoilladder/replication";
import { decodeCopy, encodeCopy } from "../../packages/gateway/src/copy-codec";
import type { StreamCopy } from "../../packages/gateway/src/copy-codec";
import { createPeerCopies } from "../../packages/gateway/src/peer-copies";
import type { PeerCopies } from "../../packages/gateway/src/peer-copies";
import { silentLog } from "../replication/silent-log";

const copy: StreamCopy = { nextOffset: 7, records: [{ key: "current", value: Buffer.from("routes") }] };

/** Time in milliseconds that an instance behind with its work took for a copy, on trouble-1 of vipimo-gw-grown. */
const slowMs = 1_100;

interface Instance {
    copies: PeerCopies;
    applied: number;
    served: number;
}

/** Creates instances that reach each other unless they are lost; a busy one gives no copies. */
function createInstances(
    size: number,
    options: { lost?: readonly number[]; busy?: readonly number[]; slow?: readonly number[]; } = {},
) {
    const clock = createVirtualClock();
    const instances: Instance[] = [];
    const indexOf = (host: string) => Number(host.split(".")[3]) - 1;
    const isLost = (index: number) => options.lost?.includes(index) === true;
    for (let index = 0; index < size; index++) {
        const instance: Instance = {
            applied: 0,
            served: 0,
            copies: createPeerCopies({
                clock,
                log: silentLog(),
                random: () => 0,
                client: {
                    async fetch(host, name) {
                        await clock.sleep(options.slow?.includes(indexOf(host)) === true ? slowMs : 10);
                        const other = instances[indexOf(host)]!;
                        if (isLost(indexOf(host)) || options.busy?.includes(indexOf(host)) === true) {
                            return undefined;
                        }
                        other.served += 1;
                        return other.copies.encodedCopyOf(name);
                    },
                    async push(host, name, bytes, sendOnTo) {
                        await clock.sleep(10);
                        if (isLost(indexOf(host))) {
                            return false;
                        }
                        instances[indexOf(host)]!.copies.receive({ name, bytes, sender: "", sendOnTo: [...sendOnTo] });
                        return true;
                    },
                },
                copyOf: () => copy,
                apply: () => instance.applied += 1,
            }),
        };
        instances.push(instance);
    }
    const peers = instances.map((_, index) => ({ address: `10.1.0.${index + 1}:7660`, linkMbps: 10 }) as Peer);
    return { clock, instances, peers };
}

describe("copies that instances push to each other", () => {
    // Guards against a branch of the tree that stays without the configuration because the instance at its head is lost.
    test("reach all instances, whichever of them are lost", async () => {
        const lost = [1, 2, 5, 6, 30];
        const { clock, instances, peers } = createInstances(32, { lost });
        instances[0]!.copies.push(stream.configuration, peers.slice(1));
        await clock.advance(2_000);
        const without = instances.flatMap(({ applied }, index) => applied === 1 ? [] : [index]);
        expect(without).toEqual([0, ...lost]);
    });
});

describe("copies that an instance fetches", () => {
    test("come from another instance when the first ones give none", async () => {
        const { clock, instances, peers } = createInstances(4, { lost: [1], busy: [2] });
        const fetched = instances[0]!.copies.fetchFromAny(stream.configuration, peers.slice(1));
        await clock.advance(1_000);
        expect(await fetched).toBe(true);
        expect(instances.map(({ served }) => served)).toEqual([0, 0, 0, 1]);
        expect(instances[0]!.applied).toBe(1);
    });

    // Guards against a small configuration that is late (trouble-1 of vipimo-gw-grown, 1.9 s): instances waited for slow ones one after
    // the other before they polled the store.
    test("are not waited for when the others are slow, and are applied when they come", async () => {
        const { clock, instances, peers } = createInstances(5, { slow: [1, 2, 3, 4] });
        const startedAt = clock.now();
        let waitedMs = Infinity;
        const fetched = instances[0]!.copies.fetchFromAny(stream.configuration, peers.slice(1)).then(given => {
            waitedMs = clock.now() - startedAt;
            return given;
        });
        await clock.advance(3_000);
        expect(await fetched).toBe(false);
        expect(waitedMs).toBeLessThanOrEqual(600);
        expect(instances[0]!.applied).toBeGreaterThan(0);
    });

    // Guards against several transfers of the same copy at once, which fill a narrow link (incident inc1).
    test("are fetched one at a time", async () => {
        const { clock, instances, peers } = createInstances(3);
        instances[0]!.copies.fetch(stream.configuration, peers[1]!);
        instances[0]!.copies.fetch(stream.configuration, peers[2]!);
        await clock.advance(1_000);
        expect(instances[0]!.applied).toBe(1);
    });
});

describe("an encoded copy", () => {
    // Guards against an old configuration that is given to others after a newer one came without a change of the offset.
    test("is made anew when its record has changed", async () => {
        const held = { nextOffset: 7, records: [{ key: "current", value: Buffer.from("old") }] };
        const copies = createPeerCopies({
            clock: createVirtualClock(),
            log: silentLog(),
            random: () => 0,
            client: { fetch: async () => undefined, push: async () => true },
            copyOf: () => held,
            apply: () => undefined,
        });
        const first = copies.encodedCopyOf(stream.configuration);
        expect(copies.encodedCopyOf(stream.configuration)).toBe(first);
        held.records = [{ key: "current", value: Buffer.from("new") }];
        expect(decodeCopy(copies.encodedCopyOf(stream.configuration))!.records[0]!.value!.toString()).toBe("new");
    });

    test("survives its encoding, dropped keys included", () => {
        const records = [...copy.records, { key: "gone", value: undefined }];
        expect(decodeCopy(encodeCopy({ nextOffset: 7, records }))).toEqual({ nextOffset: 7, records });
    });

    test("is none in other bytes", () => {
        expect(decodeCopy(Buffer.from("no copy"))).toBeUndefined();
        expect(decodeCopy(encodeCopy({ nextOffset: 0.5, records: [] }))).toBeUndefined();
    });
});
