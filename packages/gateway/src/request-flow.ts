/**
 * Handling of a caller's request: validation, rate limit, attempts at targets, response.
 */

import type { TargetDirectory } from "@trefoilladder/replication";
import type { IncomingMessage, ServerResponse } from "node:http";
import { ageOf, workedRequest } from "./admitted-request";
import type { AdmittedRequest } from "./admitted-request";
import { startRun } from "./attempt-run";
import type { AttemptRun, RunParts } from "./attempt-run";
import { createBodySource, hasBody } from "./body-source";
import type { BodySource } from "./body-source";
import type { CallerConnections } from "./caller-connections";
import { readCallerRequest } from "./caller-request";
import type { CallerRequest } from "./caller-request";
import { createCallerResponses } from "./caller-responses";
import type { CallerResponseParts } from "./caller-responses";
import type { ChunkPacer } from "./chunk-pacing";
import { createLimitTokens } from "./limit-tokens";
import type { LimitTokenParts } from "./limit-tokens";
import { memoryUse } from "./memory-budget";
import { createOutgoingRequest } from "./outgoing-request";
import { refusal } from "./refusal";
import type { Refusal } from "./refusal";
import { createRequestAdmission } from "./request-admission";
import type { RequestAdmissionParts } from "./request-admission";
import { maxBufferedRequestBytes, readBody } from "./request-body";
import type { BodyProblem, RequestBody } from "./request-body";
import { createRequestRoom } from "./request-room";
import type { RequestRoomParts } from "./request-room";
import { breakOffResponse } from "./response-relay";
import { createRunResponse } from "./run-response";
import type { RunResponseParts } from "./run-response";
import type { RequestWork } from "./service-work";
import type { StartupWait } from "./startup-wait";

/** Dependencies of the request path. */
export interface FlowParts
    extends
        RunParts,
        RequestAdmissionParts,
        LimitTokenParts,
        RequestRoomParts,
        Omit<CallerResponseParts, "sourceOf">,
        RunResponseParts
{
    connections: Pick<
        CallerConnections,
        "turnOf" | "hasLaterRequest" | "acceptNoneAfter" | "isLastAccepted" | "memoryOf" | "setReadsBody"
    >;
    budget: RequestRoomParts["budget"];
    pacer: ChunkPacer;
    directory: TargetDirectory;
    /** Lets requests wait while this instance starts. */
    startupWait: StartupWait;
}

/** Bytes of a response that are buffered before it is streamed; a buffered one can be replaced when it is truncated. */
const maxBufferedResponseBytes = 192 * 1024;

const bodyRefusals: Record<BodyProblem, Refusal> = {
    too_large: refusal("body_too_large", 413),
    timed_out: refusal("body_timeout", 408),
    aborted: refusal("body_timeout", 408),
};

/** Returns the size of a request's body in kilobytes; a body of unknown length exceeds the buffer. */
function requestKb({ contentLength }: CallerRequest, { buffered }: RequestBody): number {
    return (buffered?.length ?? contentLength ?? maxBufferedRequestBytes) / 1_024;
}

