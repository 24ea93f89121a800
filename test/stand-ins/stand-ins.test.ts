import { startInstanceList, startLog, startRelay, startTarget } from "@trefoilladder/stand-ins";
import type { Execution, LogBehaviour, TargetBehaviour, TargetOptions } from "@trefoilladder/stand-ins";
import { once } from "node:events";
import { connect, createServer } from "node:net";
import type { AddressInfo } from "node:net";

const closers: (() => Promise<unknown>)[] = [];
afterEach(async () => {
    await Promise.all(closers.splice(0).map(close => close()));
});

function track<Value extends { close(): Promise<unknown>; }>(value: Value): Value {
    closers.push(() => value.close());
    return value;
}

async function send(method: string, url: string, value?: unknown): Promise<Response> {
    return fetch(url, {
        method,
        headers: { "content-type": "application/json" },
        body: value === undefined ? undefined : JSON.stringify(value),
    });
}

describe("target", () => {
    async function createTarget(behaviour: Partial<TargetBehaviour> = {}, options: Partial<TargetOptions> = {}) {
        const target = track(await startTarget({ id: "dossier-0", ...options }));
        await send("PUT", `${target.url}/control/behaviour`, behaviour);
        return target;
    }

    async function executionsOf(url: string): Promise<Execution[]> {
        return (await (await fetch(`${url}/control/executions`)).json() as { executions: Execution[]; }).executions;
    }

    it("never runs a shed request, so a not-run report can be checked against its executions", async () => {
        const target = await createTarget({ lateMs: 100 }, { slots: 1 });
        const requests = ["1", "2", "3"].map(id => fetch(`${target.url}/x?token=t`, { headers: { "request-id": id } }));
        const responses = await Promise.all(requests);
        const shed = responses.filter(({ status }) => status === 503);
        expect(shed.map(({ headers }) => headers.get("x-not-run"))).toEqual(["true", "true"]);
        expect(shed[0]!.headers.get("retry-after")).toBe("1");
        expect(await executionsOf(target.url)).toHaveLength(1);
    });

    it("records the token, the idempotency key and a leaked API key, which the history checker relies on", async () => {
        const target = await createTarget();
        await fetch(`${target.url}/orders`, {
            method: "POST",
            headers: { "authorization": "Bearer k", "idempotency-key": "i-1", "request-id": "r-1" },
            body: JSON.stringify({ token: "t-1" }),
        });
        const expected = { requestId: "r-1", idempotencyKey: "i-1", token: "t-1", sawKey: true, path: "/orders" };
        expect(await executionsOf(target.url)).toMatchObject([expected]);
    });

    it("ends a truncated response before its content length instead of completing it", async () => {
        const target = await createTarget({ truncateRate: 1 });
        const response = await fetch(`${target.url}/x`);
        await expect(response.text()).rejects.toThrow();
    });

    it.each(["stallBeforeHeadersRate", "stallAfterHeadersRate"] as const)(
        "frees the slot of a request with %s when the client cancels, so a stall does not block the slot forever",
        async fault => {
            const target = await createTarget({ [fault]: 1 }, { slots: 1 });
            const cancel = new AbortController();
            const stalled = fetch(`${target.url}/x`, { signal: cancel.signal })
                .then(response => response.text()).catch(() => undefined);
            while ((await executionsOf(target.url)).length === 0) { /* Waits until the request runs. */ }
            cancel.abort();
            await stalled;
            await send("PUT", `${target.url}/control/behaviour`, { [fault]: 0 });
            let status = 503;
            while (status === 503) {
                status = (await fetch(`${target.url}/x`)).status;
            }
            expect(status).toBe(200);
        },
    );

    it("announces draining in the header and the health status", async () => {
        const target = await createTarget({ draining: true });
        expect((await fetch(`${target.url}/x`)).headers.get("x-target-state")).toBe("draining");
        expect((await fetch(`${target.url}/health`)).status).toBe(503);
    });

    it("drops only the requests of one failure domain", async () => {
        const target = await createTarget({ dropDomain: "a" }, { domains: ["a", "b"] });
        const [a, b] = [target.domainPorts.a!, target.domainPorts.b!];
        const dropped = fetch(`http://127.0.0.1:${a}/x`, { signal: AbortSignal.timeout(200) });
        await expect(dropped).rejects.toThrow();
        expect((await fetch(`http://127.0.0.1:${b}/x`)).status).toBe(200);
        expect(await executionsOf(target.url)).toHaveLength(1);
    });
});

