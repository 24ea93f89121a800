import { createRandom, sharedNow } from "@trefoilladder/stand-ins";
import type { Random } from "@trefoilladder/stand-ins";
import { randomBytes } from "node:crypto";
import { setTimeout as delay } from "node:timers/promises";
import { Agent } from "undici";
import type { Dispatcher } from "undici";
import type { Balancer } from "./balancer";
import type { EntryProcess } from "./fleet";
import { submissionEnd } from "./history";
import type { OrganisationLimit, Submission, SubmissionEnd } from "./history";

/** Load of one organisation. */
export interface OrganisationLoad {
    limit: OrganisationLimit;
    key: { id: string; text: string; };
    /** Mean arrivals per second at a time of the run. */
    offeredPerSecond(elapsedMs: number): number;
    /** Whether arrivals above the plan's rate and burst are dropped, so that every request is within the rate. */
    isWithinPlan: boolean;
}

/** Options of a load. */
export interface LoadOptions {
    organisations: readonly OrganisationLoad[];
    seconds: number;
    seed: number;
    /** Deadline of every request in milliseconds. */
    deadlineMs: number;
    balancer: Balancer;
}

/** A request that a caller intends to send. */
export interface Call {
    id: string;
    /** Time from the start of the load in milliseconds. */
    at: number;
    load: OrganisationLoad;
    method: "GET" | "POST";
    path: string;
    isWithinRate: boolean;
    hasIdempotencyKey: boolean;
    credential: keyof typeof credentials;
}

/** Result of a load. */
export interface LoadResult {
    submissions: Submission[];
    /** Whether the instances issue idempotency keys. */
    hasIdempotencyKeys: boolean;
}

/** Share of its rate that an organisation within its plan uses, so that the caller's clock error causes no excess. */
const withinPlanShare = 0.95;
const orderShare = 0.2;
const wrongCredentialShare = 0.01;
const maxSubmissions = 3;
/** Time after the deadline for which a caller still waits for the outcome, in milliseconds. */
const outcomeWaitMs = 1_000;

/** Authorization headers of callers by kind of credential; only `right` entitles a request to run. */
const credentials = {
    right: ({ text }: { text: string; }) => `Bearer ${text}`,
    missing: () => undefined,
    wrongSecret: ({ text }: { text: string; }) =>
        `Bearer ${text.slice(0, -43)}${randomBytes(32).toString("base64url")}`,
} as const;

/** Creates the calls of a run; the same seed gives the same calls. */
export function scheduleCalls(options: Pick<LoadOptions, "organisations" | "seconds" | "seed">): Call[] {
    const calls = options.organisations.flatMap((load, index) => {
        const random = createRandom(options.seed * 1_000 + index);
        return scheduleOrganisation(load, options.seconds * 1_000, random);
    });
    return calls.sort((a, b) => a.at - b.at);
}

function scheduleOrganisation(load: OrganisationLoad, endMs: number, random: Random): Call[] {
    const { organisation, ratePerSecond, burst } = load.limit;
    const share = load.isWithinPlan ? withinPlanShare : 1;
    const calls: Call[] = [];
    let level = burst;
    let previous = 0;
    for (let at = random.exponential(1_000 / load.offeredPerSecond(0)); at < endMs;) {
        level = Math.min(burst, level + (at - previous) * ratePerSecond * share / 1_000);
        previous = at;
        const isWithinRate = level >= 1;
        const isOrder = random.chance(orderShare);
        const isWrong = random.chance(wrongCredentialShare);
        if (isWithinRate || !load.isWithinPlan) {
            // A request with a wrong credential consumes no quota, but counting it keeps the schedule conservative.
            level -= isWithinRate ? 1 : 0;
            calls.push({
                id: `${organisation}-${calls.length}`,
                at,
                load,
                method: isOrder ? "POST" : "GET",
                path: `/${organisation}/${isOrder ? "orders" : "lookups"}/${calls.length}`,
                isWithinRate,
                // Small organisations send orders without an idempotency key, because fetching one may count against their rate.
                hasIdempotencyKey: isOrder && burst > 2 && random.chance(0.5),
                credential: isWrong ? random.pick(["missing", "wrongSecret"] as const) : "right",
            });
        }
        at += random.exponential(1_000 / load.offeredPerSecond(at));
    }
    return calls;
}

function classifyFailure(error: unknown): SubmissionEnd {
    const { name, code } = error as { name?: string; code?: string; };
    if (name === "TimeoutError" || name === "AbortError") {
        return submissionEnd.timeout;
    }
    return code === "ECONNREFUSED" || code === "UND_ERR_CONNECT_TIMEOUT"
        ? submissionEnd.connectFailed
        : submissionEnd.reset;
}

function parseBody(text: string): Record<string, unknown> {
    try {
        return JSON.parse(text) as Record<string, unknown>;
    }
    catch {
        return {};
    }
}

function textOf(value: unknown): string | undefined {
    return typeof value === "string" ? value : undefined;
}

