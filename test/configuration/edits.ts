import type { Change, Edit, Plan } from "@trefoilladder/configuration";

/** Returns a plan with one route. */
export function planOf(name: string, options: Partial<Plan> = {}): Plan {
    return {
        name,
        ratePerSecond: 10,
        burst: 20,
        routes: [{ name: "lookups", service: "dossier", pathPrefix: `/${name}`, methods: ["GET"] }],
        ...options,
    };
}

/** Returns an edit that puts a plan at a revision. */
export function putPlan(id: string, revision: number, plan: Plan): Edit {
    return { id, changes: [{ kind: "put-plan", revision, plan }] };
}

/** Returns an edit. */
export function editOf(id: string, ...changes: Change[]): Edit {
    return { id, changes };
}
