import { createLimitGroup, createSharedLimit, createTokenClient, createTokenOwner } from "@trefoilladder/limits";
import type { TokenDecision, TokenRequest } from "@trefoilladder/limits";

const limitName = "taipei";
const maxWaitMs = 2_000;

/** Creates a client on a clock that `advance` moves; messages to other instances are recorded. */
function createFixture({ owners = ["b", "c"], fleetSize = 40, ratePerSecond = 40, burst = 80 } = {}) {
    let now = 0;
    const scheduled: { at: number; callback(): void; }[] = [];
    const sent: { address: string; request: TokenRequest; }[] = [];
    const group = createLimitGroup({ now: () => now, minChange: 1 });
    group.add(limitName, createSharedLimit({ ratePerSecond, burst, now, contactShare: 1 }));
    const owner = createTokenOwner({ group, now: () => now });
    const client = createTokenClient({
        self: () => "a",
        incarnation: "a1",
        group,
        owner,
        now: () => now,
        schedule: (callback, ms) => scheduled.push({ at: now + ms, callback }),
        owners: () => owners,
        fleetSize: () => fleetSize,
        send: (address, request) => sent.push({ address, request }),
        count: () => undefined,
    });

    function advance(ms: number): void {
        const end = now + ms;
        for (;;) {
            const due = scheduled.filter(({ at }) => at <= end).sort((a, b) => a.at - b.at)[0];
            if (due === undefined) {
                break;
            }
            scheduled.splice(scheduled.indexOf(due), 1);
            now = due.at;
            due.callback();
        }
        now = end;
    }

    function take(): TokenDecision[] {
        const decisions: TokenDecision[] = [];
        client.take(limitName, maxWaitMs, decision => decisions.push(decision));
        return decisions;
    }

    function start(): void {
        advance(1_000);
        owner.updateContact(1, true);
    }

    return { client, owner, group, sent, advance, take, start };
}

const granted: TokenDecision = { kind: "granted" };

describe("a request for a token", () => {
    // Guards against instances that all admit the same tokens: only the owner decides.
    test("is decided by the owner of the limit", () => {
        const { client, sent, take, start } = createFixture();
        start();
        const decisions = take();
        expect(decisions).toEqual([]);
        expect(sent.map(({ address }) => address)).toEqual(["b"]);
        client.receive("b", { ...sent[0]!.request, decision: granted });
        expect(decisions).toEqual([granted]);
    });

    test("is decided here when this instance is the owner", () => {
        const { take, start, sent } = createFixture({ owners: ["a", "b"] });
        start();
        expect(take()).toEqual([granted]);
        expect(sent).toEqual([]);
    });

    test("is repeated with the same identifier when no response arrives", () => {
        const { sent, take, start, advance } = createFixture();
        start();
        take();
        advance(60);
        expect(sent.map(({ address, request }) => [address, request.id])).toEqual([
            ["b", sent[0]!.request.id],
            ["b", sent[0]!.request.id],
        ]);
    });

    // Guards against a request that waits for an owner that has been killed.
    test("goes to the next instance when the owner does not respond, and so do the requests after it", () => {
        const { client, sent, take, start, advance } = createFixture();
        start();
        const decisions = take();
        advance(120);
        expect(sent.at(-1)!.address).toBe("c");
        client.receive("c", { ...sent.at(-1)!.request, decision: granted });
        expect(decisions).toEqual([granted]);
        take();
        expect(sent.at(-1)!.address).toBe("c");
    });

    // Guards against instances that are cut off together and admit a burst beside the one that the owner has granted.
    test("takes this instance's equal part of the rate when no owner responds", () => {
        const { take, start, advance } = createFixture({ fleetSize: 20 });
        start();
        const decisions: TokenDecision[][] = [];
        for (let elapsedMs = 0; elapsedMs < 3_000; elapsedMs += 100) {
            decisions.push(take());
            advance(100);
        }
        advance(300);
        const grantedCount = decisions.flat().filter(({ kind }) => kind === "granted").length;
        expect(grantedCount).toBeGreaterThanOrEqual(4);
        expect(grantedCount).toBeLessThanOrEqual(7);
        expect(decisions.flat()).toHaveLength(decisions.length);
    });

    // Guards against a token that nobody uses because the response took longer than the requester waits.
    test("uses a token that was granted too late to an earlier request", () => {
        const { client, sent, take, start, advance } = createFixture();
        start();
        take();
        const { request } = sent[0]!;
        advance(300);
        client.receive("b", { ...request, decision: granted });
        expect(take()).toEqual([granted]);
    });

    // Guards against a token that is used twice because a request was repeated and both responses arrive.
    test("takes one token although it was repeated and both responses arrive", () => {
        const { client, sent, take, start, advance } = createFixture();
        start();
        take();
        advance(60);
        expect(sent).toHaveLength(2);
        client.receive("b", { ...sent[0]!.request, decision: granted });
        client.receive("b", { ...sent[1]!.request, decision: granted });
        expect(take()).toEqual([]);
    });

    // Guards against a token that is used once more for each repetition that an owner answers late.
    test("uses a late token once although two late responses arrive", () => {
        const { client, sent, take, start, advance } = createFixture();
        start();
        take();
        const { request } = sent[0]!;
        advance(300);
        client.receive("b", { ...request, decision: granted });
        client.receive("b", { ...request, decision: granted });
        expect(take()).toEqual([granted]);
        expect(take()).not.toContainEqual(granted);
    });

    test("is rejected without asking until the owner expects the next token", () => {
        const { client, sent, take, start, advance } = createFixture();
        start();
        take();
        const decision: TokenDecision = { kind: "rejected", nextTokenMs: 30, retryAfterMs: 700 };
        client.receive("b", { ...sent[0]!.request, decision });
        expect(take()).toEqual([{ kind: "rejected", nextTokenMs: 30, retryAfterMs: 700 }]);
        expect(sent).toHaveLength(1);
        advance(31);
        take();
        expect(sent).toHaveLength(2);
    });

    // Guards against rejections in the first moments of a process, in which it knows neither the owner nor the fleet.
    test("waits for the start of this instance and for that of the owner", () => {
        const { client, owner, sent, take, advance } = createFixture();
        const decisions = take();
        advance(600);
        expect(sent).toEqual([]);
        owner.updateContact(1, true);
        advance(40);
        expect(sent).toHaveLength(1);
        client.receive("b", { ...sent[0]!.request, decision: { kind: "starting", remainingMs: 400 } });
        advance(60);
        expect(sent.length).toBeGreaterThan(1);
        client.receive("b", { ...sent.at(-1)!.request, decision: granted });
        expect(decisions).toEqual([granted]);
    });

    // Guards against a request of the owner itself that is refused while it hears of instances that start with it.
    test("waits when this instance is the owner and cannot decide yet", () => {
        const { owner, group, take, advance } = createFixture({ owners: ["a"], ratePerSecond: 10, burst: 20 });
        advance(310);
        owner.updateContact(1, true);
        group.setContactShare(0.1);
        owner.updateContact(0.1, true);
        const decisions = Array.from({ length: 8 }, take);
        expect(decisions.flat()).toEqual([granted, granted]);
        group.setContactShare(1);
        owner.updateContact(1, true);
        advance(1_000);
        expect(decisions.flat()).toEqual(decisions.map(() => granted));
    });

    // Guards against waiting requests that ask again and again while the owner starts.
    test("asks an owner that starts less and less often", () => {
        const { client, sent, take, start, advance } = createFixture();
        start();
        take();
        for (let elapsedMs = 0, answered = 0; elapsedMs < 1_000; elapsedMs += 20) {
            if (sent.length > answered) {
                answered = sent.length;
                client.receive("b", { ...sent.at(-1)!.request, decision: { kind: "starting", remainingMs: 400 } });
            }
            advance(20);
        }
        expect(sent.length).toBeGreaterThan(4);
        expect(sent.length).toBeLessThanOrEqual(10);
    });

    test("asks the next instance when the owner does not know the limit", () => {
        const { client, sent, take, start } = createFixture();
        start();
        take();
        client.receive("b", { ...sent[0]!.request, decision: { kind: "unknown" } });
        expect(sent.map(({ address }) => address)).toEqual(["b", "c"]);
    });

    test("ends in time when nothing responds", () => {
        const { take, advance } = createFixture();
        const decisions = take();
        advance(maxWaitMs + 50);
        expect(decisions).toHaveLength(1);
    });
});