async function fetchIdempotencyKey(
    agent: Dispatcher,
    entry: EntryProcess,
    authorization: string,
): Promise<string | undefined> {
    try {
        const { statusCode, headers, body } = await agent.request({
            origin: entry.url,
            path: "/idempotency-keys",
            method: "POST",
            headers: { authorization },
            signal: AbortSignal.timeout(outcomeWaitMs),
        });
        const answer = parseBody(await body.text());
        const key = textOf(headers["idempotency-key"]) ?? textOf(answer.idempotencyKey) ?? textOf(answer.key);
        return statusCode < 300 ? key : undefined;
    }
    catch {
        return undefined;
    }
}

/** Sends the calls at their scheduled times, independent of the responses; resolves when every call has ended. */
export async function runLoad(options: LoadOptions): Promise<LoadResult> {
    const { balancer, deadlineMs } = options;
    const agent = new Agent({ connections: 256, pipelining: 1, connect: { timeout: 1_000 } });
    const submissions: Submission[] = [];
    const startedAt = sharedNow();
    let hasIdempotencyKeys = false;

    async function submit(
        call: Call,
        entry: EntryProcess,
        attempt: number,
        idempotencyKey?: string,
    ): Promise<Submission> {
        const { load, method, path } = call;
        const authorization = credentials[call.credential](load.key);
        const intendedAt = startedAt + call.at;
        const sentAt = sharedNow();
        const remainingMs = Math.max(1, Math.floor(intendedAt + deadlineMs - sentAt));
        const submission: Submission = {
            requestId: `${call.id}-${attempt}`,
            callId: call.id,
            organisation: load.limit.organisation,
            keyId: call.credential === "right" ? load.key.id : undefined,
            isEntitled: call.credential === "right",
            instance: entry.id,
            method,
            path,
            isIdempotent: method === "GET",
            idempotencyKey,
            token: `token-${call.id}`,
            isWithinRate: call.isWithinRate,
            intendedAt,
            sentAt,
            deadlineMs,
            end: submissionEnd.response,
            endedAt: sentAt,
        };
        submissions.push(submission);
        try {
            const { statusCode, headers, body } = await agent.request({
                origin: entry.url,
                path: method === "GET" ? `${path}?token=${submission.token}` : path,
                method,
                headers: {
                    ...(authorization === undefined ? {} : { authorization }),
                    ...(idempotencyKey === undefined ? {} : { "idempotency-key": idempotencyKey }),
                    "request-id": submission.requestId,
                    "request-deadline-ms": String(remainingMs),
                    "content-type": "application/json",
                },
                body: method === "GET" ? undefined : JSON.stringify({ token: submission.token }),
                signal: AbortSignal.timeout(remainingMs + outcomeWaitMs),
            });
            const text = await body.text();
            const answer = parseBody(text);
            submission.status = statusCode;
            submission.outcome = textOf(headers["request-outcome"]);
            submission.code = textOf(answer.code);
            submission.responseToken = textOf(answer.token);
            submission.responseRequestId = textOf(answer.requestId);
        }
        catch (error) {
            submission.end = classifyFailure(error);
        }
        submission.endedAt = sharedNow();
        return submission;
    }

    /** Returns whether a caller may resubmit the call to another instance. */
    function mayResubmit(submission: Submission): boolean {
        const isRejectedUnexecuted = submission.outcome === "not-run" && submission.status === 503;
        const isLost = submission.end !== submissionEnd.response || submission.outcome === "unknown";
        return submission.end === submissionEnd.connectFailed || isRejectedUnexecuted
            || (isLost && (submission.isIdempotent || submission.idempotencyKey !== undefined));
    }

    async function runCall(call: Call): Promise<void> {
        const excluded = new Set<string>();
        let idempotencyKey: string | undefined;
        for (let attempt = 0; attempt < maxSubmissions; attempt += 1) {
            const entry = balancer.pick(excluded);
            if (entry === undefined) {
                await delay(50);
                continue;
            }
            const authorization = credentials[call.credential](call.load.key);
            if (attempt === 0 && call.hasIdempotencyKey && authorization !== undefined) {
                idempotencyKey = await fetchIdempotencyKey(agent, entry, authorization);
                hasIdempotencyKeys ||= idempotencyKey !== undefined;
            }
            const submission = await submit(call, entry, attempt, idempotencyKey);
            excluded.add(entry.id);
            if (!mayResubmit(submission) || submission.endedAt > submission.intendedAt + deadlineMs) {
                return;
            }
        }
    }

    const pending: Promise<void>[] = [];
    for (const call of scheduleCalls(options)) {
        const remainingMs = startedAt + call.at - sharedNow();
        if (remainingMs > 0) {
            await delay(remainingMs);
        }
        pending.push(runCall(call));
    }
    await Promise.all(pending);
    await agent.destroy();
    return { submissions, hasIdempotencyKeys };
}
