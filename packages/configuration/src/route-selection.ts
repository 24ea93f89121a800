import type { Plan, Route } from "./edit";

/** Name under which the rate and burst of an open plan are counted. */
export function openOrganisation(plan: Plan): string {
    return `open:${plan.name}`;
}

function matchesPrefix(path: string, prefix: string): boolean {
    if (!path.startsWith(prefix)) {
        return false;
    }
    return prefix.endsWith("/") || path.length === prefix.length || path[prefix.length] === "/";
}

/** Returns the route with the longest matching prefix that allows the method. */
export function selectRoute(plan: Plan, method: string, path: string): Route | undefined {
    let best: Route | undefined;
    for (const route of plan.routes) {
        const matches = (route.methods as string[]).includes(method) && matchesPrefix(path, route.pathPrefix);
        if (matches && (best === undefined || route.pathPrefix.length > best.pathPrefix.length)) {
            best = route;
        }
    }
    return best;
}

/** Tells whether a request may be sent more than once; decided by the method unless the route says otherwise. */
export function isIdempotent(route: Route, method: string): boolean {
    return route.idempotent ?? (method === "GET" || method === "HEAD");
}
