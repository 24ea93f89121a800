/**
 * Expected work of requests on this instance: learns the service times of routes, and separates the requests of each service
 * by their slack.
 */

import { createExpectedWork, createLatencyClasses } from "@trefoilladder/placement";
import type { ExpectedWork, LatencyClasses, WorkFeatures } from "@trefoilladder/placement";
import type { RequestWork } from "./service-work";

/** Properties of a request that its work depends on. */
export interface WorkedRequest extends WorkFeatures {
    service: string;
    latencyObjectiveMs: number;
}

/** Expected work of requests. */
export interface RequestWorks {
    /** Returns the expected work; undefined before the first response on the route. */
    of(request: WorkedRequest): RequestWork | undefined;
    /** Counts a request that is sent to a target. */
    count(request: WorkedRequest): void;
    /** Records the service time of a request at a target where no request waited. */
    record(request: WorkedRequest, serviceMs: number): void;
    /** Returns the mean error of the estimates as a share of the mean service time. */
    meanError(): number;
}

/** Creates the expected work without responses. */
export function createRequestWorks(): RequestWorks {
    const expected: ExpectedWork = createExpectedWork();
    const classes = new Map<string, LatencyClasses>();

    function classesOf(service: string): LatencyClasses {
        let known = classes.get(service);
        if (known === undefined) {
            known = createLatencyClasses();
            classes.set(service, known);
        }
        return known;
    }

    return {
        of(request) {
            const estimate = expected.estimate(request);
            if (estimate === undefined) {
                return undefined;
            }
            const separation = classesOf(request.service).separation();
            const slackMs = request.latencyObjectiveMs - estimate.meanMs;
            return {
                serviceMs: estimate.meanMs,
                objectiveMs: request.latencyObjectiveMs,
                separation,
                isTight: separation !== undefined && slackMs <= separation.maxTightSlackMs,
            };
        },
        count(request) {
            const estimate = expected.estimate(request);
            if (estimate !== undefined) {
                const slackMs = request.latencyObjectiveMs - estimate.meanMs;
                classesOf(request.service).record(request.route, slackMs, estimate.meanMs);
            }
        },
        record: (request, serviceMs) => expected.record(request, serviceMs),
        meanError: () => expected.meanError(),
    };
}
