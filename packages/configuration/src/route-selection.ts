import type { Configuration } from "./configuration";
import type { PlanRoute } from "./configuration-index";
import type { Plan, Route } from "./edit";
import { addRoutes, createRouteIndex, findRoute } from "./route-index";
import type { RouteIndex } from "./route-index";

/** Returns the organisation name under which the rate limit of an open plan is counted. */
export function openPlanOrganisation(plan: Plan): string {
    return `open:${plan.name}`;
}

// A plan object is never mutated, only replaced, so an index is valid for the lifetime of its plan.
const routeIndexByPlan = new WeakMap<Plan, RouteIndex<{ route: Route; }>>();

function routeIndexOf(plan: Plan): RouteIndex<{ route: Route; }> {
    let routes = routeIndexByPlan.get(plan);
    if (routes === undefined) {
        routes = createRouteIndex();
        addRoutes(routes, plan.routes.map(route => ({ route })));
        routeIndexByPlan.set(plan, routes);
    }
    return routes;
}

/** Returns the route with the longest matching prefix that allows the method. */
export function selectRoute(plan: Plan, method: string, path: string): Route | undefined {
    return findRoute(routeIndexOf(plan), method, path)?.route;
}

/**
 * Returns the route of an open plan with the longest matching prefix that allows the method. Among equal prefixes, the
 * plan whose name sorts first is used, so that every instance counts a request under the same plan.
 */
export function findOpenRoute(configuration: Configuration, method: string, path: string): PlanRoute | undefined {
    return findRoute(configuration.index.openRoutes, method, path);
}

/** Returns whether a request may be sent more than once; depends on the method unless the route overrides it. */
export function isIdempotent(route: Route, method: string): boolean {
    return route.idempotent ?? (method === "GET" || method === "HEAD");
}
