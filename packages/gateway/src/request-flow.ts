/**
 * Handling of a caller's request: validation, rate limit, attempts at targets, response.
 */

import { retryAfterKnownWaitSeconds, retryAfterSeconds } from "@trefoilladder/placement";
import type { TargetDirectory } from "@trefoilladder/replication";
import type { ConfigurationIndex, Organisation, Route } from "@trefoilladder/serving";
import type { OutgoingRequest, ResponseHead } from "@trefoilladder/upstream";
import { err, ok, safeTry } from "neverthrow";
import type { Result } from "neverthrow";
import { createHash } from "node:crypto";
import type { IncomingMessage, ServerResponse } from "node:http";
import { admitLoad } from "./admission";
import { startRun } from "./attempt-run";
import type { AttemptRun, RunParts, RunResult } from "./attempt-run";
import type { CallerConnections } from "./caller-connections";
import { readCallerRequest } from "./caller-request";
import type { CallerRequest } from "./caller-request";
import type { LimitDecisions } from "./limit-decisions";
import type { Metrics, ResponseLabels } from "./metrics";
import { limitFields } from "./rate-limits";
import type { RateLimits } from "./rate-limits";
import { refusal } from "./refusal";
import type { Refusal } from "./refusal";
import { sendRefusal } from "./refusal-response";
import { maxBufferedRequestBytes, readBody, streamBody } from "./request-body";
import type { BodyProblem, RequestBody } from "./request-body";
import type { RequestWorks, WorkedRequest } from "./request-works";
import { impliesNotRun } from "./response-check";
import { breakOffResponse, sendResponse, streamResponse } from "./response-relay";
import type { createRouteProfiles } from "./route-profile";
import type { ServiceState } from "./service-states";
import type { RequestWork } from "./service-work";
import { canFinish } from "./stop";
import type { StopTimes } from "./stop";
import type { WorkAdmission, WorkedAdmission } from "./work-admission";

/** Dependencies of the request path. */
export interface FlowParts extends RunParts {
    connections: Pick<CallerConnections, "hasLaterRequest" | "acceptNoneAfter">;
    directory: TargetDirectory;
    /** Returns the configuration in force; undefined before the first one. */
    configuration(): ConfigurationIndex | undefined;
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
const keyIdDigits = 16;
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

    /** Returns whether the response to a request closes its connection; no further request on it is accepted then. */
    function closesConnection(incoming: IncomingMessage, mustClose: boolean): boolean {
        // The responses to requests behind this one have to be sent before.
        const isLastOfStop = parts.stopTimes() !== undefined && !parts.connections.hasLaterRequest(incoming);
        const closes = mustClose || isLastOfStop;
        if (closes) {
            parts.connections.acceptNoneAfter(incoming);
        }
        return closes;
    }

    function admit(incoming: IncomingMessage): Result<AdmittedRequest, Refusal> {
        return safeTry(function*() {
            const arrivedAt = now();
            const request = yield* readCallerRequest(incoming, headerNames);
            const index = parts.configuration();
            if (index === undefined) {
                return err(refusal("no_configuration", 503, { retryAfterSeconds: configurationRetrySeconds }));
            }
            const { limits, version } = index.configuration;
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
            const admitted = { request, route, organisation, service, version, arrivedAt, endAt };
            const workAdmission = workAdmissionOf(admitted, endAt - arrivedAt);
            if (workAdmission !== undefined) {
                return parts.workAdmissions!(service).admit(workAdmission).map(() => admitted);
            }
            yield* admitLoad({
                remainingMs: endAt - arrivedAt,
                priority: organisation?.priority ?? route.priority,
                typicalMs: parts.profiles.of(route).latency.meanMs(),
                leastUsed: parts.targetTracker.leastUtilisation(service),
                refusedShare: parts.serviceState(service).refusedShare(),
                msUntilServing: () => parts.directory.msUntilServing(service),
                random: parts.random,
            });
            return ok(admitted);
        });
    }

