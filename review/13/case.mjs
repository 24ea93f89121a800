/**
 * The open channels of all machines to the store go silent; a second later an upstream leaves.
 */

import { setTimeout as delay } from "node:timers/promises";
import {
    createRecord,
    finish,
    resource,
    send,
    startGateways,
    startSilencer,
    startStore,
    startUpstream,
} from "../common-3/harness.mjs";

const hasTrouble = process.env.TROUBLE !== "0";
/** Bounds of the users' settings, in milliseconds. */
const drainMs = 2_000;
const contactMs = 3_000;
/** Time in milliseconds by which the clocks of two processes' events may seem to differ. */
const marginMs = 50;
const settleMs = 6_000;
const leaveAfterMs = 1_200;
const observedMs = 6_000;
const requestIntervalMs = 50;
const workMs = 50;

const record = createRecord(new URL("record.txt", import.meta.url));
const parts = [];
const store = await startStore();
parts.push(store);
const silencer = await startSilencer(store.address);
parts.push(silencer);
/** Times at which clients have sent their requests, by request, and those at which requests reached the upstream that left. */
const sentAt = new Map();
const reached = [];
const upstreams = [];
for (let index = 0; index < 4; index++) {
    upstreams.push(
        await startUpstream(store, {
            id: `u-${index}`,
            service: "dossier",
            run(incoming, _, answer) {
                const id = incoming.headers["request-id"];
                record(`upstream u-${index} runs ${id}`);
                if (index === 0) {
                    reached.push({ id, at: performance.now() });
                }
                setTimeout(() => answer(200, "answer"), workMs);
            },
        }),
    );
}
parts.push(...upstreams);
store.put("keyed.op", "config", {
    Version: "r1",
    Resources: [
        resource("Routes", "endorse", {
            Host: "review.example",
            PathPrefix: "/endorse/",
            Type: "unsafe",
            TimeoutMs: 2_000,
            TargetLatencyMs: 1_000,
            Priority: 1,
            Service: "dossier",
            MaxAttempts: 2,
            Public: true,
        }),
        resource("Services", "dossier", { HealthCheckPath: "/health", MaxConnections: 360 }),
        resource("Limits", "", {
            MaxHeaderBytes: 16_384,
            MaxBodyBytes: 67_108_864,
            HeaderTimeoutMs: 3_000,
            IdleTimeoutMs: 15_000,
        }),
    ],
});
const fleet = await startGateways({
    store: { address: silencer.address },
    count: 3,
    domains: ["a", "b", "c"],
    record,
});
parts.push(fleet);
for (const { index } of fleet.gateways) {
    if (!await fleet.ready(index)) {
        await finish(record, parts, 2, "the gateways did not become ready");
    }
}
await delay(settleMs);

let answers = 0;
const timer = setInterval(() => {
    for (const { host } of fleet.gateways) {
        const at = performance.now();
        const request = { host, port: fleet.ports.callers, path: "/endorse/1", method: "POST", body: "filing" };
        const { id, result } = send(request);
        sentAt.set(id, at);
        void result.then(({ status }) => {
            record(`client gets ${status} for ${id} from ${host}`);
            answers += status === 200 ? 1 : 0;
        });
    }
}, requestIntervalMs);
await delay(2_000);
const silentAt = performance.now();
if (hasTrouble) {
    record(`${silencer.silence()} channels to the store go silent`);
}
await delay(leaveAfterMs);
upstreams[0].leave();
const leftAt = performance.now();
record("the store has removed the entry of upstream u-0, which serves on");
await delay(observedMs);
clearInterval(timer);
await delay(500);

const late = reached.filter(({ id, at }) =>
    at > leftAt + drainMs + marginMs && sentAt.get(id) > silentAt + contactMs + marginMs
);
late.forEach(({ id, at }) => record(`late: ${id}, ${Math.round(at - leftAt)} ms after the removal`));
if (answers === 0) {
    await finish(record, parts, 2, "no request was answered");
}
await finish(
    record,
    parts,
    late.length > 0 ? 1 : 0,
    `DRAIN: ${late.length} requests reached an upstream later than DrainMs after the store had removed it; ${answers} answered`,
);
