/**
 * Targets that a request may be sent to, beyond those that are available: its route and organisation may restrict the regions, and
 * a cold target takes few requests from few instances.
 */

import type { ColdShares } from "@trefoilladder/limits";
import type { ListedTarget } from "@trefoilladder/replication";
import type { Organisation, Route, Service } from "@trefoilladder/serving";
import type { DecisionLog, LogFields } from "@trefoilladder/telemetry";

/** Targets that one request may be sent to. */
export interface TargetEligibility {
    /** Returns whether a target is in a region that the request may reach. */
    isInRegion(target: ListedTarget): boolean;
    /** Returns whether the request may be sent to a target now. */
    allows(target: ListedTarget): boolean;
    /** Records that a target has been chosen; a cold one takes a token. */
    recordChoice(target: ListedTarget): void;
    /** Counts the targets by why the request may not be sent to them, for the log. */
    describe(targets: readonly ListedTarget[]): LogFields;
}

/** Dependencies of the eligibility. */
export interface EligibilityParts {
    /** Regions by failure domain; the region of a domain that it lacks is unknown. */
    regions: Readonly<Record<string, string>>;
    coldShares: ColdShares;
    /** Returns a service of the configuration in force. */
    service(name: string): Service | undefined;
    now(): number;
    log: Pick<DecisionLog, "count">;
}

/** Returns a function that determines the targets for the requests of a route and an organisation. */
export function createEligibility(
    parts: EligibilityParts,
): (route: Pick<Route, "allowedRegions">, organisation?: Pick<Organisation, "allowedRegions">) => TargetEligibility {
    const { coldShares, now } = parts;
    const regions = new Map(Object.entries(parts.regions));

    /** Returns the rate that a target handles while it is cold; undefined for a warm one and without a bound. */
    function coldRateOf({ service, coldUntil }: ListedTarget): number | undefined {
        return now() < coldUntil ? parts.service(service)?.coldPerSecond : undefined;
    }

    function mayTake(target: ListedTarget): boolean {
        const rate = coldRateOf(target);
        return rate === undefined || coldShares.mayTake(target.id, rate);
    }

    return (route, organisation) => {
        const restrictions = [route.allowedRegions, organisation?.allowedRegions].filter(list => list !== undefined);

        function isInRegion({ domain }: ListedTarget): boolean {
            if (restrictions.length === 0) {
                return true;
            }
            const region = regions.get(domain);
            return region !== undefined && restrictions.every(list => list.includes(region));
        }

        return {
            isInRegion,
            allows: target => isInRegion(target) && mayTake(target),
            recordChoice(target) {
                const rate = coldRateOf(target);
                if (rate !== undefined) {
                    coldShares.take(target.id, rate);
                    parts.log.count("cold_target_requests");
                }
            },
            describe: targets => ({
                otherRegion: targets.filter(target => !isInRegion(target)).length,
                coldExcluded: targets.filter(target => isInRegion(target) && !mayTake(target)).length,
            }),
        };
    };
}
