import { serve } from "@hono/node-server";
import { createMonotonicClock } from "@trefoilladder/clock";
import { createIdempotencyRegister } from "@trefoilladder/idempotency";
import { once } from "node:events";
import type { Server } from "node:http";
import type { AddressInfo } from "node:net";
import { rawResponse, startProxy, useRawTargets } from "../proxy/fixtures";
import type { ProxyFixture, RawTarget } from "../proxy/fixtures";
import { waitUntil } from "../wait-until";

interface Instance extends ProxyFixture {
    innerOrigin: string;
}

describe("requests with an idempotency key", () => {
    const { open, target } = useRawTargets();

    /** Starts an instance; instances of one fleet share the issuer map and the configuration of `first`. */
    async function startInstance(
        incarnation: string,
        rawTarget: RawTarget,
        fleet = new Map<string, string>(),
        first?: Instance,
    ) {
        const register = createIdempotencyRegister({ incarnation, clock: createMonotonicClock() });
        const shared = first === undefined ? {} : { configuration: first.configuration };
        const fixture = await startProxy([rawTarget.origin], {}, {
            idempotency: { register, resolveIssuer: name => fleet.get(name) },
            ...shared,
        });
        const inner = serve({ fetch: fixture.proxy.relayApp.fetch, hostname: "127.0.0.1", port: 0 }) as Server;
        await once(inner, "listening");
        open.push(fixture, { close: () => inner.close() && inner.closeAllConnections() });
        const innerOrigin = `http://127.0.0.1:${(inner.address() as AddressInfo).port}`;
        fleet.set(incarnation, innerOrigin);
        return { ...fixture, ...(first === undefined ? {} : { key: first.key, keyId: first.keyId }), innerOrigin };
    }

    async function issue(fixture: ProxyFixture, key = fixture.key): Promise<string> {
        const headers = { authorization: `Bearer ${key}` };
        const response = await fetch(`${fixture.url}/idempotency-keys`, { method: "POST", headers });
        expect([response.status, response.headers.get("request-outcome")]).toEqual([201, "ran"]);
        return (await response.json() as { key: string; }).key;
    }

    async function order(fixture: ProxyFixture, idempotencyKey: string, more: Record<string, string> = {}) {
        const response = await fetch(`${fixture.url}/orders`, {
            method: "POST",
            body: "order",
            headers: { authorization: `Bearer ${fixture.key}`, "idempotency-key": idempotencyKey, ...more },
        });
        const text = await response.text();
        const outcome = response.headers.get("request-outcome");
        return { status: response.status, outcome, text, next: response.headers.get("idempotency-key-next") };
    }

    const startCountingTarget = () => {
        let runs = 0;
        return target(socket => socket.write(rawResponse(`run ${++runs}`)));
    };

    it("returns the same response to a retry and issues the next key with each response", async () => {
        const fixture = await startInstance("a", await startCountingTarget());
        const first = await order(fixture, await issue(fixture));
        expect(first).toMatchObject({ status: 200, outcome: "ran", text: "run 1" });
        expect(await order(fixture, first.next!)).toMatchObject({ text: "run 2" });
        expect(await order(fixture, first.next!)).toMatchObject({ status: 200, outcome: "ran", text: "run 2" });
    });

    it("rejects keys chosen by the caller or issued to another organisation with outcome not-run", async () => {
        const rawTarget = await startCountingTarget();
        const fixture = await startInstance("a", rawTarget);
        for (const key of ["order-17", await issue(fixture, fixture.otherKey)]) {
            const refused = await order(fixture, key);
            expect(refused).toMatchObject({ status: 400, outcome: "not-run" });
            expect(refused.text).toContain("idempotency_key_not_issued");
        }
        expect(rawTarget.received).toEqual([]);
    });

    it("runs a request once for two concurrent submissions", async () => {
        let runs = 0;
        const rawTarget = await target(socket => {
            runs += 1;
            setTimeout(() => socket.write(rawResponse(`run ${runs}`)), 100);
        });
        const fixture = await startInstance("a", rawTarget);
        const key = await issue(fixture);
        const first = order(fixture, key);
        await waitUntil(() => runs === 1);
        const shortDeadline = await order(fixture, key, { "request-deadline-ms": "30" });
        expect(shortDeadline).toMatchObject({ status: 409, outcome: "unknown" });
        expect(await order(fixture, key)).toMatchObject({ status: 200, outcome: "ran", text: "run 1" });
        expect((await first).text).toBe("run 1");
        expect(runs).toBe(1);
    });

    it("keeps an unknown outcome permanently and allows reuse of the key after a refusal that ran nothing", async () => {
        let refuse = true;
        const rawTarget = await target(socket => {
            if (refuse) {
                socket.write(rawResponse("", "503 Service Unavailable", { "x-not-run": "true" }));
                return;
            }
            socket.destroy();
        });
        const fixture = await startInstance("a", rawTarget);
        const key = await issue(fixture);
        expect(await order(fixture, key)).toMatchObject({ status: 503, outcome: "not-run" });
        refuse = false;
        expect(await order(fixture, key)).toMatchObject({ status: 502, outcome: "unknown" });
        const requests = rawTarget.received.length;
        expect(await order(fixture, key)).toMatchObject({ status: 409, outcome: "unknown" });
        expect(rawTarget.received.length).toBe(requests);
    });

    it("answers a retry with outcome ran when the response was too large to store", async () => {
        const rawTarget = await target(socket => socket.write(rawResponse("r".repeat(70_000))));
        const fixture = await startInstance("a", rawTarget);
        const key = await issue(fixture);
        expect((await order(fixture, key)).text.length).toBe(70_000);
        const retry = await order(fixture, key);
        expect(retry).toMatchObject({ status: 409, outcome: "ran" });
        expect(retry.text).toContain("response_not_stored");
        expect(rawTarget.received.length).toBe(1);
    });

    // Guards against a permanently unknown outcome after the caller's connection is lost, the main reason for a retry.
    it("stores the response of a request whose caller disconnected", async () => {
        const rawTarget = await target(socket => void setTimeout(() => socket.write(rawResponse("run")), 100));
        const fixture = await startInstance("a", rawTarget);
        const key = await issue(fixture);
        const callerAbort = new AbortController();
        const lost = fetch(`${fixture.url}/orders`, {
            method: "POST",
            body: "order",
            headers: { "authorization": `Bearer ${fixture.key}`, "idempotency-key": key },
            signal: callerAbort.signal,
        }).catch(() => undefined);
        await waitUntil(() => rawTarget.received.length === 1);
        callerAbort.abort();
        await lost;
        expect(await order(fixture, key)).toMatchObject({ status: 200, outcome: "ran", text: "run" });
        expect(rawTarget.received.length).toBe(1);
    });

    it("relays to the issuer, which is the only instance to run the request, and runs it once", async () => {
        const [targetA, targetB] = [await startCountingTarget(), await startCountingTarget()];
        const fleet = new Map<string, string>();
        const a = await startInstance("a", targetA, fleet);
        const b = await startInstance("b", targetB, fleet, a);
        const key = await issue(a);
        const answers = [await order(b, key), await order(a, key), await order(b, key)];
        answers.forEach(answer => expect(answer).toMatchObject({ status: 200, outcome: "ran", text: "run 1" }));
        expect(targetA.received.length).toBe(1);
        expect(targetB.received).toEqual([]);
    });

    it("answers with outcome unknown and runs nothing when the issuer is gone, unreachable, or did not issue the key", async () => {
        const rawTarget = await startCountingTarget();
        const fleet = new Map<string, string>();
        const a = await startInstance("a", rawTarget, fleet);
        const b = await startInstance("b", rawTarget, fleet, a);
        const key = await issue(a);
        // Resolves issuer a to b's own origin: b must not relay the request again.
        for (const origin of [b.innerOrigin, "http://127.0.0.1:1", undefined]) {
            fleet.delete("a");
            if (origin !== undefined) {
                fleet.set("a", origin);
            }
            expect(await order(b, key)).toMatchObject({ status: 409, outcome: "unknown" });
        }
        expect(rawTarget.received).toEqual([]);
    });

    it("checks the caller's API key again at the issuer", async () => {
        const rawTarget = await startCountingTarget();
        const fleet = new Map<string, string>();
        const a = await startInstance("a", rawTarget, fleet);
        const key = await issue(a);
        const response = await fetch(`${a.innerOrigin}/relay/orders`, {
            method: "POST",
            headers: { "authorization": `Bearer tl_00000000_${"a".repeat(43)}`, "idempotency-key": key },
        });
        expect([response.status, response.headers.get("request-outcome")]).toEqual([401, "not-run"]);
        expect(rawTarget.received).toEqual([]);
    });
});
