/**
 * Handling of a caller's request: validation, rate limit, attempts at targets, response.
 */

import { retryAfterKnownWaitSeconds, retryAfterSeconds } from "@trefoilladder/placement";
import type { TargetDirectory } from "@trefoilladder/replication";
import type { ConfigurationIndex, Organisation, Route } from "@trefoilladder/serving";
import type { ResponseHead } from "@trefoilladder/upstream";
import { err, ok, safeTry } from "neverthrow";
import type { Result } from "neverthrow";
import { createHash } from "node:crypto";
import type { IncomingMessage, ServerResponse } from "node:http";
import { admitLoad } from "./admission";
import { startRun } from "./attempt-run";
import type { AttemptRun, RunParts, RunResult } from "./attempt-run";
import { createBodySource } from "./body-source";
import type { BodySource } from "./body-source";
import type { CallerConnections } from "./caller-connections";
import { readCallerRequest } from "./caller-request";
import type { CallerRequest } from "./caller-request";
import { maxHeaderFields } from "./caller-server";
import type { ChunkPacer } from "./chunk-pacing";
import type { LimitDecisions } from "./limit-decisions";
import { memoryUse } from "./memory-budget";
import type { MemoryBudget, MemoryUse } from "./memory-budget";
import type { Metrics, ResponseLabels } from "./metrics";
import { createOutgoingRequest } from "./outgoing-request";
import { limitFields } from "./rate-limits";
import type { RateLimits } from "./rate-limits";
import { refusal } from "./refusal";
import type { Refusal } from "./refusal";
import { sendRefusal } from "./refusal-response";
import { maxBufferedRequestBytes, readBody } from "./request-body";
import type { BodyProblem, RequestBody } from "./request-body";
import type { RequestWorks, WorkedRequest } from "./request-works";
import { impliesNotRun } from "./response-check";
import { breakOffResponse, sendResponse, streamResponse } from "./response-relay";
import type { createRouteProfiles } from "./route-profile";
import type { ServiceState } from "./service-states";
import type { RequestWork } from "./service-work";
import type { StartupWait } from "./startup-wait";
import { canFinish } from "./stop";
import type { StopTimes } from "./stop";
import type { createEligibility, TargetEligibility } from "./target-eligibility";
import { boundUnreadBody } from "./unread-body";
import type { WorkAdmission, WorkedAdmission } from "./work-admission";

/** Dependencies of the request path. */
export interface FlowParts extends RunParts {
    connections: Pick<
        CallerConnections,
        "turnOf" | "hasLaterRequest" | "acceptNoneAfter" | "isLastAccepted" | "memoryOf" | "setReadsBody"
    >;
    budget: Pick<MemoryBudget, "acceptsBodies" | "acceptsRequests" | "dropLongestWaiting">;
    pacer: ChunkPacer;
    /** Largest number of requests that run at targets at once. */
    maxRunning: number;
    directory: TargetDirectory;
    eligibilityOf: ReturnType<typeof createEligibility>;
    /** Returns the configuration in force; undefined before the first one. */
    configuration(): ConfigurationIndex | undefined;
    /** Lets requests wait while this instance starts. */
    startupWait: StartupWait;
    rateLimits: RateLimits;
    limitDecisions: Pick<LimitDecisions, "take">;
    profiles: ReturnType<typeof createRouteProfiles>;
    /** Expected work of requests; undefined when the setting is off. */
    requestWorks: RequestWorks | undefined;
    /** Returns the admission of a service's requests by work; undefined when the setting is off. */
    workAdmissions: ((service: string) => WorkAdmission) | undefined;
    serviceState(service: string): ServiceState;
    metrics: Metrics;
    /** Returns the times of a planned stop once it has begun; the last response on a connection closes it from then on. */
    stopTimes(): StopTimes | undefined;
}

/** A request whose head passed the checks against the configuration. */
interface AdmittedRequest {
    request: CallerRequest;
    route: Route;
    organisation: Organisation | undefined;
    service: string;
    eligibility: TargetEligibility;
    version: number;
    /** Monotonic times in milliseconds. */
    arrivedAt: number;
    endAt: number;
}

