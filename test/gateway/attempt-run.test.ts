import { ExchangeFailure } from "@trefoilladder/upstream";
import type { ConnectionPool, ExchangeListener, ResponseHead } from "@trefoilladder/upstream";
import { startRun } from "../../packages/gateway/src/attempt-run";
import type { AttemptRun, RunOptions, RunResult } from "../../packages/gateway/src/attempt-run";
import { createIdleLimits } from "../../packages/gateway/src/idle-limits";
import type { TargetCandidate, TargetTracker } from "../../packages/gateway/src/target-tracker";
import { headers, route, targetRecord } from "./fixtures";

interface Recording {
    result: RunResult;
    /** Targets in the order of the attempts. */
    targets: string[];
    /** Outcomes that the attempts recorded, in order. */
    outcomes: string[];
    /** Longest idle times of connections that the attempts allowed, in milliseconds. */
    maxIdleMs: number[];
}

function head(status: number, id: string): ResponseHead {
    const fields = ["Request-Id", id, "Response-Signature", "s"];
    return { status, reason: "", headers: fields, isCloseDelimited: false, bodyLength: undefined };
}

function candidate(index: number, fields: Partial<TargetCandidate> = {}): TargetCandidate {
    const target = { ...targetRecord(index, 1), coldUntil: 0 };
    return {
        target,
        unhealthyProbability: 0.07,
        pathFailureProbability: 0.01,
        utilisation: 0,
        msSinceOutcome: 0,
        isCold: false,
        isSameDomain: true,
        ...fields,
    };
}

function pool(
    respondAt: (target: string, listener: ExchangeListener) => void,
    maxIdleMs: number[],
    usesNewConnection: boolean,
): ConnectionPool {
    return {
        exchange(target, idleMs, request, listener) {
            maxIdleMs.push(idleMs);
            process.nextTick(() => {
                listener.sent();
                respondAt(target.id, listener);
            });
            return {
                cancel: () => undefined,
                pause: () => undefined,
                resume: () => undefined,
                usesNewConnection,
            };
        },
        hasIdle: () => false,
        closeIdleConnections: () => undefined,
        closeExpiredConnections: () => undefined,
        close: () => undefined,
        openedCount: 0,
        openCount: 0,
    };
}

/** Runs the attempts of a request whose first target is `target-0`. */
async function runAttempts(
    candidates: TargetCandidate[],
    respondAt: (target: string, listener: ExchangeListener) => void,
    options: Partial<RunOptions> & {
        hasManyTargets?: boolean;
        usesNewConnection?: boolean;
        now?(): number;
        random?(): number;
        started?(run: AttemptRun): void;
    } = {},
): Promise<Recording> {
    const outcomes: string[] = [];
    const maxIdleMs: number[] = [];
    const noop = () => undefined;
    const targetTracker = {
        candidates: (_: string, excluded: ReadonlySet<string>) =>
            excluded.size === 0 ? candidates.slice(0, 1) : candidates.filter(({ target }) => !excluded.has(target.id)),
        begin: noop,
        end: noop,
        observe: (_: string, kind: string) => void outcomes.push(kind),
        observeIdleReset: () => void outcomes.push("idle_reset"),
        reportLoad: noop,
        utilisation: (target: { id: string; }) =>
            candidates.find(candidate => candidate.target.id === target.id)!.utilisation,
    } as unknown as TargetTracker;
    const log = { request: noop } as never;
    const run = startRun({
        pool: pool(respondAt, maxIdleMs, options.usesNewConnection ?? true),
        targetTracker,
        directory: { isServing: () => true, markLeaving: noop, markThrottling: noop },
        headerNames: headers,
        now: options.now ?? (() => performance.now()),
        log,
        random: options.random ?? (() => 0.5),
        idleLimits: createIdleLimits({
            now: () => 0,
            log: { stateChange: noop },
            hasManyTargets: () => options.hasManyTargets ?? false,
            runningSince: () => 0,
            peersRunningSince: () => [],
        }),
    }, {
        id: "r1",
        route: route(),
        service: "dossier",
        transferKb: 1,
        typicalMs: 300,
        retryBudget: { deposit: noop, hasTokens: () => true, take: () => true },
        bodyBuffered: true,
        endAt: performance.now() + 2_000,
        lateAfterMs: 1_000,
        requestFor: () => ({ id: "r1", method: "GET", head: () => "", writeBody: noop }),
        maxBufferedBytes: 1_000,
        ...options,
    });
    options.started?.(run);
    return { result: await run.result, targets: [...run.targets], outcomes, maxIdleMs };
}

function respond(listener: ExchangeListener, status: number): void {
    listener.head(head(status, "r1"));
    listener.end();
}

