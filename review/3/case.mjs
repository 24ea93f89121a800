/**
 * A faulty target sends an answer in chunks and adds a wrong Content-Length. Shows that the gateway passes that length on, so that a
 * client gets a part of the body as a complete success, and the rest where no answer is due.
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
/** One answer in 20 is spoilt: x = 0.05 of the answers. */
const spoiltEvery = 20;
const bodyBytes = 300_000;
const wrongLength = 1_000;
const answerTimeoutMs = 3_000;
/** Targets close idle channels after a second; the pause lets each download use a new channel. */
const keepAliveSeconds = 1;
const pauseMs = 450;

await runCase(import.meta.url, async record => {
    let answers = 0;

    async function handle(incoming, outgoing, { id }) {
        const requestId = incoming.headers["request-id"];
        const { socket } = incoming;
        answers += 1;
        const isSpoilt = hasTrouble && answers % spoiltEvery === 0;
        const headers = Object.entries(targetHeaders(incoming, id)).map(([name, value]) => `${name}: ${value}\r\n`)
            .join("");
        const fixedHeaders = `${headers}Keep-Alive: timeout=${keepAliveSeconds}\r\n`;
        record.add(`target ${id} runs ${requestId}${isSpoilt ? ` and adds Content-Length: ${wrongLength}` : ""}`);
        socket.write(
            `HTTP/1.1 200 OK\r\n${fixedHeaders}${
                isSpoilt ? `Content-Length: ${wrongLength}\r\n` : ""
            }Transfer-Encoding: chunked\r\n\r\n`,
        );
        socket.write(`${bodyBytes.toString(16)}\r\n`);
        socket.write(Buffer.alloc(bodyBytes, "x"));
        socket.write("\r\n0\r\n\r\n");
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
        const endAt = performance.now() + answerTimeoutMs;
        while (performance.now() < endAt && channel.ending === undefined && channel.socket.bytesRead < bodyBytes) {
            await delay(10);
        }
        await delay(20);
        const [response, ...others] = parseResponses(channel.bytes(), channel.ending);
        const { status, framing, isComplete, headers, body } = response ?? {};
        const strayBytes = others.reduce((sum, other) => sum + other.body.length, 0);
        record.add(
            `client got status ${status} for ${id}, signature ${
                headers?.["response-signature"]
            }, ${body?.length} bytes, framing ${framing},`
                + ` complete: ${isComplete}, then ${strayBytes} bytes on a channel with no request waiting`,
        );
        const isShort = status === 200 && isComplete && body.length !== bodyBytes;
        broken += isShort || strayBytes > 0 ? 1 : 0;
        channel.socket.destroy();
        await channel.closed;
        await delay(pauseMs);
    }
    await bed.close();
    record.add(`MIXED: ${broken} answers`);
    return broken > 0;
});
