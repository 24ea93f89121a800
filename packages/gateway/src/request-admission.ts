/**
 * Decision whether a request is admitted, from its head, the configuration in force and the load of the targets.
 */

import { retryAfterSeconds } from "@trefoilladder/placement";
import type { TargetDirectory } from "@trefoilladder/replication";
import type { ConfigurationIndex, Route } from "@trefoilladder/serving";
import { err, ok, safeTry } from "neverthrow";
import type { Result } from "neverthrow";
import { createHash } from "node:crypto";
import type { IncomingMessage } from "node:http";
import { admitLoad } from "./admission";
import { workedRequest } from "./admitted-request";
import type { AdmittedRequest } from "./admitted-request";
import type { CallerRequest } from "./caller-request";
import { maxHeaderFields } from "./caller-server";
import { refusal } from "./refusal";
import type { Refusal } from "./refusal";
import type { RequestWorks } from "./request-works";
import type { createRouteProfiles } from "./route-profile";
import type { ServiceState } from "./service-states";
import { canFinish } from "./stop";
import type { StopTimes } from "./stop";
import type { createEligibility, TargetEligibility } from "./target-eligibility";
import type { TargetTracker } from "./target-tracker";
import type { WorkAdmission, WorkedAdmission } from "./work-admission";

/** Dependencies of the admission. */
export interface RequestAdmissionParts {
    directory: Pick<TargetDirectory, "msUntilServing" | "serving">;
    targetTracker: TargetTracker;
    eligibilityOf: ReturnType<typeof createEligibility>;
    /** Returns the configuration in force; undefined before the first one. */
    configuration(): ConfigurationIndex | undefined;
    profiles: ReturnType<typeof createRouteProfiles>;
    /** Expected work of requests; undefined when the setting is off. */
    requestWorks: RequestWorks | undefined;
    /** Returns the admission of a service's requests by work; undefined when the setting is off. */
    workAdmissions: ((service: string) => WorkAdmission) | undefined;
    serviceState(service: string): ServiceState;
    /** Returns the times of a planned stop once it has begun. */
    stopTimes(): StopTimes | undefined;
    now(): number;
    random(): number;
}

/** Admission of requests on this instance. */
export interface RequestAdmission {
    /** Admits a request that arrived at a monotonic time in milliseconds, or refuses it. */
    admit(incoming: IncomingMessage, request: CallerRequest, arrivedAt: number): Result<AdmittedRequest, Refusal>;
    /** Returns the Retry-After in seconds of a request that no target has run. */
    notRunRetrySeconds(admitted: AdmittedRequest, state: ServiceState): number;
}

/** Time in milliseconds before the deadline by which this instance must send a response of its own. */
const responseMarginMs = 15;
const keyIdDigits = 16;
const noTargets: ReadonlySet<string> = new Set();
/** Retry-After without a configuration: a restarted instance has one within about this many seconds. */
const configurationRetrySeconds = 0.4;

/** Returns the first digits of a key's SHA-256, which identify it in logs without disclosing it; undefined without a key. */
function keyIdOf(key: string | undefined): string | undefined {
    return key === undefined ? undefined : createHash("sha256").update(key).digest("hex").slice(0, keyIdDigits);
}

/** Creates the admission. */
export function createRequestAdmission(parts: RequestAdmissionParts): RequestAdmission {
    const { now } = parts;

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

    return { admit, notRunRetrySeconds };
}
