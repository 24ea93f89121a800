/**
 * Callers with three safe requests on their way on one channel, some of which leave while the first request is at work.
 */

import { connect } from "node:net";
import { setTimeout as delay } from "node:timers/promises";
import {
    createRecord,
    finish,
    getHead,
    readAnswers,
    resource,
    startGateways,
    startStore,
    startUpstream,
} from "../common-3/harness.mjs";

const hasTrouble = process.env.TROUBLE !== "0";
const deadlineMs = 15_000;
const timeoutMs = 8_000;
/** Times in milliseconds that an upstream works on a long request, on one that then fails, and on a download. */
const longWorkMs = 6_000;
const failedWorkMs = 3_000;
const downloadWorkMs = 230;
const downloadBytes = 90_000;
/** Clients, and those that leave; give_up names a share of 0.3. */
const clientCount = 34;
const leavingCount = 10;
const laterRequestMs = 800;
/** Half of the objective of 4,000 ms at the latest. */
const leaveAfterMs = 1_500;
/** The rule's time in milliseconds after a client has left, with some time for what is on its way. */
const stillAtWorkMs = 550;

const record = createRecord(new URL("record.txt", import.meta.url));
const parts = [];
const store = await startStore();
parts.push(store);
/** Runs at upstreams: request, time of the arrival, and times at which the run would end and has ended. */
const runs = [];
for (let index = 0; index < 8; index++) {
    parts.push(
        await startUpstream(store, {
            id: `u-${index}`,
            service: "archive",
            slots: 6,
            run(incoming, outgoing, answer) {
                const id = incoming.headers["request-id"];
                const at = performance.now();
                const isFirstRun = !runs.some(run => run.id === id);
                const isDownload = incoming.url.endsWith("/bundle");
                const fails = !isDownload && isFirstRun && Number(id.split("-")[1]) % 2 === 1;
                const workMs = isDownload ? downloadWorkMs : fails ? failedWorkMs : longWorkMs;
                const run = { id, at, wouldEndAt: at + workMs, endedAt: Infinity };
                runs.push(run);
                record(`upstream u-${index} runs ${id}`);
                const timer = setTimeout(
                    () => answer(fails ? 500 : 200, "x".repeat(isDownload ? downloadBytes : 400)),
                    workMs,
                );
                outgoing.on("close", () => {
                    clearTimeout(timer);
                    run.endedAt = performance.now();
                    record(`upstream u-${index} ends ${id} after ${Math.round(run.endedAt - at)} ms`);
                });
            },
        }),
    );
}
store.put("keyed.op", "config", {
    Version: "r1",
    Resources: [
        resource("Routes", "archive", {
            Host: "review.example",
            PathPrefix: "/archive/",
            Type: "safe",
            TimeoutMs: timeoutMs,
            TargetLatencyMs: 4_000,
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
const fleet = await startGateways({ store, count: 1, record });
parts.push(fleet);
if (!await fleet.ready(0)) {
    await finish(record, parts, 2, "the gateway did not become ready");
}

let answers = 0;
/** Times at which clients have left, by client. */
const leftAt = new Map();

function runClient(client) {
    const socket = connect(fleet.ports.callers, fleet.gateways[0].host);
    const request = (kind, path) => {
        const id = `${kind}-${client}`;
        record(`client ${client} sends ${id}`);
        socket.write(getHead({ id, path, deadlineMs }));
    };
    socket.on("error", () => undefined);
    readAnswers(socket, status => {
        answers += 1;
        record(`client ${client} gets ${status}`);
    });
    request("long", "/archive/status");
    request("first", "/archive/bundle");
    setTimeout(() => request("later", "/archive/bundle"), laterRequestMs);
    if (hasTrouble && client < leavingCount) {
        setTimeout(() => {
            record(`client ${client} leaves`);
            leftAt.set(client, performance.now());
            socket.destroy();
        }, leaveAfterMs);
    }
}

for (let client = 0; client < clientCount; client++) {
    runClient(client);
}
await delay(13_000);
const clientOf = ({ id }) => Number(id.split("-")[1]);
const ofLeaving = runs.filter(run => leftAt.has(clientOf(run)));
const lasting = ofLeaving.filter(run =>
    run.at <= leftAt.get(clientOf(run)) && run.wouldEndAt > leftAt.get(clientOf(run)) + stillAtWorkMs
);
const atWork = lasting.filter(run => run.endedAt > leftAt.get(clientOf(run)) + stillAtWorkMs);
const reached = ofLeaving.filter(run => run.at > leftAt.get(clientOf(run)) + stillAtWorkMs);
reached.forEach(({ id }) => record(`reached an upstream after its client had left: ${id}`));
const isBroken = atWork.length > lasting.length / 4 || reached.length > 3;
if (answers === 0 || hasTrouble && lasting.length === 0) {
    await finish(record, parts, 2, "no request was answered, or none was at work when its client left");
}
await finish(
    record,
    parts,
    isBroken ? 1 : 0,
    `GONE: upstreams were still at work on ${atWork.length} of ${lasting.length} requests half a second after their client had left; ${reached.length} reached an upstream after that; ${answers} answers`,
);
