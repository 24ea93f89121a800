/**
 * Callers with several safe requests on their way on one channel, while their gateway gets SIGTERM.
 */

import { randomUUID } from "node:crypto";
import { connect } from "node:net";
import { setTimeout as delay } from "node:timers/promises";
import {
    createRecord,
    finish,
    getHead,
    readAnswers,
    resource,
    startGateways,
    startLink,
    startStore,
    startUpstream,
} from "../common-3/harness.mjs";

const hasTrouble = process.env.TROUBLE !== "0";
const graceMs = 6_000;
const timeoutMs = 8_000;
const deadlineMs = 15_000;
/** Time in milliseconds that an upstream works on a request, and size of its answer in bytes. */
const workMs = 1_200;
const answerBytes = 200_000;
/** Time in milliseconds between two requests of a client, and the number of its requests without the disruption. */
const gapMs = 250;
const requestsWithoutTrouble = 24;
const clientCount = 6;
/** The narrowest link of our pages, 7 Mbit/s, and the time in milliseconds to the clients. */
const link = { bytesPerSecond: 7_000_000 / 8, delayMs: 3 };
const termAfterMs = 2_000;

const record = createRecord(new URL("record.txt", import.meta.url));
const parts = [];
const store = await startStore();
parts.push(store);
/** Times at which upstreams had sent their whole answers, by request. */
const answeredAt = new Map();
for (let index = 0; index < 6; index++) {
    parts.push(
        await startUpstream(store, {
            id: `u-${index}`,
            service: "archive",
            slots: 6,
            run(incoming, outgoing, answer) {
                const id = incoming.headers["request-id"];
                record(`upstream u-${index} runs ${id}`);
                outgoing.on("finish", () => {
                    answeredAt.set(id, performance.now());
                    record(`upstream u-${index} has answered ${id}`);
                });
                setTimeout(() => answer(200, "x".repeat(answerBytes)), workMs);
            },
        }),
    );
}
store.put("keyed.op", "config", {
    Version: "r1",
    Resources: [
        resource("Routes", "status", {
            Host: "review.example",
            PathPrefix: "/status/",
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
const fleet = await startGateways({ store, count: 2, record, stopSeconds: graceMs / 1_000 });
parts.push(fleet);
if (!await fleet.ready(0) || !await fleet.ready(1)) {
    await finish(record, parts, 2, "the gateways did not become ready");
}
const { port, close } = await startLink({ ...link, host: fleet.gateways[0].host, port: fleet.ports.callers });
parts.push({ close });

/** Sends requests on one channel until an answer closes it; resolves with what was sent and answered once the channel has ended. */
function runClient(client) {
    return new Promise(resolve => {
        const socket = connect(port, "127.0.0.1");
        const sent = [];
        let answers = 0;
        let isClosing = false;
        let error = "none";
        socket.on("error", ({ code }) => error = code);
        readAnswers(socket, status => {
            record(`client ${client} gets ${status} for ${sent[answers].id}`);
            answers += 1;
            if (!hasTrouble && answers === requestsWithoutTrouble) {
                socket.end();
            }
        }, head => {
            isClosing ||= /^connection: close$/im.test(head);
        });
        const timer = setInterval(() => {
            if (isClosing || socket.destroyed || !hasTrouble && sent.length === requestsWithoutTrouble) {
                clearInterval(timer);
                return;
            }
            const id = randomUUID();
            sent.push({ id, at: performance.now() });
            record(`client ${client} sends ${id}`);
            socket.write(getHead({ id, path: "/status/1", deadlineMs }));
        }, gapMs);
        socket.on("close", () => {
            clearInterval(timer);
            record(`channel of client ${client} ends, error ${error}`);
            resolve({ unanswered: sent.slice(answers), endedAt: performance.now(), answers });
        });
    });
}

const clients = Array.from({ length: clientCount }, (_, index) => runClient(index));
if (hasTrouble) {
    await delay(termAfterMs);
    void fleet.kill(0, "SIGTERM");
}
const results = await Promise.race([Promise.all(clients), delay(60_000)]);
if (results === undefined) {
    await finish(record, parts, 2, "the channels of the clients did not end");
}
/** Requests that were passed on and answered by their upstream before the channel ended, within their time, without an answer. */
const lost = results.flatMap(({ unanswered, endedAt }) =>
    unanswered.filter(({ id, at }) => answeredAt.get(id) < endedAt && endedAt - at < timeoutMs)
);
lost.forEach(({ id }) => record(`lost: ${id}`));
const answers = results.reduce((sum, result) => sum + result.answers, 0);
if (answers === 0) {
    await finish(record, parts, 2, "no request was answered");
}
await finish(
    record,
    parts,
    lost.length > 0 ? 1 : 0,
    `LOST: ${lost.length} requests were run and answered by their upstream and their channel ended without a complete answer; ${answers} answered`,
);