describe("the attempts of a request", () => {
    // Guards against sending the last attempt that a route allows to a target suspected at 0.52, as if another attempt could
    // follow: the caller then receives that target's error.
    test("send the last one to a target that is not suspected", async () => {
        const candidates = [
            candidate(0),
            candidate(1, { unhealthyProbability: 0.52 }),
            candidate(2, { utilisation: 1 }),
        ];
        // The random term favours the suspected target, which is evaluated first.
        const draws = [0.5, 0.03, 0.5];
        const { result, targets } = await runAttempts(
            candidates,
            (target, listener) => respond(listener, target === "target-2" ? 200 : 500),
            { random: () => draws.shift() ?? 0.5 },
        );
        expect(targets).toEqual(["target-0", "target-2"]);
        expect(result.kind).toBe("response");
    });

    // Targets twelve times slower than usual respond to few requests in time. Under that load attempts are late at most
    // targets, so that lateness alone does not identify the slow ones.
    test("distinguish a target without a response at the deadline from one that is late", async () => {
        const endAt = performance.now() + 60;
        const { result, outcomes } = await runAttempts([candidate(0)], () => undefined, {
            route: route({ maxAttempts: 1 }),
            lateAfterMs: 20,
            endAt,
        });
        expect(result).toMatchObject({ kind: "none", end: "timed_out" });
        expect(outcomes).toEqual(["late", "timed_out"]);
    });

    // Guards against a non-idempotent request that is lost on a pooled connection: targets may drop connections that have been
    // idle for 210 ms.
    test("use no connection that has been idle for long when the request is not idempotent", async () => {
        const nonIdempotent = await runAttempts([candidate(0)], (_, listener) => respond(listener, 200), {
            route: route({ idempotent: false }),
        });
        expect(nonIdempotent.maxIdleMs[0]).toBeLessThan(210);
        const idempotent = await runAttempts([candidate(0)], (_, listener) => respond(listener, 200));
        expect(idempotent.maxIdleMs[0]).toBeGreaterThan(1_000);
        const manyTargets = await runAttempts([candidate(0)], (_, listener) => respond(listener, 200), {
            route: route({ idempotent: false }),
            hasManyTargets: true,
        });
        expect(manyTargets.maxIdleMs[0]).toBe(4_000);
    });

    // Guards against further requests on connections that targets drop, and against a sound target that is suspected for it.
    test("report the reset of a pooled connection before any response apart from outcomes", async () => {
        const reset = (_: string, listener: ExchangeListener) => listener.fail(new ExchangeFailure("broken", "reset"));
        const options = { route: route({ idempotent: false }) };
        const pooled = await runAttempts([candidate(0)], reset, { ...options, usesNewConnection: false });
        expect(pooled.outcomes).toEqual(["idle_reset"]);
        expect(pooled.result).toMatchObject({ kind: "none", notRun: false });
        const fresh = await runAttempts([candidate(0)], reset, options);
        expect(fresh.outcomes).toEqual(["failure"]);
    });

    // Guards against a retry for a disconnected caller: a target rejected a non-idempotent request 1.04 s after its caller had
    // disconnected, and the request was sent to a second target.
    test("end when a target has not run the request of a disconnected caller", async () => {
        let run: AttemptRun | undefined;
        const { result, targets } = await runAttempts([candidate(0), candidate(1)], (target, listener) => {
            if (target === "target-0") {
                run!.abandon();
                listener.head({ ...head(503, "r1"), headers: ["Request-Id", "r1", "Not-Run", "1"] });
                listener.end();
                return;
            }
            respond(listener, 200);
        }, { route: route({ idempotent: false }), started: started => run = started });
        expect(targets).toEqual(["target-0"]);
        expect(result).toMatchObject({ kind: "none", notRun: true });
    });

    test("let a target finish the non-idempotent request of a disconnected caller", async () => {
        let run: AttemptRun | undefined;
        const { result } = await runAttempts([candidate(0)], (_, listener) => {
            run!.abandon();
            respond(listener, 200);
        }, { route: route({ idempotent: false }), started: started => run = started });
        expect(result.kind).toBe("response");
    });

    // Targets with a gray failure respond with errors within 10 ms; errors that are due to the request come after it has been
    // processed.
    test("distinguish an immediate error from one after the usual processing time", async () => {
        const fast = await runAttempts([candidate(0)], (_, listener) => respond(listener, 500), {
            route: route({ maxAttempts: 1 }),
        });
        expect(fast.outcomes).toEqual(["failure"]);
        let now = performance.now();
        const slow = await runAttempts([candidate(0)], (_, listener) => {
            now += 250;
            respond(listener, 500);
        }, { route: route({ maxAttempts: 1 }), now: () => now });
        expect(slow.outcomes).toEqual(["request_failure"]);
    });
});
