import type { Execution } from "@trefoilladder/stand-ins";
import { startTarget } from "@trefoilladder/stand-ins";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import type { Balancer } from "../../packages/experiment/src/balancer";
import type { EntryProcess } from "../../packages/experiment/src/fleet";
import type { Submission } from "../../packages/experiment/src/history";
import { runLoad, scheduleCalls } from "../../packages/experiment/src/load";
import type { OrganisationLoad } from "../../packages/experiment/src/load";
import { countFalseEjections, countRefusedWithinRate, measureDetection } from "../../packages/experiment/src/measures";
import type { Observations } from "../../packages/experiment/src/measures";
import { checkRateBound } from "../../packages/experiment/src/rate-bound";

function loadOf(changes: Partial<OrganisationLoad> = {}): OrganisationLoad {
    return {
        limit: { organisation: "small-0", ratePerSecond: 1, burst: 2 },
        key: { id: "k1", text: `tl_k1_${"s".repeat(43)}` },
        offeredPerSecond: () => 2,
        isWithinPlan: true,
        ...changes,
    };
}

describe("schedule of calls", () => {
    it("keeps an organisation within its plan, so that every refusal is an error of the fleet", () => {
        const calls = scheduleCalls({ organisations: [loadOf()], seconds: 600, seed: 3 });
        expect(checkRateBound(calls.map(({ at }) => at), 1, 2).excess).toBe(0);
        expect(calls.every(({ isWithinRate }) => isWithinRate)).toBe(true);
        expect(calls.length).toBeGreaterThan(300);
    });

    it("marks the calls of a bursting organisation above its plan, so that their refusals are not counted", () => {
        const organisations = [loadOf({ isWithinPlan: false, offeredPerSecond: () => 5 })];
        const calls = scheduleCalls({ organisations, seconds: 600, seed: 3 });
        const within = calls.filter(({ isWithinRate }) => isWithinRate);
        expect(checkRateBound(within.map(({ at }) => at), 1, 2).excess).toBe(0);
        expect(calls.length).toBeGreaterThan(2 * within.length);
    });

    it("creates the same calls for the same seed, so that a run can be repeated", () => {
        const schedule = (seed: number) => scheduleCalls({ organisations: [loadOf()], seconds: 60, seed });
        const timesOf = (seed: number) =>
            schedule(seed).map(({ at, path, credential }) => `${at} ${path} ${credential}`);
        expect(timesOf(5)).toEqual(timesOf(5));
        expect(timesOf(5)).not.toEqual(timesOf(6));
    });
});

describe("load", () => {
    function balancerOf(ports: readonly number[]): Balancer {
        const entries = ports.map((port, index) => ({ id: `entry-${index}`, url: `http://127.0.0.1:${port}` }));
        return {
            pick: (excluded = new Set()) => entries.find(({ id }) => !excluded.has(id)) as EntryProcess | undefined,
            readyCount: () => entries.length,
            close: async () => undefined,
        };
    }

    it("resubmits a non-idempotent call to another instance only with an idempotency key, and with the same one", async () => {
        // The first instance issues keys and loses every response; the second is the target itself.
        const target = await startTarget({ id: "dossier-0" });
        const lossyEntry = createServer((incoming, outgoing) => {
            if (incoming.url === "/idempotency-keys") {
                outgoing.end(JSON.stringify({ idempotencyKey: `i-${Math.random()}` }));
            }
            else {
                incoming.socket.destroy();
            }
        }).listen(0, "127.0.0.1");
        await new Promise(resolve => lossyEntry.once("listening", resolve));
        const limit = { organisation: "large-0", ratePerSecond: 100, burst: 100 };
        const { submissions } = await runLoad({
            organisations: [loadOf({ limit, offeredPerSecond: () => 80 })],
            seconds: 1,
            seed: 1,
            deadlineMs: 5_000,
            balancer: balancerOf([(lossyEntry.address() as AddressInfo).port, target.port]),
        });
        await target.close();
        lossyEntry.closeAllConnections();
        lossyEntry.close();
        const orders = submissions.filter(({ isIdempotent }) => !isIdempotent);
        const first = orders.filter(({ instance }) => instance === "entry-0");
        const repeated = orders.filter(({ instance }) => instance === "entry-1");
        const keyed = first.filter(({ idempotencyKey }) => idempotencyKey !== undefined);
        expect(keyed.length).toBeGreaterThan(0);
        expect(first.length).toBeGreaterThan(keyed.length);
        expect(repeated.map(({ idempotencyKey }) => idempotencyKey).sort())
            .toEqual(keyed.map(({ idempotencyKey }) => idempotencyKey).sort());
    });
});

describe("measures", () => {
    /** Executions every 10 ms that alternate over three targets, without those that the filter excludes. */
    function executionsOf(keep: (target: string, at: number) => boolean): Execution[] {
        return Array.from({ length: 1_000 }, (_, index) => ({ target: `t-${index % 3}`, startedAt: index * 10 }))
            .filter(({ target, startedAt }) => keep(target, startedAt)) as Execution[];
    }

    it("measures detection from the fault to the last requests of the target", () => {
        const executions = executionsOf((target, at) => target !== "t-0" || at < 4_000);
        const fault = { target: "t-0", from: 2_000, to: 9_000 };
        const detection = measureDetection(fault, executions, 0)!;
        expect(detection).toBeGreaterThan(1_700);
        expect(detection).toBeLessThanOrEqual(2_000);
        expect(measureDetection({ ...fault, target: "t-1" }, executions, 0)).toBe(Infinity);
    });

    it("counts a healthy target that loses its requests to others as falsely ejected, but not a faulty one", () => {
        const executions = executionsOf(() => true)
            .map(run => run.target === "t-0" && run.startedAt >= 4_000 ? { ...run, target: "t-1" } : run);
        const servicePeriods = ["t-0", "t-1", "t-2"].map(target => ({ target, from: 0, to: 10_000 }));
        const observations = { history: { executions }, servicePeriods, faults: [] } as unknown as Observations;
        expect(countFalseEjections(observations)).toBe(1);
        const faults = [{ target: "t-0", from: 3_000, to: 10_000 }];
        expect(countFalseEjections({ ...observations, faults })).toBe(0);
    });

    it("does not count the refusal of a repeated submission above the rate", () => {
        const limit = { organisation: "small-0", ratePerSecond: 1, burst: 2 };
        const submissions = [0, 10, 20, 1_100].map(sentAt => {
            return { organisation: "small-0", isEntitled: true, sentAt, status: sentAt >= 20 ? 429 : 200 };
        }) as Submission[];
        expect(countRefusedWithinRate(submissions, limit)).toBe(1);
    });

    it("does not count the end of a burst as ejections", () => {
        const executions = executionsOf((target, at) => target === "t-1" || at < 4_000);
        const servicePeriods = ["t-0", "t-1", "t-2"].map(target => ({ target, from: 0, to: 10_000 }));
        const observations = { history: { executions }, servicePeriods, faults: [] } as unknown as Observations;
        expect(countFalseEjections(observations)).toBe(0);
    });
});
