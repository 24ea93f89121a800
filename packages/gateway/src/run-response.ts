/**
 * Response to a caller from the result of its request's attempts.
 */

import { retryAfterKnownWaitSeconds } from "@trefoilladder/placement";
import type { TargetDirectory } from "@trefoilladder/replication";
import type { DecisionLog } from "@trefoilladder/telemetry";
import type { ResponseHead } from "@trefoilladder/upstream";
import type { IncomingMessage, ServerResponse } from "node:http";
import { ageOf } from "./admitted-request";
import type { AdmittedRequest } from "./admitted-request";
import type { AttemptRun, RunResult } from "./attempt-run";
import type { CallerConnections } from "./caller-connections";
import type { CallerResponses } from "./caller-responses";
import type { LimitTokens } from "./limit-tokens";
import { memoryUse } from "./memory-budget";
import type { Metrics, ResponseLabels } from "./metrics";
import { refusal } from "./refusal";
import type { Refusal } from "./refusal";
import type { RequestAdmission } from "./request-admission";
import type { RequestRoom } from "./request-room";
import { impliesNotRun } from "./response-check";
import { breakOffResponse, endsWithConnection, sendResponse, streamResponse } from "./response-relay";
import type { createRouteProfiles } from "./route-profile";
import type { ServiceState } from "./service-states";

/** Dependencies of the responses. */
export interface RunResponseParts {
    connections: Pick<CallerConnections, "memoryOf">;
    directory: Pick<TargetDirectory, "msUntilServing">;
    profiles: ReturnType<typeof createRouteProfiles>;
    serviceState(service: string): ServiceState;
    log: DecisionLog;
    metrics: Metrics;
    now(): number;
    random(): number;
}

/** Stages of the request path that a response uses. */
export interface RunResponseStages {
    admission: Pick<RequestAdmission, "notRunRetrySeconds">;
    responses: Pick<CallerResponses, "closesConnection" | "refuse" | "charge">;
    room: Pick<RequestRoom, "begin" | "end">;
    tokens: Pick<LimitTokens, "giveBack">;
}

/** Sends the response to a request whose attempts have ended. */
export type RunResponse = (
    incoming: IncomingMessage,
    outgoing: ServerResponse,
    admitted: AdmittedRequest,
    run: AttemptRun,
    result: RunResult,
) => void;

/** Time in milliseconds after the caller's deadline for which a response is still streamed; a target may stream without end. */
const streamGraceMs = 1_000;

/** Creates the function that sends responses. */
export function createRunResponse(parts: RunResponseParts, stages: RunResponseStages): RunResponse {
    const { log, now } = parts;
    const { admission, responses, room, tokens } = stages;

    function respond(
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
            const close = responses.closesConnection(incoming);
            responses.charge(incoming, outgoing, memoryUse.response, response.body.length);
            sendResponse(outgoing, { head: response.head, body: response.body }, close);
            log.request(admitted.request.id, "target_error_relayed", summary(admitted, run, response.head.status));
            parts.metrics.recordResponse(labels(admitted, "target_error"), ageOf(admitted, now()));
            return;
        }
        if (result.notRun) {
            tokens.giveBack(admitted);
        }
        state.recordRequest(result.notRun);
        parts.metrics.recordResponse(labels(admitted, result.notRun ? "not_run" : "unknown"), ageOf(admitted, now()));
        responses.refuse(incoming, outgoing, admitted.request.id, refusalOf(admitted, run, result, state));
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
                admission.notRunRetrySeconds(admitted, state),
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
            ms: ageOf(admitted, now()),
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
        if (result.kind === "complete") {
            const close = responses.closesConnection(incoming);
            profile.recordSize(result.body.length);
            responses.charge(incoming, outgoing, memoryUse.response, result.body.length);
            sendResponse(outgoing, result, close);
            recordSuccess(admitted, run, result.head);
            return;
        }
        const close = responses.closesConnection(incoming, endsWithConnection(outgoing, result.head.bodyLength));
        const remainingMs = admitted.arrivedAt + admitted.request.deadlineMs - now();
        const aborted = () => {
            log.request(admitted.request.id, "response_broken_off", summary(admitted, run, result.head.status));
            parts.metrics.recordResponse(labels(admitted, "broken_off"), ageOf(admitted, now()));
        };
        const timer = setTimeout(() => {
            aborted();
            breakOffResponse(outgoing);
        }, Math.max(0, remainingMs) + streamGraceMs);
        // A response whose caller has disconnected is not streamed, and not told of the close again.
        if (!outgoing.destroyed) {
            room.begin();
            outgoing.on("close", () => room.end());
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
        parts.metrics.recordResponse(labels(admitted, "answered"), ageOf(admitted, now()));
    }

    return respond;
}
