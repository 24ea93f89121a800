/**
 * Another writer leaves entries of a service that no configuration names, at the addresses of four of ten upstreams that are ready.
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
const upstreamCount = 10;
const foreignCount = 4;
const requestsPerSecond = 76;
const workMs = 200;
const lengthMs = 16_000;
/** The entries are written when the traffic has run for this time; windows are judged from `settledMs` later on. */
const troubleAtMs = 4_000;
const settledMs = 3_000;
/** Rule FLOOR. */
const windowMs = 2_000;
const floorShare = 0.7;
const minUnserved = 0.1;
const maxUnserved = 0.5;

await runCase(import.meta.dirname, async ({ record, onClose }) => {
    const store = await startStore("127.0.0.1");
    onClose(() => store.close());
    const runs = [];
    const upstreams = await Promise.all(
        Array.from({ length: upstreamCount }, (_, index) =>
            startUpstream("127.0.0.1", {
                id: `i-${index}`,
                slots: 2,
                queue: 2,
                workMs: () => workMs,
                record,
                ran: (_, id) => runs.push({ id, at: performance.now() }),
            })),
    );
    const registry = createRegistry(store);
    onClose(() => {
        registry.close();
        upstreams.forEach(upstream => upstream.close());
    });
    upstreams.forEach(upstream => registry.add(upstream, "stock", { born: Date.now() - 60_000, slots: 2 }));
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
    if (!await untilReady(machines, 10_000)) {
        return exitCode.notRun;
    }
    await sleep(2_000);

    const sent = [];
    const startedAt = performance.now();
    let hasWritten = false;
    const pending = [];
    for (let index = 0; performance.now() - startedAt < lengthMs; index++) {
        const entry = { at: performance.now(), served: false };
        sent.push(entry);
        pending.push(
            request(machines[index % machineCount], record, {
                id: `look-${index}`,
                path: "/look/1",
                host: "shop.example",
                key: "key-1",
                deadlineMs: 2_000,
            }).then(({ status }) => entry.served = status === 200),
        );
        if (!hasWritten && withTrouble && performance.now() - startedAt >= troubleAtMs) {
            hasWritten = true;
            record.note("another writer writes its entries");
            upstreams.slice(0, foreignCount).forEach(({ address }, foreign) => {
                store.putJson("keyed.servers", `survey-${foreign}`, {
                    Service: "survey",
                    Address: address,
                    Zone: "a",
                    Version: "v1",
                    Slots: 2,
                    State: "ready",
                    ColdRemainingMs: 0,
                    Sequence: 1,
                    born: Date.now(),
                });
            });
        }
        await sleep(Math.max(0, startedAt + (index + 1) * 1_000 / requestsPerSecond - performance.now()));
    }
    await Promise.all(pending);

    let broken = 0;
    let judged = 0;
    let worst = "";
    for (let from = startedAt + troubleAtMs + settledMs; from + windowMs <= startedAt + lengthMs; from += 100) {
        const isInside = ({ at }) => at >= from && at < from + windowMs;
        const requests = sent.filter(isInside);
        const unserved = requests.filter(({ served }) => !served).length / requests.length;
        const used = new Set(runs.filter(isInside).map(({ id }) => id)).size / upstreamCount;
        judged += 1;
        if (used > 0 && used < floorShare && unserved > minUnserved && unserved < maxUnserved) {
            broken += 1;
            worst = `${used} of the upstreams get requests, ${unserved.toFixed(2)} of the requests are not served`;
        }
    }
    const all = sent.filter(({ at }) => at >= startedAt + troubleAtMs + settledMs);
    const summary = `windows with the rule broken: ${broken} of ${judged} ${worst}; served after the trouble: ${
        all.filter(({ served }) => served).length
    } of ${all.length}`;
    record.note(summary);
    console.log(summary);
    return broken > 0 ? exitCode.broken : exitCode.held;
});