describe("log", () => {
    async function createLog(behaviour: Partial<LogBehaviour> = {}) {
        const log = track(await startLog({ behaviour }));
        return { log, records: `${log.url}/streams/s/records` };
    }

    it("keeps a record whose append response was lost, so tests can cover a client that appends again", async () => {
        const { records } = await createLog({ loseResponseRate: 1 });
        await expect(send("POST", records, { value: 1 })).rejects.toThrow();
        expect(await (await fetch(records)).json()).toMatchObject({ endOffset: 1, records: [{ offset: 0, value: 1 }] });
    });

    it("responds with 410 for expired offsets and keeps the offsets stable, so a reader cannot skip records unnoticed", async () => {
        const { log, records } = await createLog({ retainedRecords: 2 });
        [1, 2, 3].forEach(value => log.append("s", value));
        expect((await fetch(`${records}?from=0`)).status).toBe(410);
        expect(await (await fetch(`${records}?from=1`)).json()).toEqual({
            firstOffset: 1,
            endOffset: 3,
            records: [{ offset: 1, value: 2 }, { offset: 2, value: 3 }],
        });
    });

    it("rejects appends above its rate", async () => {
        const { records } = await createLog({ appendsPerSecond: 2 });
        const statuses = (await Promise.all([1, 2, 3].map(value => send("POST", records, { value })))).map(r =>
            r.status
        );
        expect(statuses.sort()).toEqual([200, 200, 429]);
    });

    it("fails a pending long poll when an outage starts and serves again after the outage", async () => {
        const { log, records } = await createLog();
        const waiting = fetch(`${records}?waitMs=20000`);
        await send("PUT", `${log.url}/control/behaviour`, { outage: true });
        expect((await waiting).status).toBe(503);
        await send("PUT", `${log.url}/control/behaviour`, { outage: false });
        expect((await send("POST", records, { value: 1 })).status).toBe(200);
    });

    it("hides a record until the read lag has passed, then completes the long poll", async () => {
        const { log, records } = await createLog({ readLagMs: 150 });
        log.append("s", 1);
        expect(await (await fetch(records)).json()).toMatchObject({ endOffset: 0, records: [] });
        expect(await (await fetch(`${records}?waitMs=20000`)).json()).toMatchObject({ endOffset: 1 });
    });
});

describe("instance list", () => {
    const row = { id: "e", role: "entry", address: "127.0.0.1", port: 1, domain: "a", state: "live" };

    it("exposes a change only after the configured lag", async () => {
        const list = track(await startInstanceList({ lagMs: 60_000 }));
        await send("PUT", `${list.url}/instances/e`, row);
        expect(await (await fetch(`${list.url}/instances`)).json()).toEqual({ instances: [] });
        await send("PUT", `${list.url}/control/lag`, { lagMs: 0 });
        expect(await (await fetch(`${list.url}/instances`)).json()).toEqual({ instances: [row] });
    });

    it("rewrites ports only for the readers of one failure domain, so that a partition can affect one side", async () => {
        const list = track(await startInstanceList({ domains: ["a", "b"] }));
        await send("PUT", `${list.url}/instances/e`, row);
        await send("PUT", `${list.url}/control/rewrites/a`, { e: { port: 9 } });
        const portAt = async (url: string) => {
            return (await (await fetch(`${url}/instances`)).json() as { instances: { port: number; }[]; })
                .instances[0]!.port;
        };
        expect(await portAt(list.domainUrls.a!)).toBe(9);
        expect(await portAt(list.domainUrls.b!)).toBe(1);
    });
});

describe("relay", () => {
    it("withholds bytes in one direction only and delivers them in order when the fault ends", async () => {
        const received: string[] = [];
        const server = createServer(socket => {
            socket.on("data", chunk => received.push(chunk.toString()));
            socket.on("error", () => undefined);
            socket.write("hello");
        }).listen(0, "127.0.0.1");
        await once(server, "listening");
        closers.push(async () => void server.close());
        const relay = track(await startRelay());
        const link = await relay.open("a", "x", (server.address() as AddressInfo).port);
        relay.change({ source: "a", forward: { drop: true } });
        const client = connect(link.port, "127.0.0.1");
        client.write("1");
        expect(String((await once(client, "data"))[0])).toBe("hello");
        client.write("2");
        expect(received).toEqual([]);
        relay.change({ source: "a", forward: { drop: false } });
        while (received.join("") !== "12") {
            await new Promise(resolve => setTimeout(resolve, 5));
        }
        expect(link.forwardBytes).toBe(2);
        client.destroy();
    });
});