/** Bytes of a response that are buffered before it is streamed; a buffered one can be replaced when it is truncated. */
const maxBufferedResponseBytes = 192 * 1024;
/** Time in milliseconds before the deadline by which this instance must send a response of its own. */
const responseMarginMs = 15;
/** Time in milliseconds after the caller's deadline for which a response is still streamed; a target may stream without end. */
const streamGraceMs = 1_000;
/** Largest part of a refused body that is read before the first configuration, in bytes, and the time for it. */
const firstUnreadBodyLimits = { maxBodyBytes: 64 * 1024 * 1024, idleTimeoutMs: 15_000 };
/** Retry-After in seconds when memory is short or too many requests run: other instances have room. */
const shortageRetrySeconds = 0.5;
const keyIdDigits = 16;
const noTargets: ReadonlySet<string> = new Set();
/** Longest Retry-After in seconds of a request over its organisation's limit. */
const maxRetryAfterSeconds = 5;
/** Retry-After without a configuration: a restarted instance has one within about this many seconds. */
const configurationRetrySeconds = 0.4;

const bodyRefusals: Record<BodyProblem, Refusal> = {
    too_large: refusal("body_too_large", 413),
    timed_out: refusal("body_timeout", 408),
    aborted: refusal("body_timeout", 408),
};

/** Returns the first digits of a key's SHA-256, which identify it in logs without disclosing it; undefined without a key. */
function keyIdOf(key: string | undefined): string | undefined {
    return key === undefined ? undefined : createHash("sha256").update(key).digest("hex").slice(0, keyIdDigits);
}

/** Returns the size of a request's body in kilobytes; a body of unknown length exceeds the buffer. */
function requestKb({ contentLength }: CallerRequest, { buffered }: RequestBody): number {
    return (buffered?.length ?? contentLength ?? maxBufferedRequestBytes) / 1_024;
}

/** Returns whether a request has a body, which may still be received. */
function hasBody({ rawHeaders }: IncomingMessage): boolean {
    for (let index = 0; index < rawHeaders.length; index += 2) {
        const name = rawHeaders[index]!.toLowerCase();
        if (name === "transfer-encoding" || name === "content-length" && rawHeaders[index + 1] !== "0") {
            return true;
        }
    }
    return false;
}

/** Returns the properties of a request that its work depends on. */
function workedRequest(
    admitted: Pick<AdmittedRequest, "request" | "route" | "organisation" | "service">,
): WorkedRequest {
    const { request, route, organisation, service } = admitted;
    return {
        service,
        route: route.name,
        method: request.method,
        bodyBytes: request.contentLength,
        organisation: organisation?.name,
        latencyObjectiveMs: route.latencyObjectiveMs,
    };
}

