import { openPlanOrganisation, parseKey, selectRoute, verifySecret } from "@trefoilladder/configuration";
import type { Configuration, Plan, Route } from "@trefoilladder/configuration";
import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";
import type { CallerRequest } from "./caller-request";
import { notRun } from "./problem";
import type { Problem } from "./problem";

/** Permission of a request to run on a route for an organisation. */
export interface Grant {
    organisation: string;
    plan: Plan;
    route: Route;
    /** The API key that the grant is based on; undefined on a public route. */
    key?: { id: string; secretHash: string; };
}

/** An authenticated caller. */
export interface Caller {
    organisation: string;
    key: { id: string; secretHash: string; };
}

const bearerPrefix = "bearer ";

/** Authenticates a request by the API key in its `authorization` header. */
export function authenticate(configuration: Configuration, authorization: string): Result<Caller, Problem> {
    const parsed = authorization.slice(0, bearerPrefix.length).toLowerCase() === bearerPrefix
        ? parseKey(authorization.slice(bearerPrefix.length))
        : undefined;
    const key = parsed === undefined ? undefined : configuration.keys.get(parsed.id)?.value;
    return parsed === undefined || key === undefined || !verifySecret(key, parsed.secret)
        ? err(notRun("key_invalid", "the key is unknown or revoked"))
        : ok({ organisation: key.organisation, key: { id: key.id, secretHash: key.secretHash } });
}

function findOpenGrant(configuration: Configuration, { method, path }: CallerRequest): Grant | undefined {
    for (const { value: plan } of configuration.plans.values()) {
        const route = plan.open === true ? selectRoute(plan, method, path) : undefined;
        if (route !== undefined) {
            return { organisation: openPlanOrganisation(plan), plan, route };
        }
    }
    return undefined;
}

function findPlan(configuration: Configuration, organisation: string): Plan | undefined {
    const plan = configuration.organisations.get(organisation)?.value.plan;
    return plan === undefined ? undefined : configuration.plans.get(plan)?.value;
}

/** Finds the route of a request and checks that the caller may use it. */
export function authorise(configuration: Configuration, request: CallerRequest): Result<Grant, Problem> {
    if (request.authorization === undefined) {
        const open = findOpenGrant(configuration, request);
        return open === undefined ? err(notRun("key_missing", "the route needs a key")) : ok(open);
    }
    return authenticate(configuration, request.authorization).andThen(({ organisation, key }) => {
        const plan = findPlan(configuration, organisation);
        const route = plan === undefined ? undefined : selectRoute(plan, request.method, request.path);
        const grant = plan === undefined || route === undefined
            ? findOpenGrant(configuration, request)
            : { organisation, plan, route, key };
        return grant === undefined ? err(notRun("route_unknown", "the plan has no such route")) : ok(grant);
    });
}

/** Checks that a grant is still valid: the key is not revoked and the plan still has the route. */
export function recheckGrant(
    configuration: Configuration,
    request: CallerRequest,
    grant: Grant,
): Result<void, Problem> {
    const { key, organisation, route } = grant;
    if (key !== undefined && configuration.keys.get(key.id)?.value.secretHash !== key.secretHash) {
        return err(notRun("key_invalid", "the key was revoked"));
    }
    const plan = key === undefined
        ? configuration.plans.get(grant.plan.name)?.value
        : findPlan(configuration, organisation);
    if (plan === grant.plan) {
        return ok(undefined);
    }
    const current = plan === undefined || (key === undefined && plan.open !== true)
        ? undefined
        : selectRoute(plan, request.method, request.path);
    return current?.service === route.service && current.idempotent === route.idempotent
        ? ok(undefined)
        : err(notRun("route_unknown", "the plan no longer has this route"));
}
