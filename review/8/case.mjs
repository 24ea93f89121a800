/**
 * Single processes are killed while downloads run. Some upstreams answer a few requests without a length, so that the end of the channel
 * ends the answer; all these answers are whole.
 */

import {
    configuration,
    createFleet,
    createRegistry,
    exitCode,
    openChannel,
    runCase,
    sleep,
    startStore,
    startUpstream,
    untilReady,
    withTrouble,
} from "../common-2/bed.mjs";

const machineCount = 3;
const upstreamCount = 10;
/** Disturbance garble, unframed, no more than the largest doses: share of the upstreams, of their answers, and length. */
const unframedUpstreams = 0.6 * upstreamCount;
const unframedShare = 0.05;
const unframedMs = 5_000;
/** Time after which the disturbance comes again. */
const unframedPeriodMs = 6_000;
/** Disturbance node_kill: one machine, which the platform starts again. */
const killPeriodMs = 8_000;
const restartMs = 500;
const clientCount = 180;
const lengthMs = 80_000;
/** Size of a download, the largest of the site file, and time over which an upstream sends it. */
const bodyBytes = 540_000;
const bodyMs = 1_500;

/** Returns the body of the answer to a request. */
function bodyOf(request) {
    return Buffer.alloc(bodyBytes, `<${request}>`, "latin1");
}

await runCase(import.meta.dirname, async ({ record, onClose }) => {
    const store = await startStore("127.0.0.1");
    onClose(() => store.close());
    let unframed = 0;
    let answered = 0;
    const upstreams = await Promise.all(Array.from({ length: upstreamCount }, (_, index) =>
        startUpstream("127.0.0.1", {
            id: `i-${index}`,
            slots: 18,
            workMs: () => 100,
            record,
            bodyOf,
            bodyMs,
            isUnframed(id) {
                answered += 1;
                const is = withTrouble && performance.now() % unframedPeriodMs < unframedMs
                    && Number(id.slice(2)) < unframedUpstreams && Math.random() < unframedShare;
                unframed += is ? 1 : 0;
                return is;
            },
        })));
    const registry = createRegistry(store);
    onClose(() => {
        registry.close();
        upstreams.forEach(upstream => upstream.close());
    });
    upstreams.forEach(upstream => registry.add(upstream, "sheets", { slots: 18 }));
    store.putJson(
        "keyed.op",
        "config",
        configuration(1, {
            routes: [{ name: "sheet", Service: "sheets", Type: "download" }],
            services: ["sheets"],
            tenants: [{ name: "t1", ApiKeys: ["key-1"] }],
        }),
    );
    const fleet = await createFleet({ count: machineCount, storeAddress: store.address, record });
    onClose(fleet.close);
    const { machines } = fleet;
    machines.forEach(machine => fleet.start(machine));
    if (!await untilReady(machines, 10_000)) {
        return exitCode.notRun;
    }
    await sleep(2_000);

    const endAt = performance.now() + lengthMs;
    let sent = 0;
    let served = 0;
    let withoutAnswer = 0;
    const mixed = [];

    async function runClient(client) {
        const machine = machines[client % machineCount];
        for (let turn = 0; performance.now() < endAt; turn++) {
            const id = `c${client}-${turn}`;
            const channel = openChannel(machine, record);
            sent += 1;
            const answer = await channel.send({
                id,
                path: "/sheet/1",
                host: "shop.example",
                key: "key-1",
                deadlineMs: 4_000,
            });
            channel.close();
            if (answer.status !== 200) {
                withoutAnswer += 1;
                await sleep(200);
            }
            else if (answer.signature !== undefined && !answer.body.equals(bodyOf(id))) {
                record.note(
                    `broken: ${id} got 200, signed, with ${answer.body.length} of ${bodyBytes} bytes, and an orderly end`,
                );
                mixed.push(id);
            }
            else {
                served += 1;
            }
            await sleep(1_000 * Math.random());
        }
    }

    async function killMachines() {
        for (let index = 0; performance.now() < endAt - killPeriodMs; index++) {
            await sleep(killPeriodMs - restartMs);
            const machine = machines[index % machineCount];
            fleet.signal(machine, "SIGKILL", { ends: true });
            await sleep(restartMs);
            fleet.start(machine);
        }
    }

    await Promise.all([
        ...Array.from({ length: clientCount }, (_, client) => runClient(client)),
        ...withTrouble ? [killMachines()] : [],
    ]);
    const summary =
        `sent ${sent}, served ${served}, no success ${withoutAnswer}; ${unframed} of ${answered} answers without a length; answers that ended early and look complete: ${mixed.length}`;
    record.note(summary);
    console.log(summary);
    return mixed.length > 0 ? exitCode.broken : exitCode.held;
});
