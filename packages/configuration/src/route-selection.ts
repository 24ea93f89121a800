import type { Configuration } from "./configuration";
import type { PlanRoute } from "./configuration-index";
import type { Plan, Route } from "./edit";
import { addRoutes, createRouteIndex, findRoute } from "./route-index";
import type { RouteIndex } from "./route-index";

/** Name under which the rate and burst of an open plan are counted. */
export function openOrganisation(plan: Plan): string {
    return `open:${plan.name}`;
}

// Plans are replaced and never changed, so an index stays valid as long as its plan lives.
const routesOfPlans = new WeakMap<Plan, RouteIndex<{ route: Route; }>>();

function routesOf(plan: Plan): RouteIndex<{ route: Route; }> {
    let routes = routesOfPlans.get(plan);
    if (routes === undefined) {
        routes = createRouteIndex();
        addRoutes(routes, plan.routes.map(route => ({ route })));
        routesOfPlans.set(plan, routes);
    }
    return routes;
}

/** Returns the route with the longest matching prefix that allows the method. */
export function selectRoute(plan: Plan, method: string, path: string): Route | undefined {
    return findRoute(routesOf(plan), method, path)?.route;
}

/**
 * Returns the route open to all with the longest matching prefix. Among equal prefixes the plan whose name sorts first
 * decides, so that every instance counts a request under the same plan.
 */
export function findOpenRoute(configuration: Configuration, method: string, path: string): PlanRoute | undefined {
    return findRoute(configuration.index.openRoutes, method, path);
}

/** Tells whether a request may be sent more than once; decided by the method unless the route says otherwise. */
export function isIdempotent(route: Route, method: string): boolean {
    return route.idempotent ?? (method === "GET" || method === "HEAD");
}
