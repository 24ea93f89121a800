/**
 * One of two gateways gets SIGTERM while clients download bundles and read statuses. Shows requests that a target has run and
 * answered, and that the gateway never answers.
 */

import {
    bounds,
    createPlatform,
    delay,
    exchange,
    hasTrouble,
    runCase,
    startBed,
    targetHeaders,
} from "../common/bed.mjs";

/** Requests as on the small site: sizes in bytes, times in milliseconds. */
const kinds = {
    bundle: { path: "/bundle/1", workMs: 230, deadlineMs: 12_000, timeoutMs: 12_000, everyMs: 60 },
    status: { path: "/status/1", workMs: 1_200, deadlineMs: 15_000, timeoutMs: 8_000, everyMs: 60 },
};
const bundleBytes = [60_000, 90_000, 200_000, 300_000, 540_000];
const signalAtMs = 3_000;
const trafficMs = 6_500;
/** End of all deadlines after the traffic. */
const settleMs = 12_500;

await runCase(import.meta.url, async record => {
    /** Time at which a target finished the answer to a request, in milliseconds. */
    const answeredAt = new Map();
    let bundles = 0;

    async function handle(incoming, outgoing, { id }) {
        const requestId = incoming.headers["request-id"];
        const isBundle = incoming.url.startsWith("/bundle/");
        record.add(`target ${id} runs ${requestId}`);
        await delay(isBundle ? kinds.bundle.workMs : kinds.status.workMs);
        const length = isBundle ? bundleBytes[bundles++ % bundleBytes.length] : 400;
        if (outgoing.destroyed) {
            return;
        }
        outgoing.writeHead(200, { ...targetHeaders(incoming, id), "Content-Length": length });
        outgoing.end(Buffer.alloc(length, "x"), () => {
            answeredAt.set(requestId, performance.now());
            record.add(`target ${id} has answered ${requestId}, ${length} bytes`);
        });
    }

    const bed = await startBed({
        gateways: 2,
        targets: 4,
        routes: [
            { name: "bundle", type: "download", timeoutMs: kinds.bundle.timeoutMs },
            { name: "status", type: "safe", timeoutMs: kinds.status.timeoutMs },
        ],
        handle,
        record,
    });
    await bed.waitUntilReady();
    const platform = createPlatform(bed, record);
    const beginAt = performance.now();
    const requests = [];
    let signalledAt = Infinity;
    let exitedAt = Infinity;

    async function send(kind, id) {
        const host = platform.pick(kind);
        const sentAt = performance.now();
        const result = await exchange(bed, host, { ...kinds[kind], id }, record);
        requests.push({ id, kind, host, sentAt, endedAt: performance.now(), ...result });
    }

    async function sendAll(kind) {
        const running = [];
        for (let index = 0; performance.now() - beginAt < trafficMs; index++) {
            running.push(send(kind, `${kind}-${index}`));
            await delay(kinds[kind].everyMs);
        }
        await Promise.all(running);
    }

    async function stopOne() {
        await delay(signalAtMs);
        if (hasTrouble) {
            const child = bed.processOf(bed.hosts[0]);
            child.once("exit", () => exitedAt = performance.now());
            signalledAt = performance.now();
            child.kill("SIGTERM");
            record.add(`SIGTERM to gateway ${bed.hosts[0]}`);
        }
    }

    await Promise.race([Promise.all([sendAll("bundle"), sendAll("status"), stopOne()]), delay(trafficMs + settleMs)]);
    platform.close();
    await bed.close();

    /** LOST around a SIGTERM, with the cases that the rule does not count. */
    function isLost({ id, kind, host, sentAt, endedAt, isComplete }) {
        const limitMs = Math.min(kinds[kind].deadlineMs, kinds[kind].timeoutMs);
        const doneAt = answeredAt.get(id);
        return !isComplete && host === bed.hosts[0] && doneAt !== undefined
            && endedAt >= signalledAt && endedAt <= signalledAt + (bounds.graceS + 1) * 1_000
            && endedAt - sentAt < limitMs - 50
            && doneAt < signalledAt + bounds.graceS * 1_000 * 5 / 6;
    }

    const lost = requests.filter(isLost);
    for (const { id, sentAt, endedAt } of lost) {
        const doneMs = Math.round(answeredAt.get(id) - sentAt);
        record.add(
            `LOST ${id}: the target's answer was complete ${doneMs} ms after the request was sent, the channel ended without an`
                + ` answer after ${Math.round(endedAt - sentAt)} ms, ${
                    Math.round(endedAt - signalledAt)
                } ms after SIGTERM`,
        );
    }
    const failed = requests.filter(({ status }) => status === 504).length;
    record.add(`${requests.length} requests, ${failed} answered 504, ${lost.length} LOST`);
    if (hasTrouble) {
        record.add(`the process ended ${Math.round(exitedAt - signalledAt)} ms after SIGTERM`);
    }
    return lost.length > 0;
});
