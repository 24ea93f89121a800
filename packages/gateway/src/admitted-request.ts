/**
 * A request whose head passed the checks against the configuration.
 */

import type { Organisation, Route } from "@trefoilladder/serving";
import type { CallerRequest } from "./caller-request";
import type { WorkedRequest } from "./request-works";
import type { TargetEligibility } from "./target-eligibility";

/** An admitted request. */
export interface AdmittedRequest {
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

/** Returns the properties of a request that its work depends on. */
export function workedRequest(
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

/** Returns the time in milliseconds since a request arrived. */
export function ageOf({ arrivedAt }: Pick<AdmittedRequest, "arrivedAt">, now: number): number {
    return Math.round(now - arrivedAt);
}
