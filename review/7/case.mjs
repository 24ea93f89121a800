/**
 * Another writer has left entries in the topic of the upstreams whose keys contain a space and whose values cannot be read. One of them
 * is the last of a page of the newest records.
 */

import {
    configuration,
    createFleet,
    createRegistry,
    exitCode,
    request,
    runCase,
    sleep,
    startStore,
    startUpstream,
    untilReady,
    withTrouble,
} from "../common-2/bed.mjs";

const machineCount = 3;
const upstreamCount = 6;
const foreignEntries = 600;
const observedMs = 20_000;
const requestCount = 30;
/** Rule Fault: processes of a tenth of the machines, two at least, end by themselves three times. */
const maxOwnEnds = 2;
const maxEndingMachines = Math.max(2, machineCount / 10) - 1;

await runCase(import.meta.dirname, async ({ record, onClose }) => {
    const store = await startStore("127.0.0.1");
    onClose(() => store.close());
    const upstreams = await Promise.all(
        Array.from(
            { length: upstreamCount },
            (_, index) => startUpstream("127.0.0.1", { id: `i-${index}`, workMs: () => 50, record }),
        ),
    );
    const registry = createRegistry(store);
    onClose(() => {
        registry.close();
        upstreams.forEach(upstream => upstream.close());
    });
    upstreams.forEach(upstream => registry.add(upstream, "stock"));
    if (withTrouble) {
        record.note(`another writer writes ${foreignEntries} entries to keyed.servers`);
        for (let index = 0; index < foreignEntries; index++) {
            store.put(
                "keyed.servers",
                `rack ${String(index).padStart(3, "0")}`,
                Buffer.from([0x01, 0xff, 0xfe, index % 256]),
            );
        }
    }
    store.putJson(
        "keyed.op",
        "config",
        configuration(1, {
            routes: [{ name: "look", Service: "stock" }],
            services: ["stock"],
            tenants: [{ name: "t1", ApiKeys: ["key-1"] }],
        }),
    );
    const fleet = await createFleet({ count: machineCount, storeAddress: store.address, record });
    onClose(fleet.close);
    const { machines } = fleet;
    machines.forEach(machine => fleet.start(machine));
    record.note(`all ready within 10 s: ${await untilReady(machines, 10_000)}`);
    let served = 0;
    for (let index = 0; index < requestCount; index++) {
        const answer = await request(machines[index % machineCount], record, {
            id: `look-${index}`,
            path: "/look/1",
            host: "shop.example",
            key: "key-1",
            deadlineMs: 2_000,
        });
        served += answer.status === 200 ? 1 : 0;
        await sleep(observedMs / requestCount);
    }
    const ends = machines.map(({ ownEnds }) => ownEnds.length);
    const endingMachines = ends.filter(count => count > maxOwnEnds).length;
    const summary = `served ${served} of ${requestCount}; own ends of the processes by machine: ${ends.join(", ")}`;
    record.note(summary);
    console.log(summary);
    return endingMachines > maxEndingMachines || served === 0 ? exitCode.broken : exitCode.held;
});
