/**
 * Guards against connections that are lost or refused while the program is still being loaded after a restart.
 */

import { createServer } from "node:http";
import { connect } from "node:net";
import { openEarlyListener } from "../../packages/gateway/src/early-listener";
import { listen } from "../../packages/gateway/src/listen";
import { freePort } from "../free-port";

const host = "127.0.0.1";

test("answers a connection that was opened before the server took over the listener", async () => {
    const port = await freePort();
    const listener = await openEarlyListener(host, port);
    const client = connect({ host, port });
    client.write("GET / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n");
    const server = createServer((_, outgoing) => outgoing.end("whole"));
    await listen(server, `${host}:${port}`, listener);
    const chunks: Buffer[] = [];
    for await (const chunk of client) {
        chunks.push(chunk as Buffer);
    }
    server.close();
    expect(Buffer.concat(chunks).toString()).toMatch(/^HTTP\/1\.1 200 OK\r\n[^]*whole/);
});

test("leaves an address that is in use to the gateway's own listener, which reports it", async () => {
    const port = await freePort();
    const other = await openEarlyListener(host, port);
    expect(await openEarlyListener(host, port)).toBeUndefined();
    await expect(listen(createServer(), `${host}:${port}`)).rejects.toThrow(/cannot listen on/);
    other?.close();
});
