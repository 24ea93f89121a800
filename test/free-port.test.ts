import { once } from "node:events";
import { createServer } from "node:net";
import { freePort, portsPerWorker } from "./free-port";

// Guards against gateways that cannot listen, because those of another run of the tests on the same machine use the port.
test.each(["127.0.0.1", "127.0.1.1"])("no port that is in use at %s counts as free", async host => {
    const used = await freePort();
    const server = createServer().listen(used, host);
    await once(server, "listening");
    const returned = new Set<number>();
    for (let call = 0; call < portsPerWorker; call++) {
        returned.add(await freePort());
    }
    server.close();
    expect(returned.has(used)).toBe(false);
    expect(returned.size).toBeGreaterThan(1);
});
