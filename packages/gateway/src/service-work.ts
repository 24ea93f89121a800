/**
 * Work at the targets of a service: the typical service time, how much slower a single target is, and which targets are reserved
 * for requests with little slack.
 */

import { median, reservedTargets, slowdownOf } from "@trefoilladder/placement";
import type { Separation, TargetPace } from "@trefoilladder/placement";
import type { TargetDirectory } from "@trefoilladder/replication";

/** Expected work of a request whose target is chosen. */
export interface RequestWork {
    /** Expected service time in milliseconds at a target of typical speed. */
    serviceMs: number;
    /** Time in milliseconds within which the request meets its latency objective. */
    objectiveMs: number;
    /** How the requests of the service are separated; undefined when they are not. */
    separation: Separation | undefined;
    /** Whether the request has little slack. */
    isTight: boolean;
}

/** Work at a target. */
export interface TargetWork {
    /** Mean service time of the requests there in milliseconds; undefined while unknown. */
    meanWorkMs: number | undefined;
    /** Service time there relative to the typical target. */
    slowdown: number;
}

/** Work at the targets of all services. */
export interface ServiceWork {
    /** Returns a function for the work at a target of a service. */
    of(service: string, now: number): (target: string) => TargetWork;
    /** Returns the ids of the targets that are reserved for requests with little slack. */
    reserved(service: string, separation: Separation | undefined, now: number): ReadonlySet<string>;
}

/** Time in milliseconds for which the service times and the reserved targets are cached. */
const paceLifetimeMs = 500;
const reservedLifetimeMs = 2_000;

const noTargets: ReadonlySet<string> = new Set();
const unknownWork: TargetWork = { meanWorkMs: undefined, slowdown: 1 };

/** Creates the work of services on the paces of their targets. */
export function createServiceWork(
    directory: Pick<TargetDirectory, "serving">,
    paceOf: (target: string) => TargetPace | undefined,
): ServiceWork {
    const works = new Map<string, { byTarget: ReadonlyMap<string, TargetWork>; at: number; }>();
    const reserved = new Map<string, { ids: ReadonlySet<string>; at: number; }>();

    function computeWorks(service: string, now: number): ReadonlyMap<string, TargetWork> {
        const paces = directory.serving(service).map(({ id }) => ({ id, pace: paceOf(id) }));
        // The median is not affected by a few slow targets.
        const ms = median(paces.map(({ pace }) => pace?.serviceMs(now)).filter(value => value !== undefined));
        return new Map(paces.map(({ id, pace }) => {
            const slowdown = pace === undefined ? 1 : slowdownOf(pace, ms, now);
            return [id, { meanWorkMs: ms === undefined ? undefined : ms * slowdown, slowdown }];
        }));
    }

    return {
        of(service, now) {
            let cached = works.get(service);
            if (cached === undefined || now - cached.at >= paceLifetimeMs) {
                cached = { byTarget: computeWorks(service, now), at: now };
                works.set(service, cached);
            }
            const { byTarget } = cached;
            return target => byTarget.get(target) ?? unknownWork;
        },
        reserved(service, separation, now) {
            if (separation === undefined) {
                return noTargets;
            }
            const cached = reserved.get(service);
            if (cached !== undefined && now - cached.at < reservedLifetimeMs) {
                return cached.ids;
            }
            const ids = reservedTargets(directory.serving(service), separation.reservedShare);
            reserved.set(service, { ids, at: now });
            return ids;
        },
    };
}