describe("a request shortly after the start of this instance", () => {
    // Guards against a request that goes on before its token is there, which would exceed the plan.
    test("goes on once its token is there", () => {
        const { client, sent, take, start, advance } = createFixture();
        start();
        const decisions = take();
        client.receive("b", { ...sent[0]!.request, decision: { kind: "granted", delayMs: 300 } });
        advance(290);
        expect(decisions).toEqual([]);
        advance(20);
        expect(decisions).toEqual([granted]);
        expect(sent).toHaveLength(1);
    });

    test("waits for at most half of its time and 800 ms", () => {
        const { client, sent, start } = createFixture();
        start();
        client.take(limitName, 500, () => undefined);
        client.take(limitName, 2_000, () => undefined);
        expect(sent.map(({ request }) => request.maxDelayMs)).toEqual([250, 800]);
    });

    // Guards against a wait, and longer messages, in ordinary operation.
    test("does not wait for its token after some seconds", () => {
        const { sent, take, start, advance } = createFixture();
        start();
        advance(4_100);
        take();
        expect(sent[0]!.request).not.toHaveProperty("maxDelayMs");
    });

    // Guards against a process that holds any number of requests.
    test("does not wait for its token while many others wait", () => {
        const { client, sent, take, start } = createFixture();
        start();
        Array.from({ length: 256 }, take);
        sent.slice().forEach(({ request }) =>
            client.receive("b", { ...request, decision: { kind: "granted", delayMs: 700 } })
        );
        take();
        expect(sent.at(-1)!.request).not.toHaveProperty("maxDelayMs");
    });

    // Guards against a rejection of a request with little time that answers others, which can wait for the token.
    test("is not answered by the rejection of one that could wait for less time", () => {
        const { client, sent, take, start } = createFixture();
        start();
        const decisions: TokenDecision[] = [];
        client.take(limitName, 100, decision => decisions.push(decision));
        const decision: TokenDecision = { kind: "rejected", nextTokenMs: 200, retryAfterMs: 200 };
        client.receive("b", { ...sent[0]!.request, decision });
        expect(decisions).toEqual([decision]);
        take();
        expect(sent).toHaveLength(2);
        client.take(limitName, 100, repeated => decisions.push(repeated));
        expect(decisions).toHaveLength(2);
    });

    // Guards against a reserved token that another request uses before it is there.
    test("does not use a reserved token that was granted too late to an earlier request", () => {
        const { client, sent, take, start, advance } = createFixture();
        start();
        take();
        const { request } = sent[0]!;
        advance(300);
        client.receive("b", { ...request, decision: { kind: "granted", delayMs: 400 } });
        expect(take()).not.toContainEqual(granted);
    });
});
