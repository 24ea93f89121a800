/**
 * A target's answer without a length is reset on its way to the gateway. Shows whether a client can tell that it got only a part.
 */

import {
    delay,
    hasTrouble,
    openChannel,
    parseResponses,
    requestText,
    runCase,
    startBed,
    targetHeaders,
} from "../common/bed.mjs";

const downloads = 40;
/** One download in 20 is reset: x = 0.05 of the answers. */
const resetEvery = 20;
const bodyBytes = 500_000;
const sentBeforeReset = 300_000;

await runCase(import.meta.url, async record => {
    let served = 0;

    async function handle(incoming, outgoing, { id }) {
        const requestId = incoming.headers["request-id"];
        served += 1;
        const isReset = hasTrouble && served % resetEvery === 0;
        record.add(`target ${id} runs ${requestId}`);
        const headers = Object.entries(targetHeaders(incoming, id)).map(([name, value]) => `${name}: ${value}\r\n`);
        const { socket } = outgoing;
        socket.write(`HTTP/1.1 200 OK\r\n${headers.join("")}Connection: close\r\n\r\n`);
        socket.write(Buffer.alloc(isReset ? sentBeforeReset : bodyBytes, "x"));
        await delay(100);
        if (isReset) {
            record.add(
                `the channel from ${id} is reset after ${sentBeforeReset} of ${bodyBytes} bytes of ${requestId}`,
            );
            socket.resetAndDestroy();
            return;
        }
        socket.end();
    }

    const bed = await startBed({
        gateways: 1,
        targets: 3,
        routes: [{ name: "bundle", type: "download", timeoutMs: 5_000 }],
        handle,
        record,
    });
    await bed.waitUntilReady();
    let broken = 0;
    for (let index = 0; index < downloads; index++) {
        const id = `download-${index}`;
        const channel = openChannel(bed.hosts[0], bed.callersPort);
        channel.socket.write(requestText({ path: "/bundle/1", id, deadlineMs: 5_000 }));
        await channel.closed;
        const [response] = parseResponses(channel.received, channel.ending);
        const { status, framing, isComplete, headers } = response ?? {};
        const bytes = response?.body.length;
        record.add(
            `client got status ${status} for ${id}, signature ${
                headers?.["response-signature"]
            }, ${bytes} bytes, framing ${framing},`
                + ` channel ended by ${channel.ending}, looks complete: ${isComplete}`,
        );
        const isShort = status === 200 && bytes !== bodyBytes;
        broken += isShort && isComplete ? 1 : 0;
    }
    await bed.close();
    record.add(`MIXED: ${broken} successes with a part of the body look complete`);
    return broken > 0;
});
