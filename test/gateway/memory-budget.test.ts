import { createChunkPacer } from "../../packages/gateway/src/chunk-pacing";
import { createFieldPacer } from "../../packages/gateway/src/field-pacing";
import { createMemoryBudget } from "../../packages/gateway/src/memory-budget";
import type { MemoryBudget, MemoryHolder } from "../../packages/gateway/src/memory-budget";

const total = 1_000_000;

/** Opens holders that record when they are dropped. */
function openHolders(budget: MemoryBudget, count: number, waitsForPeer = () => true) {
    const dropped: number[] = [];
    const holders: MemoryHolder[] = Array.from(
        { length: count },
        (_, index) => budget.open({ waitsForPeer, drop: () => dropped.push(index) }),
    );
    return { holders, dropped };
}

// Guards against a crowd whose single members hold little: the sum was not bounded.
test("the holders that have waited longest are dropped until the sum is below the bound", () => {
    const budget = createMemoryBudget(total);
    const { holders, dropped } = openHolders(budget, 100);
    holders.forEach(holder => holder.add("body", 20_000));
    expect(budget.usedBytes("body")).toBeLessThanOrEqual(0.75 * total);
    expect(dropped).toEqual(Array.from({ length: dropped.length }, (_, index) => index));
    expect(dropped.length).toBeLessThan(75);
});

// Guards against dropping a client that makes progress before one that sends a byte now and then.
test("progress of some bytes restarts the waiting time, single bytes do not", () => {
    const budget = createMemoryBudget(total);
    const { holders, dropped } = openHolders(budget, 3);
    holders.forEach(holder => holder.add("body", 240_000));
    holders[0]!.progress(20_000);
    holders[1]!.progress(1);
    holders[2]!.add("body", 100_000);
    expect(dropped).toEqual([1]);
});

// Guards against ending requests that run at a target, which no caller holds up.
test("a holder that does not wait for its peer is kept, and further bodies are refused", () => {
    const budget = createMemoryBudget(total);
    const { holders, dropped } = openHolders(budget, 2, () => false);
    holders[0]!.add("request", 600_000);
    expect([budget.acceptsBodies(), budget.acceptsRequests()]).toEqual([false, true]);
    holders[1]!.add("request", 350_000);
    expect([dropped, budget.acceptsRequests()]).toEqual([[], false]);
    holders.forEach(holder => holder.close());
    expect([budget.usedBytes("request"), budget.acceptsBodies()]).toEqual([0, true]);
});

// Guards against a budget that shrinks because memory is freed twice, or counted for a holder that is closed.
test("a closed or dropped holder counts nothing more", () => {
    const budget = createMemoryBudget(total);
    const { holders, dropped } = openHolders(budget, 2);
    holders[0]!.add("response", 500);
    expect(budget.dropLongestWaiting("response")).toBe(true);
    holders[0]!.add("response", -500);
    holders[0]!.add("body", 700);
    holders[0]!.close();
    holders[1]!.close();
    expect([dropped, budget.usedBytes("response"), budget.usedBytes("body")]).toEqual([[0], 0, 0]);
    expect(budget.dropLeastActive()).toBe(false);
});

// Guards against new connections that end a request in progress although idle connections are open.
test("idle connections are closed before those with requests", () => {
    const budget = createMemoryBudget(total);
    const { holders, dropped } = openHolders(budget, 3);
    holders[0]!.add("request", 10);
    budget.dropLeastActive();
    budget.dropLeastActive();
    budget.dropLeastActive();
    expect(dropped).toEqual([1, 2, 0]);
});

// Guards against bodies in chunks of a byte that keep the process from everything else, and against a delay of ordinary bodies.
test("small chunks are read at a bounded rate, large ones without a delay", () => {
    let time = 0;
    const pacer = createChunkPacer(() => time);
    for (let index = 0; index < 100_000; index++) {
        pacer.count(16_384);
    }
    expect(pacer.delayMs()).toBe(0);
    let chunks = 0;
    for (; time < 10_000; time += 10) {
        for (; pacer.delayMs() === 0 && chunks < 10_000_000; chunks++) {
            pacer.count(1);
        }
    }
    expect(chunks).toBeLessThanOrEqual(20_000 + 50 * 10_000 + 1);
    expect(chunks).toBeGreaterThan(400_000);
});

// Guards against delaying ordinary requests, or closing the connection of a single caller that sends many fields.
test("heads with many fields are delayed, and one connection alone does not exceed the pace", () => {
    let time = 0;
    const pacer = createFieldPacer(() => time);
    const fieldsOfOneRead = 16_000;
    for (let read = 0; read < 20; read++) {
        time += pacer.delayAfterMs(fieldsOfOneRead);
        expect(pacer.isExceeded()).toBe(false);
    }
    expect(time).toBeGreaterThan(0);
    expect(pacer.delayAfterMs(20)).toBe(0);
    Array.from({ length: 10 }, () => pacer.delayAfterMs(fieldsOfOneRead));
    expect(pacer.isExceeded()).toBe(true);
    time += 60_000;
    expect(pacer.isExceeded()).toBe(false);
});