/** Creates the request listener of the callers' server. */
export function createRequestFlow(parts: FlowParts): (incoming: IncomingMessage, outgoing: ServerResponse) => void {
    const { headerNames, log, now } = parts;
    const sources = new WeakMap<IncomingMessage, BodySource>();
    /** Requests that run at targets, and responses that are streamed from them. */
    let running = 0;

    /** Returns whether the response to a request closes its connection; no further request on it is accepted then. */
    function closesConnection(incoming: IncomingMessage, mustClose: boolean): boolean {
        // The responses to requests behind this one have to be sent before.
        const isLastOfStop = parts.stopTimes() !== undefined && !parts.connections.hasLaterRequest(incoming);
        const closes = mustClose || isLastOfStop || parts.connections.isLastAccepted(incoming);
        if (closes) {
            parts.connections.acceptNoneAfter(incoming);
        }
        return closes;
    }

    function admit(
        incoming: IncomingMessage,
        request: CallerRequest,
        arrivedAt: number,
    ): Result<AdmittedRequest, Refusal> {
        return safeTry(function*() {
            const index = parts.configuration();
            if (index === undefined) {
                return err(refusal("no_configuration", 503, { retryAfterSeconds: configurationRetrySeconds }));
            }
            const { limits, version } = index.configuration;
            const fields = incoming.rawHeaders.length / 2;
            if (fields > maxHeaderFields) {
                return err(refusal("too_many_headers", 431, { inputs: { fields, version } }));
            }
            if (request.headerBytes > limits.maxHeaderBytes) {
                return err(refusal("header_too_large", 431, { inputs: { bytes: request.headerBytes, version } }));
            }
            if ((request.contentLength ?? 0) > limits.maxBodyBytes) {
                return err(refusal("body_too_large", 413, { inputs: { bytes: request.contentLength, version } }));
            }
            const route = index.findRoute(request.host, request.path);
            if (route === undefined) {
                return err(
                    refusal("route_unknown", 404, { inputs: { host: request.host, path: request.path, version } }),
                );
            }
            const organisation = request.key === undefined ? undefined : index.findOrganisation(request.key);
            if (organisation === undefined && !route.allowsAnonymous) {
                return err(refusal("key_unknown", 401, {
                    inputs: {
                        route: route.name,
                        hasKey: request.key !== undefined,
                        keyId: keyIdOf(request.key),
                        version,
                    },
                }));
            }
            yield* admitDuringStop(parts.profiles.of(route).latency.meanMs());
            const service = chooseService(route);
            const endAt = arrivedAt + Math.min(request.deadlineMs, route.timeoutMs) - responseMarginMs;
            const eligibility = parts.eligibilityOf(route, organisation);
            const admitted = { request, route, organisation, service, eligibility, version, arrivedAt, endAt };
            const workAdmission = workAdmissionOf(admitted, endAt - now());
            if (workAdmission !== undefined) {
                return parts.workAdmissions!(service).admit(workAdmission).map(() => admitted);
            }
            yield* admitLoad({
                remainingMs: endAt - now(),
                priority: organisation?.priority ?? route.priority,
                typicalMs: parts.profiles.of(route).latency.meanMs(),
                leastUsed: parts.targetTracker.leastUtilisation(service, eligibility.allows),
                refusedShare: parts.serviceState(service).refusedShare(),
                msUntilServing: () => parts.directory.msUntilServing(service, eligibility.isInRegion),
                random: parts.random,
            }).mapErr(refused => withTargetCounts(refused, service, eligibility));
            return ok(admitted);
        });
    }

    /** Adds to a refusal for lack of a target why the available ones may not receive the request. */
    function withTargetCounts(refused: Refusal, service: string, eligibility: TargetEligibility): Refusal {
        return refused.code === "no_target"
            ? { ...refused, inputs: { ...refused.inputs, ...eligibility.describe(parts.directory.serving(service)) } }
            : refused;
    }

    /** Returns the inputs of the admission by work; undefined while the work is unknown or not used, or without a target. */
    function workAdmissionOf(
        admitted: Omit<AdmittedRequest, "version">,
        remainingMs: number,
    ): WorkedAdmission | undefined {
        const { route, organisation, service, eligibility } = admitted;
        const work = parts.requestWorks?.of(workedRequest(admitted));
        if (work === undefined || parts.targetTracker.leastUtilisation(service, eligibility.allows) === undefined) {
            return undefined;
        }
        return {
            remainingMs,
            priority: organisation?.priority ?? route.priority,
            organisation: organisation?.name,
            work,
            candidates: own =>
                parts.targetTracker.candidates(service, noTargets, { work: own })
                    .filter(({ target }) => eligibility.allows(target)),
        };
    }

    /** Returns the Retry-After in seconds of a request that no target has run. */
    function notRunRetrySeconds(admitted: AdmittedRequest, state: ServiceState): number {
        const admission = workAdmissionOf(admitted, admitted.endAt - now());
        return admission === undefined
            ? retryAfterSeconds(state.refusedShare(), parts.random)
            : parts.workAdmissions!(admitted.service).rejectedRetryAfter(admission);
    }

    /** Refuses a request that the planned stop would interrupt; other instances can serve it at once. */
    function admitDuringStop(typicalMs: number | undefined): Result<void, Refusal> {
        const times = parts.stopTimes();
        if (times === undefined || canFinish(times, now(), typicalMs)) {
            return ok(undefined);
        }
        const inputs = {
            usualMs: typicalMs,
            closesInMs: Math.round(times.closesAt - now()),
            endsInMs: Math.round(times.endsAt - now()),
        };
        return err(refusal("stopping", 503, { retryAfterSeconds: retryAfterSeconds(0, parts.random), inputs }));
    }

    /** Picks a service at random by weight; a request that one service refuses is never retried at another. */
    function chooseService(route: Route): string {
        const total = route.services.reduce((sum, { weight }) => sum + weight, 0);
        let rest = parts.random() * total;
        for (const { service, weight } of route.services) {
            rest -= weight;
            if (rest < 0) {
                return service;
            }
        }
        return route.services.at(-1)?.service ?? "";
    }

    /** Takes a token of the organisation's limit; its owner may be another instance. */
    async function takeToken({ organisation, route, version, endAt }: AdmittedRequest): Promise<Result<void, Refusal>> {
        const limit = organisation === undefined || route.allowsAnonymous
            ? undefined
            : parts.rateLimits.limitOf(organisation);
        if (organisation === undefined || limit === undefined) {
            return ok(undefined);
        }
        const { decision, decidedBy } = await parts.limitDecisions.take(organisation.name, endAt - now());
        const inputs = () => ({
            organisation: organisation.name,
            version,
            decidedBy,
            ...limitFields(limit.state(now())),
        });
        switch (decision.kind) {
            case "rejected":
                return err(refusal("over_limit", 429, {
                    retryAfterSeconds: Math.min(
                        maxRetryAfterSeconds,
                        decision.retryAfterMs / 1_000 * (1 + parts.random()),
                    ),
                    inputs: { waitMs: Math.round(decision.retryAfterMs), ...inputs() },
                }));
            case "starting":
                return err(refusal("limit_unavailable", 503, {
                    retryAfterSeconds: decision.remainingMs / 1_000 * (1 + parts.random()),
                    inputs: inputs(),
                }));
            default:
                // Granted, or the limit has been removed meanwhile.
                return ok(undefined);
        }
    }

    /** Returns the rate limit token of a request that has not run. */
    function returnToken({ organisation, route }: AdmittedRequest): void {
        if (organisation !== undefined && !route.allowsAnonymous) {
            parts.rateLimits.limitOf(organisation)?.refund(now());
        }
    }

    function refuse(incoming: IncomingMessage, outgoing: ServerResponse, id: string, refused: Refusal): void {
        log.request(id, "refused", { code: refused.code, status: refused.status, ...refused.inputs });
        parts.metrics.countRefusal(refused.code, refused.priority);
        const unread = !incoming.complete;
        // A body that is too large, or for which memory is short, is not read any further.
        const mustClose = refused.status === 413 || unread && !parts.budget.acceptsBodies();
        sendRefusal(outgoing, refused, { headerNames, id, close: closesConnection(incoming, mustClose) });
        if (unread) {
            incoming.resume();
            discardBody(incoming, id);
        }
    }

    /** Reads the rest of a body that is of no use any more up to a bound, so that the connection can be kept. */
    function discardBody(incoming: IncomingMessage, id: string): void {
        sources.get(incoming)?.discard();
        const { maxBodyBytes, idleTimeoutMs } = parts.configuration()?.configuration.limits ?? firstUnreadBodyLimits;
        boundUnreadBody(incoming, {
            maxBytes: maxBodyBytes,
            maxMs: idleTimeoutMs,
            now,
            exceeded: bytes => log.request(id, "unread_body_closed", { bytes }),
        });
    }

    /** Charges bytes to the connection of a request until its response has been sent. */
    function charge(incoming: IncomingMessage, outgoing: ServerResponse, use: MemoryUse, bytes: number): void {
        const memory = parts.connections.memoryOf(incoming);
        memory.add(use, bytes);
        outgoing.on("close", () => memory.add(use, -bytes));
    }

    /** Refuses a request for which memory is short. */
    function admitMemory(source: BodySource | undefined): Result<void, Refusal> {
        const isAccepted = source === undefined ? parts.budget.acceptsRequests() : parts.budget.acceptsBodies();
        return isAccepted
            ? ok(undefined)
            : err(refusal("memory_short", 503, {
                retryAfterSeconds: shortageRetrySeconds * (1 + parts.random()),
                inputs: { hasBody: source !== undefined },
            }));
    }

    /** Refuses a request when too many run already; callers that take their responses slowly make room. */
    function admitRunning(): Result<void, Refusal> {
        if (running < parts.maxRunning) {
            return ok(undefined);
        }
        parts.budget.dropLongestWaiting(memoryUse.response);
        return err(refusal("too_many_running", 503, {
            retryAfterSeconds: shortageRetrySeconds * (1 + parts.random()),
            inputs: { running },
        }));
    }

    async function handle(incoming: IncomingMessage, outgoing: ServerResponse): Promise<void> {
        const arrivedAt = now();
        const source = hasBody(incoming)
            ? createBodySource(incoming, {
                memory: parts.connections.memoryOf(incoming),
                pacer: parts.pacer,
                paced: () => log.request(String(incoming.headers[headerNames.requestId] ?? ""), "body_paced", {}),
            })
            : undefined;
        if (source !== undefined) {
            sources.set(incoming, source);
        }
        const turn = parts.connections.turnOf(incoming);
        if (turn !== undefined) {
            source?.hold();
            if (!await turn) {
                logNotHandled(incoming);
                return;
            }
            source?.release();
        }
        const read = readCallerRequest(incoming, headerNames);
        if (read.isErr()) {
            const id = incoming.headers[headerNames.requestId];
            refuse(incoming, outgoing, typeof id === "string" ? id : "", read.error);
            return;
        }
        const request = read.value;
        const startup = parts.startupWait.until(request.deadlineMs);
        if (startup !== undefined) {
            source?.hold();
            await startup;
            source?.release();
        }
        const admission = admit(incoming, request, arrivedAt)
            .andThen(admittedRequest => admitMemory(source).map(() => admittedRequest));
        if (admission.isErr()) {
            refuse(incoming, outgoing, request.id, admission.error);
            return;
        }
        const admitted = admission.value;
        const { route } = admitted;
        const token = await takeToken(admitted);
        if (token.isErr()) {
            refuse(incoming, outgoing, request.id, token.error);
            return;
        }
        if (isGone(incoming, outgoing, admitted)) {
            return;
        }
        const maxBytes = parts.configuration()!.configuration.limits.maxBodyBytes;
        parts.connections.setReadsBody(incoming, source !== undefined);
        const body = await readBody(source, { maxBytes, timeoutMs: admitted.endAt - now() });
        parts.connections.setReadsBody(incoming, typeof body !== "string" && body.source !== undefined);
        if (typeof body === "string") {
            returnToken(admitted);
            refuse(incoming, outgoing, request.id, bodyRefusals[body]);
            return;
        }
        if (isGone(incoming, outgoing, admitted)) {
            return;
        }
        const room = admitRunning();
        if (room.isErr()) {
            returnToken(admitted);
            refuse(incoming, outgoing, request.id, room.error);
            return;
        }
        // One that is streamed has a block at the connection to the target beside the one that is being filled.
        charge(incoming, outgoing, memoryUse.body, body.buffered?.length ?? maxBufferedRequestBytes);
        const state = parts.serviceState(admitted.service);
        state.retryBudget.deposit();
        const profile = parts.profiles.of(route);
        const run: AttemptRun = startRun(parts, {
            id: request.id,
            route,
            service: admitted.service,
            transferKb: requestKb(request, body) + profile.responseKb(),
            typicalMs: profile.latency.meanMs(),
            retryBudget: state.retryBudget,
            eligibility: admitted.eligibility,
            bodyBuffered: body.buffered !== undefined,
            endAt: admitted.endAt,
            lateAfterMs: profile.latency.lateAfterMs(route.latencyObjectiveMs),
            requestFor: target =>
                createOutgoingRequest({
                    ...admitted,
                    body,
                    targetId: target.id,
                    maxBodyBytes: parts.configuration()?.configuration.limits.maxBodyBytes ?? Infinity,
                    bodyEnded(complete) {
                        parts.connections.setReadsBody(incoming, false);
                        if (!complete) {
                            breakOffResponse(outgoing);
                        }
                    },
                }, parts),
            work: takeWork(admitted),
            served: serviceMs => parts.requestWorks?.record(workedRequest(admitted), serviceMs),
            maxBufferedBytes: maxBufferedResponseBytes,
        });
        outgoing.on("close", () => {
            if (!outgoing.writableFinished) {
                log.request(request.id, "caller_gone", { arrivals: run.arrivals, ageMs: ageOf(admitted) });
                run.abandon();
            }
            else if (!incoming.complete) {
                discardBody(incoming, request.id);
            }
        });
        running += 1;
        const result = await run.result;
        running -= 1;
        finish(incoming, outgoing, admitted, run, result);
    }

    /** Logs that a request was not handled because its connection closes before its turn. */
    function logNotHandled(incoming: IncomingMessage): void {
        const event = incoming.socket.destroyed ? "caller_gone" : "ignored_behind_close";
        log.request(String(incoming.headers[headerNames.requestId] ?? ""), event, {});
        sources.get(incoming)?.discard();
    }

    /** Returns whether the caller has disconnected; a response that waits for earlier ones on its connection is not told then. */
    function isGone(incoming: IncomingMessage, outgoing: ServerResponse, admitted: AdmittedRequest): boolean {
        const gone = outgoing.destroyed || incoming.socket.destroyed;
        if (gone) {
            log.request(admitted.request.id, "caller_gone", { arrivals: 0, ageMs: ageOf(admitted) });
            returnToken(admitted);
        }
        return gone;
    }

    /** Counts a request and returns its expected work; undefined when it is unknown or not used. */
    function takeWork(admitted: AdmittedRequest): RequestWork | undefined {
        const worked = workedRequest(admitted);
        parts.requestWorks?.count(worked);
        return parts.requestWorks?.of(worked);
    }

    function ageOf({ arrivedAt }: AdmittedRequest): number {
        return Math.round(now() - arrivedAt);
    }

    function finish(
        incoming: IncomingMessage,
        outgoing: ServerResponse,
        admitted: AdmittedRequest,
        run: AttemptRun,
        result: RunResult,
    ): void {
        const state = parts.serviceState(admitted.service);
        if (result.kind === "response") {
            state.recordRequest(false);
            relay(incoming, outgoing, admitted, run, result);
            return;
        }
        const { response } = result;
        if (response !== undefined && !result.notRun && !impliesNotRun(response.head.status)) {
            state.recordRequest(false);
            const close = closesConnection(incoming, response.head.isCloseDelimited);
            charge(incoming, outgoing, memoryUse.response, response.body.length);
            sendResponse(outgoing, { head: response.head, body: response.body }, close);
            log.request(admitted.request.id, "target_error_relayed", summary(admitted, run, response.head.status));
            parts.metrics.recordResponse(labels(admitted, "target_error"), ageOf(admitted));
            return;
        }
        if (result.notRun) {
            returnToken(admitted);
        }
        state.recordRequest(result.notRun);
        parts.metrics.recordResponse(labels(admitted, result.notRun ? "not_run" : "unknown"), ageOf(admitted));
        refuse(incoming, outgoing, admitted.request.id, refusalOf(admitted, run, result, state));
    }

    function refusalOf(
        admitted: AdmittedRequest,
        run: AttemptRun,
        result: Extract<RunResult, { kind: "none"; }>,
        state: ServiceState,
    ): Refusal {
        const inputs = { ...summary(admitted, run, undefined), end: result.end, why: result.why };
        if (result.notRun) {
            const waitSeconds = Math.max(
                notRunRetrySeconds(admitted, state),
                retryAfterKnownWaitSeconds(
                    parts.directory.msUntilServing(admitted.service, admitted.eligibility.isInRegion) ?? 0,
                    parts.random,
                ),
            );
            return refusal(result.end === "not_run" ? "shed" : "unreachable", 503, {
                retryAfterSeconds: waitSeconds,
                inputs,
            });
        }
        return result.end === "timed_out"
            ? refusal("timed_out", 504, { inputs })
            : refusal("outcome_unknown", 502, { inputs });
    }

    function labels({ route, organisation }: AdmittedRequest, answer: string): ResponseLabels {
        return { route, organisation: organisation?.name ?? "", answer };
    }

    function summary(
        admitted: AdmittedRequest,
        run: AttemptRun,
        status: number | undefined,
    ): Record<string, string | number | undefined> {
        return {
            organisation: admitted.organisation?.name,
            route: admitted.route.name,
            service: admitted.service,
            version: admitted.version,
            targets: run.targets.join(","),
            ...run.lastChoice,
            arrivals: run.arrivals,
            status,
            ms: ageOf(admitted),
            allowedMs: Math.round(admitted.endAt - admitted.arrivedAt),
        };
    }

    function relay(
        incoming: IncomingMessage,
        outgoing: ServerResponse,
        admitted: AdmittedRequest,
        run: AttemptRun,
        { attempt, result }: Extract<RunResult, { kind: "response"; }>,
    ): void {
        const profile = parts.profiles.of(admitted.route);
        const ms = now() - (attempt.sentAt ?? now());
        if (result.head.status < 300) {
            profile.latency.record(ms);
        }
        const close = closesConnection(incoming, result.head.isCloseDelimited);
        if (result.kind === "complete") {
            profile.recordSize(result.body.length);
            charge(incoming, outgoing, memoryUse.response, result.body.length);
            sendResponse(outgoing, result, close);
            recordSuccess(admitted, run, result.head);
            return;
        }
        const remainingMs = admitted.arrivedAt + admitted.request.deadlineMs - now();
        const aborted = () => {
            log.request(admitted.request.id, "response_broken_off", summary(admitted, run, result.head.status));
            parts.metrics.recordResponse(labels(admitted, "broken_off"), ageOf(admitted));
        };
        const timer = setTimeout(() => {
            aborted();
            breakOffResponse(outgoing);
        }, Math.max(0, remainingMs) + streamGraceMs);
        // A response whose caller has disconnected is not streamed, and not told of the close again.
        if (!outgoing.destroyed) {
            running += 1;
            outgoing.on("close", () => running -= 1);
        }
        outgoing.on("close", () => clearTimeout(timer));
        const memory = parts.connections.memoryOf(incoming);
        let unsentBytes = 0;
        streamResponse(outgoing, { attempt, result, close }, {
            ended: () => recordSuccess(admitted, run, result.head),
            aborted,
            unsent(bytes) {
                memory.progress(Math.max(0, unsentBytes - bytes));
                memory.add(memoryUse.response, bytes - unsentBytes);
                unsentBytes = bytes;
            },
        });
        outgoing.on("close", () => memory.add(memoryUse.response, -unsentBytes));
    }

    function recordSuccess(admitted: AdmittedRequest, run: AttemptRun, head: ResponseHead): void {
        log.success(admitted.request.id, summary(admitted, run, head.status));
        parts.metrics.recordResponse(labels(admitted, "answered"), ageOf(admitted));
    }

    return (incoming, outgoing) => {
        handle(incoming, outgoing).catch((error: Error) => {
            log.fault("request_flow", { message: error.message, stack: error.stack });
            breakOffResponse(outgoing);
        });
    };
}
