/**
 * A version of the configuration contains no tenants any more, so that requests carry no key.
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
const requestsBefore = 100;
const requestsAfter = 300;
/** Bounds ConfigApplyMs and ContactMs of the settings. */
const configApplyMs = 2_000;
const contactMs = 3_000;
/** Rule DENIED: more than 5 and one in 500 of all requests. */
const maxDenied = 5 + (requestsBefore + requestsAfter) / 500;

await runCase(import.meta.dirname, async ({ record, onClose }) => {
    const store = await startStore("127.0.0.1");
    onClose(() => store.close());
    const upstreams = await Promise.all(
        Array.from({ length: upstreamCount }, (_, index) =>
            startUpstream("127.0.0.1", {
                id: `i-${index}`,
                workMs: () => 50,
                record,
            })),
    );
    const registry = createRegistry(store);
    onClose(() => {
        registry.close();
        upstreams.forEach(upstream => upstream.close());
    });
    upstreams.forEach(upstream => registry.add(upstream, "stock"));
    const parts = {
        routes: [{ name: "look", Service: "stock" }, { name: "buy", Service: "stock", Type: "unsafe", MaxAttempts: 1 }],
        services: ["stock"],
    };
    const tenants = [{ name: "t1", ApiKeys: ["key-1"] }];
    store.putJson("keyed.op", "config", configuration(1, { ...parts, tenants }));
    const fleet = await createFleet({ count: machineCount, storeAddress: store.address, record });
    onClose(fleet.close);
    const { machines } = fleet;
    machines.forEach(machine => fleet.start(machine));
    if (!await untilReady(machines, 10_000)) {
        return exitCode.notRun;
    }
    await sleep(contactMs);

    let denied = 0;
    let served = 0;
    async function send(count, key) {
        for (let index = 0; index < count; index++) {
            const isUnsafe = index % 2 === 1;
            const { status } = await request(machines[index % machineCount], record, {
                id: `${key ?? "none"}-${index}`,
                method: isUnsafe ? "POST" : "GET",
                body: isUnsafe ? "1" : undefined,
                path: isUnsafe ? "/buy/1" : "/look/1",
                host: "shop.example",
                key,
                deadlineMs: 3_000,
            });
            served += status === 200 ? 1 : 0;
            denied += status >= 300 && status < 500 && ![408, 421, 429].includes(status) ? 1 : 0;
        }
    }

    await send(requestsBefore, "key-1");
    record.note("the configuration changes");
    store.putJson("keyed.op", "config", configuration(2, { ...parts, tenants: withTrouble ? [] : tenants }));
    await sleep(configApplyMs + contactMs);
    await send(requestsAfter, withTrouble ? undefined : "key-1");
    const summary = `served ${served} of ${
        requestsBefore + requestsAfter
    }, ended with a 3xx or 4xx of the system: ${denied}`;
    record.note(summary);
    console.log(summary);
    return denied > maxDenied ? exitCode.broken : exitCode.held;
});