    /** Returns the inputs of the admission by work; undefined while the work is unknown or not used, or without a target. */
    function workAdmissionOf(
        admitted: Omit<AdmittedRequest, "version">,
        remainingMs: number,
    ): WorkedAdmission | undefined {
        const { route, organisation, service } = admitted;
        const work = parts.requestWorks?.of(workedRequest(admitted));
        if (work === undefined || parts.directory.serving(service).length === 0) {
            return undefined;
        }
        return {
            remainingMs,
            priority: organisation?.priority ?? route.priority,
            organisation: organisation?.name,
            work,
            candidates: own => parts.targetTracker.candidates(service, new Set(), own),
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
        sendRefusal(outgoing, refused, { headerNames, id, close: closesConnection(incoming, refused.status === 413) });
        if (unread) {
            incoming.resume();
        }
    }

    function outgoingRequest(
        admitted: AdmittedRequest,
        body: RequestBody,
        targetId: string,
        bodyFailed: () => void,
    ): Omit<OutgoingRequest, "canBeSent"> {
        const { request, organisation } = admitted;
        const length = body.buffered?.length ?? request.contentLength;
        const hasBody = length === undefined || length > 0 || request.method !== "GET" && request.method !== "HEAD";
        return {
            id: request.id,
            method: request.method,
            head() {
                const lines = [`${request.method} ${request.url} HTTP/1.1`];
                for (let index = 0; index < request.forwarded.length; index += 2) {
                    lines.push(`${request.forwarded[index]}: ${request.forwarded[index + 1]}`);
                }
                lines.push(`${headerNames.requestId}: ${request.id}`);
                lines.push(`${headerNames.deadline}: ${Math.max(1, Math.round(admitted.endAt - now()))}`);
                lines.push(`${headerNames.expectedTarget}: ${targetId}`);
                if (organisation !== undefined) {
                    lines.push(`${headerNames.organisation}: ${organisation.name}`);
                }
                if (hasBody) {
                    lines.push(length === undefined ? "Transfer-Encoding: chunked" : `Content-Length: ${length}`);
                }
                return `${lines.join("\r\n")}\r\n\r\n`;
            },
            writeBody(writer) {
                if (body.buffered !== undefined) {
                    if (body.buffered.length > 0) {
                        writer.write(body.buffered);
                    }
                    writer.end();
                    return;
                }
                streamBody(body, {
                    chunked: length === undefined,
                    maxBytes: parts.configuration()?.configuration.limits.maxBodyBytes ?? Infinity,
                    writer,
                    finished: complete => complete || bodyFailed(),
                });
            },
        };
    }

    async function handle(incoming: IncomingMessage, outgoing: ServerResponse): Promise<void> {
        const admission = admit(incoming);
        if (admission.isErr()) {
            const id = incoming.headers[headerNames.requestId];
            refuse(incoming, outgoing, typeof id === "string" ? id : "", admission.error);
            return;
        }
        const admitted = admission.value;
        const { request, route } = admitted;
        const token = await takeToken(admitted);
        if (token.isErr()) {
            refuse(incoming, outgoing, request.id, token.error);
            return;
        }
        // A response that waits for earlier ones on its connection is not told when that closes.
        if (outgoing.destroyed || incoming.socket.destroyed) {
            log.request(request.id, "caller_gone", { arrivals: 0, ageMs: ageOf(admitted) });
            returnToken(admitted);
            return;
        }
        const maxBytes = parts.configuration()!.configuration.limits.maxBodyBytes;
        const body = await readBody(incoming, { maxBytes, timeoutMs: admitted.endAt - now() });
        if (typeof body === "string") {
            returnToken(admitted);
            refuse(incoming, outgoing, request.id, bodyRefusals[body]);
            return;
        }
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
            bodyBuffered: body.buffered !== undefined,
            endAt: admitted.endAt,
            lateAfterMs: profile.latency.lateAfterMs(route.latencyObjectiveMs),
            work: takeWork(admitted),
            served: serviceMs => parts.requestWorks?.record(workedRequest(admitted), serviceMs),
            requestFor: target => outgoingRequest(admitted, body, target.id, () => breakOffResponse(outgoing)),
            maxBufferedBytes: maxBufferedResponseBytes,
        });
        outgoing.on("close", () => {
            if (!outgoing.writableFinished) {
                log.request(request.id, "caller_gone", { arrivals: run.arrivals, ageMs: ageOf(admitted) });
                run.abandon();
            }
        });
        finish(incoming, outgoing, admitted, run, await run.result);
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
                retryAfterKnownWaitSeconds(parts.directory.msUntilServing(admitted.service) ?? 0, parts.random),
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
        outgoing.on("close", () => clearTimeout(timer));
        streamResponse(outgoing, { attempt, result, close }, {
            ended: () => recordSuccess(admitted, run, result.head),
            aborted,
        });
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
