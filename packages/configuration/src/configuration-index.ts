import type { Key, Organisation, Plan, Route } from "./edit";
import { addRoutes, createRouteIndex, removeRoutes } from "./route-index";
import type { RouteIndex } from "./route-index";

/** Route and the plan that contains it. */
export interface PlanRoute {
    plan: Plan;
    route: Route;
}

/** Indexes of the plans, organisations and keys, so that neither requests nor edits scan them. */
export interface ConfigurationIndex {
    /** Routes of all open plans. */
    openRoutes: RouteIndex<PlanRoute>;
    /** Number of organisations by plan name, without plans that have none. */
    organisationCountByPlan: Map<string, number>;
    /** Key id, or ids when there are several, by organisation name. */
    keysByOrganisation: Map<string, string | Set<string>>;
}

/** Creates the index of an empty configuration. */
export function createConfigurationIndex(): ConfigurationIndex {
    return { openRoutes: createRouteIndex(), organisationCountByPlan: new Map(), keysByOrganisation: new Map() };
}

function openPlanRoutes(plan: Plan | undefined): PlanRoute[] {
    return plan?.open === true ? plan.routes.map(route => ({ plan, route })) : [];
}

/** Updates the index after a change of a plan; `before` or `after` is undefined when the plan does not exist then. */
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

/** Updates the index after a change of an organisation. */
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
