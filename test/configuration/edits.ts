import type { Change, Edit, Plan } from "@trefoilladder/configuration";

/** Creates a plan with one route. */
export function createPlan(name: string, options: Partial<Plan> = {}): Plan {
    return {
        name,
        ratePerSecond: 10,
        burst: 20,
        routes: [{ name: "lookups", service: "dossier", pathPrefix: `/${name}`, methods: ["GET"] }],
        ...options,
    };
}

/** Creates an edit that puts a plan, replacing the given revision. */
export function putPlan(id: string, revision: number, plan: Plan): Edit {
    return { id, changes: [{ kind: "put-plan", revision, plan }] };
}

/** Creates an edit from its changes. */
export function editOf(id: string, ...changes: Change[]): Edit {
    return { id, changes };
}