/** Creates the request listener of the callers' server. */
export function createRequestFlow(parts: FlowParts): (incoming: IncomingMessage, outgoing: ServerResponse) => void {
    const { headerNames, log, now } = parts;
    const sources = new WeakMap<IncomingMessage, BodySource>();
    const requestAdmission = createRequestAdmission(parts);
    const tokens = createLimitTokens(parts);
    const room = createRequestRoom(parts);
    const responses = createCallerResponses({ ...parts, sourceOf: incoming => sources.get(incoming) });
    const respond = createRunResponse(parts, { admission: requestAdmission, responses, room, tokens });

    /** Returns the id in a head that has not been checked, for the log; empty without one. */
    function rawIdOf({ headers }: IncomingMessage): string {
        return String(headers[headerNames.requestId] ?? "");
    }

    /** Returns the body of a request while it is received; undefined without one. */
    function createSource(incoming: IncomingMessage): BodySource | undefined {
        if (!hasBody(incoming)) {
            return undefined;
        }
        const source = createBodySource(incoming, {
            memory: parts.connections.memoryOf(incoming),
            pacer: parts.pacer,
            paced: () => log.request(rawIdOf(incoming), "body_paced", {}),
        });
        sources.set(incoming, source);
        return source;
    }

    async function handle(incoming: IncomingMessage, outgoing: ServerResponse): Promise<void> {
        const arrivedAt = now();
        const source = createSource(incoming);
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
            responses.refuse(incoming, outgoing, typeof id === "string" ? id : "", read.error);
            return;
        }
        const request = read.value;
        const startup = parts.startupWait.until(request.deadlineMs);
        if (startup !== undefined) {
            source?.hold();
            await startup;
            source?.release();
        }
        const admission = requestAdmission.admit(incoming, request, arrivedAt)
            .andThen(admittedRequest => room.admitMemory(source !== undefined).map(() => admittedRequest));
        if (admission.isErr()) {
            responses.refuse(incoming, outgoing, request.id, admission.error);
            return;
        }
        const admitted = admission.value;
        const token = await tokens.take(admitted);
        if (token.isErr()) {
            responses.refuse(incoming, outgoing, request.id, token.error);
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
            tokens.giveBack(admitted);
            responses.refuse(incoming, outgoing, request.id, bodyRefusals[body]);
            return;
        }
        if (isGone(incoming, outgoing, admitted)) {
            return;
        }
        const running = room.admitRunning();
        if (running.isErr()) {
            tokens.giveBack(admitted);
            responses.refuse(incoming, outgoing, request.id, running.error);
            return;
        }
        // One that is streamed has a block at the connection to the target beside the one that is being filled.
        responses.charge(incoming, outgoing, memoryUse.body, body.buffered?.length ?? maxBufferedRequestBytes);
        const run = start(incoming, outgoing, admitted, body);
        outgoing.on("close", () => {
            if (!outgoing.writableFinished) {
                log.request(request.id, "caller_gone", { arrivals: run.arrivals, ageMs: ageOf(admitted, now()) });
                run.abandon();
            }
            else if (!incoming.complete) {
                responses.discardBody(incoming, request.id);
            }
        });
        room.begin();
        const result = await run.result;
        room.end();
        respond(incoming, outgoing, admitted, run, result);
    }

    /** Starts the attempts for a request. */
    function start(
        incoming: IncomingMessage,
        outgoing: ServerResponse,
        admitted: AdmittedRequest,
        body: RequestBody,
    ): AttemptRun {
        const { request, route } = admitted;
        const state = parts.serviceState(admitted.service);
        state.retryBudget.deposit();
        const profile = parts.profiles.of(route);
        return startRun(parts, {
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
    }

    /** Logs that a request was not handled because its connection closes before its turn. */
    function logNotHandled(incoming: IncomingMessage): void {
        const event = incoming.socket.destroyed ? "caller_gone" : "ignored_behind_close";
        log.request(rawIdOf(incoming), event, {});
        sources.get(incoming)?.discard();
    }

    /** Returns whether the caller has disconnected; a response that waits for earlier ones on its connection is not told then. */
    function isGone(incoming: IncomingMessage, outgoing: ServerResponse, admitted: AdmittedRequest): boolean {
        const gone = outgoing.destroyed || incoming.socket.destroyed;
        if (gone) {
            log.request(admitted.request.id, "caller_gone", { arrivals: 0, ageMs: ageOf(admitted, now()) });
            tokens.giveBack(admitted);
        }
        return gone;
    }

    /** Counts a request and returns its expected work; undefined when it is unknown or not used. */
    function takeWork(admitted: AdmittedRequest): RequestWork | undefined {
        if (parts.requestWorks === undefined) {
            return undefined;
        }
        const worked = workedRequest(admitted);
        parts.requestWorks.count(worked);
        return parts.requestWorks.of(worked);
    }

    return (incoming, outgoing) => {
        handle(incoming, outgoing).catch((error: Error) => {
            log.fault("request_flow", { message: error.message, stack: error.stack });
            breakOffResponse(outgoing);
        });
    };
}
