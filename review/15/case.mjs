/**
 * Two of 14 upstreams go dark while they send their answers.
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
const timeoutMs = 2_000;
const deadlineMs = 12_000;
/** The rule's time in milliseconds after TimeoutMs, and a margin. */
const unansweredMs = 500;
const marginMs = 100;
/** An answer is sent in two parts, the second after some time. */
const answerBytes = 400_000;
const workMs = 230;
const pauseMs = 300;
/** srv_crash names a share of 0.15. */
const upstreamCount = 14;
const darkCount = 2;
const clientCount = 140;

const record = createRecord(new URL("record.txt", import.meta.url));
const parts = [];
const store = await startStore();
parts.push(store);
/** Requests whose answers have begun at each upstream. */
const begun = Array.from({ length: upstreamCount }, () => new Set());
const silencers = [];
for (let index = 0; index < upstreamCount; index++) {
    let silencer;
    const upstream = await startUpstream(store, {
        id: `u-${index}`,
        service: "archive",
        slots: 6,
        async through(address) {
            silencer = await startSilencer(address);
            return silencer.address;
        },
        run(incoming, outgoing) {
            const id = incoming.headers["request-id"];
            record(`upstream u-${index} runs ${id}`);
            setTimeout(() => {
                begun[index].add(id);
                outgoing.writeHead(200, {
                    "request-id": id,
                    "content-length": answerBytes,
                    "response-signature": `u-${index}.${id}`,
                });
                outgoing.write("x".repeat(answerBytes / 2 + 20_000));
                setTimeout(() => outgoing.end("x".repeat(answerBytes / 2 - 20_000)), pauseMs);
            }, workMs);
        },
    });
    silencers.push(silencer);
    parts.push(upstream, silencer);
}
store.put("keyed.op", "config", {
    Version: "r1",
    Resources: [
        resource("Routes", "bundle", {
            Host: "review.example",
            PathPrefix: "/bundle/",
            Type: "download",
            TimeoutMs: timeoutMs,
            TargetLatencyMs: 1_000,
            Priority: 2,
            Service: "archive",
            MaxAttempts: 2,
            Public: true,
        }),
        resource("Services", "archive", { HealthCheckPath: "/health", MaxConnections: 360 }),
        resource("Limits", "", {
            MaxHeaderBytes: 16_384,
            MaxBodyBytes: 67_108_864,
            HeaderTimeoutMs: 3_000,
            IdleTimeoutMs: 15_000,
        }),
    ],
});
const fleet = await startGateways({ store, count: 2, record });
parts.push(fleet);
if (!await fleet.ready(0) || !await fleet.ready(1)) {
    await finish(record, parts, 2, "the gateways did not become ready");
}

/** Times in milliseconds in which requests got their final answers or their channels ended. */
const times = [];
let whole = 0;
for (let client = 0; client < clientCount; client++) {
    const at = performance.now();
    const { host } = fleet.gateways[client % 2];
    const { id, result } = send({ host, port: fleet.ports.callers, path: "/bundle/1", deadlineMs });
    void result.then(({ status, body }) => {
        const ms = performance.now() - at;
        times.push(ms);
        whole += status === 200 && body?.length === answerBytes ? 1 : 0;
        record(`client gets ${status} for ${id} after ${Math.round(ms)} ms`);
    });
}
if (hasTrouble) {
    await delay(workMs + pauseMs / 2);
    for (let index = 0; index < darkCount; index++) {
        record(
            `upstream u-${index} goes dark, ${begun[index].size} answers begun, ${silencers[index].silence()} channels`,
        );
    }
}
await delay(deadlineMs + 2_000);
const lasting = times.filter(ms => ms > timeoutMs);
const unanswered = lasting.filter(ms => ms > timeoutMs + unansweredMs + marginMs);
const missing = clientCount - times.length;
const count = unanswered.length + missing;
if (whole === 0) {
    await finish(record, parts, 2, "no request was answered in full");
}
await finish(
    record,
    parts,
    count >= 8 && count > (lasting.length + missing) / 4 ? 1 : 0,
    `CONFIG: ${count} of ${
        lasting.length + missing
    } requests that lasted longer than TimeoutMs had no final answer half a second after it, the longest took ${
        Math.round(Math.max(...times))
    } ms; ${whole} answered in full`,
);
