import type { Clock } from "@trefoilladder/clock";
import type { ListedInstance } from "@trefoilladder/platform";
import type { Attempt, AttemptReport, RandomSource, Router, RouterOptions } from "@trefoilladder/routing";
import { Dispatcher } from "undici";

/** Behaviour of a synthetic target for one request. */
export interface TargetBehaviour {
    headersMs: number;
    status?: number;
    /** Whether the response body never ends. */
    stalls?: boolean;
}

export type BehaviourModel = (target: string, now: number) => TargetBehaviour;

export const service = "dossier";

/** Returns listed targets in three failure domains. */
export function listTargets(count: number, first = 0): ListedInstance[] {
    return Array.from({ length: count }, (_, index) => ({
        id: `target-${first + index}`,
        role: "target" as const,
        service,
        address: "127.0.0.1",
        port: 20_000 + first + index,
        domain: ["a", "b", "c"][(first + index) % 3]!,
        state: "live" as const,
    }));
}

class SyntheticDispatcher extends Dispatcher {
    constructor(
        private readonly target: string,
        private readonly clock: Clock,
        private readonly behave: BehaviourModel,
    ) {
        super();
    }

    override dispatch(options: Dispatcher.DispatchOptions, handler: Dispatcher.DispatchHandler): boolean {
        const controller = { aborted: false, paused: false, reason: null, abort() {}, pause() {}, resume() {} };
        const behaviour = options.path === "/health"
            ? { headersMs: 1, status: 200 }
            : this.behave(this.target, this.clock.now());
        handler.onRequestStart?.(controller, {});
        void this.clock.sleep(behaviour.headersMs).then(() => {
            handler.onResponseStart?.(controller, behaviour.status ?? 200, {}, "");
            if (behaviour.stalls !== true) {
                handler.onResponseEnd?.(controller, {});
            }
        });
        return true;
    }
}

/** Returns a pool factory whose connections simulate targets by the given behaviour. */
export function createSyntheticPools(clock: Clock, behave: BehaviourModel): NonNullable<RouterOptions["createPool"]> {
    return origin => {
        const dispatcher = new SyntheticDispatcher(`target-${Number(origin.split(":")[2]) - 20_000}`, clock, behave);
        // `compose` adapts the handlers of undici's own requests.
        const composed = dispatcher.compose(dispatch => (options, handler) => dispatch(options, handler));
        return { dispatcher: () => composed, close() {}, destroy: async () => {} };
    };
}

/** Returns a latency of a healthy target: 2 to 6 ms, for one request in twenty 12 to 30 ms. */
export function healthyLatency(random: RandomSource): number {
    return random.next() < 0.05 ? 12 + 18 * random.next() : 2 + 4 * random.next();
}

/** Timeout of one attempt in the synthetic traffic. */
const attemptTimeoutMs = 2_000;

/** Sends one request on an attempt, reports its outcome and releases the slot. */
export function runAttempt(attempt: Attempt, clock: Clock): Promise<AttemptReport> {
    return new Promise(resolve => {
        const startedAt = clock.now();
        const timer = new AbortController();
        let headersMs: number | undefined;
        let status = 200;
        const finish = (outcome: AttemptReport["outcome"]) => {
            timer.abort();
            const report = { outcome, headersMs };
            attempt.release(report);
            resolve(report);
        };
        void clock.sleep(attemptTimeoutMs, timer.signal).then(() => {
            if (!timer.signal.aborted) {
                finish("stalled");
            }
        });
        attempt.dispatcher.dispatch({ path: "/nominees", method: "GET" }, {
            onRequestStart() {},
            onResponseStart(_controller, statusCode) {
                status = statusCode;
                headersMs = clock.now() - startedAt;
            },
            onResponseEnd() {
                finish(status >= 500 ? "failed" : "completed");
            },
            onResponseError() {
                finish("reset");
            },
        });
    });
}

/** Results of synthetic traffic. */
export interface TrafficCounts {
    sent: number;
    completed: number;
    refused: number;
    byTarget: Map<string, number>;
    waitMs: number[];
}

/** Sends requests of one organisation with exponentially distributed intervals until the time `endsAt`. */
export async function runTraffic(
    router: Router,
    context: { clock: Clock; random: RandomSource; ratePerSecond: number; endsAt: number; organisation?: string; },
): Promise<TrafficCounts> {
    const { clock, random, ratePerSecond, endsAt } = context;
    const counts: TrafficCounts = { sent: 0, completed: 0, refused: 0, byTarget: new Map(), waitMs: [] };
    const sendOne = async (): Promise<void> => {
        const startedAt = clock.now();
        const acquired = await router.acquire({
            service,
            organisation: context.organisation ?? "laurel",
            deadlineAt: startedAt + 2_000,
            excludedTargets: new Set(),
            signal: new AbortController().signal,
        });
        counts.sent += 1;
        if (acquired.isErr()) {
            counts.refused += 1;
            return;
        }
        const attempt = acquired.value;
        counts.waitMs.push(clock.now() - startedAt);
        counts.byTarget.set(attempt.target.id, (counts.byTarget.get(attempt.target.id) ?? 0) + 1);
        const report = await runAttempt(attempt, clock);
        counts.completed += report.outcome === "completed" ? 1 : 0;
    };
    while (clock.now() < endsAt) {
        await clock.sleep(-Math.log(1 - random.next()) * 1_000 / ratePerSecond);
        void sendOne();
    }
    return counts;
}
