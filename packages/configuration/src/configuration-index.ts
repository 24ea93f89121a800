import type { Key, Organisation, Plan, Route } from "./edit";
import { addRoutes, createRouteIndex, removeRoutes } from "./route-index";
import type { RouteIndex } from "./route-index";

/** A route and the plan that it belongs to. */
export interface PlanRoute {
    plan: Plan;
    route: Route;
}

/** Lookups derived from the lists and keys, so that no request and no edit scans them. */
export interface ConfigurationIndex {
    /** Routes of every open plan. */
    openRoutes: RouteIndex<PlanRoute>;
    /** Number of organisations of each plan that has any. */
    organisationCountByPlan: Map<string, number>;
    /** Ids of the keys of each organisation that has any. */
    keysByOrganisation: Map<string, string | Set<string>>;
}

/** Creates the index of an empty configuration. */
export function createConfigurationIndex(): ConfigurationIndex {
    return { openRoutes: createRouteIndex(), organisationCountByPlan: new Map(), keysByOrganisation: new Map() };
}

function openPlanRoutes(plan: Plan | undefined): PlanRoute[] {
    return plan?.open === true ? plan.routes.map(route => ({ plan, route })) : [];
}

/** Updates the index after a plan changed; undefined stands for a plan that does not exist. */
export function reindexPlan(index: ConfigurationIndex, before: Plan | undefined, after: Plan | undefined): void {
    removeRoutes(index.openRoutes, openPlanRoutes(before), (a, b) => a.route === b.route);
    addRoutes(index.openRoutes, openPlanRoutes(after), (a, b) => a.plan.name < b.plan.name);
}

function addToCount(counts: Map<string, number>, name: string, amount: number): void {
    const count = (counts.get(name) ?? 0) + amount;
    if (count === 0) {
        counts.delete(name);
    }
    else {
        counts.set(name, count);
    }
}

/** Updates the index after an organisation changed. */
export function reindexOrganisation(
    index: ConfigurationIndex,
    before: Organisation | undefined,
    after: Organisation | undefined,
): void {
    if (before !== undefined) {
        addToCount(index.organisationCountByPlan, before.plan, -1);
    }
    if (after !== undefined) {
        addToCount(index.organisationCountByPlan, after.plan, 1);
    }
}

/** Updates the index after a key was created or revoked. */
export function reindexKey(index: ConfigurationIndex, before: Key | undefined, after: Key | undefined): void {
    const { keysByOrganisation } = index;
    if (before !== undefined) {
        const ids = keysByOrganisation.get(before.organisation);
        if (ids instanceof Set && ids.size > 1) {
            ids.delete(before.id);
        }
        else {
            keysByOrganisation.delete(before.organisation);
        }
    }
    if (after !== undefined) {
        const ids = keysByOrganisation.get(after.organisation);
        // Most organisations have one key. A string takes a tenth of the memory of a set.
        if (ids === undefined) {
            keysByOrganisation.set(after.organisation, after.id);
        }
        else if (typeof ids === "string") {
            keysByOrganisation.set(after.organisation, new Set([ids, after.id]));
        }
        else {
            ids.add(after.id);
        }
    }
}
