import { z } from "zod";

const name = z.string().regex(/^[a-z0-9][a-z0-9_.-]{0,62}$/);

/** Schema of a route of a plan. */
export const routeSchema = z.strictObject({
    name,
    service: name,
    /** Path prefix, matched on whole segments. */
    pathPrefix: z.string().regex(/^\/[A-Za-z0-9._~/-]*$/),
    methods: z.array(z.enum(["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"])).min(1),
    /** Overrides the class that follows from the method: GET and HEAD are idempotent, others are not. */
    idempotent: z.boolean().optional(),
});

/** Schema of a plan: routes, rate and burst. */
export const planSchema = z.strictObject({
    name,
    /** An open plan's routes need no key; its rate and burst hold for all anonymous callers together. */
    open: z.boolean().optional(),
    routes: z.array(routeSchema),
    ratePerSecond: z.number().positive(),
    burst: z.number().min(1),
});

/** Schema of an organisation and its plan. */
export const organisationSchema = z.strictObject({ name, plan: name });

/** Schema of a key as it is stored: the hash of its secret, never the secret. */
export const keySchema = z.strictObject({
    id: z.string().regex(/^[A-Za-z0-9]{8,32}$/),
    organisation: name,
    secretHash: z.string().regex(/^[0-9a-f]{64}$/),
});

/** A route that a plan's organisations may use. */
export type Route = z.infer<typeof routeSchema>;
/** What the organisations of a plan may use. */
export type Plan = z.infer<typeof planSchema>;
/** An organisation and its plan. */
export type Organisation = z.infer<typeof organisationSchema>;
/** A key of an organisation, as stored. */
export type Key = z.infer<typeof keySchema>;

/** Kinds of change in an edit. */
export const changeKind = {
    putPlan: "put-plan",
    deletePlan: "delete-plan",
    putOrganisation: "put-organisation",
    deleteOrganisation: "delete-organisation",
    createKey: "create-key",
    revokeKey: "revoke-key",
} as const;

/** Revision of the entity that the change replaces; 0 when the entity does not exist yet. */
const revision = z.number().int().nonnegative();

const changeSchema = z.discriminatedUnion("kind", [
    z.strictObject({ kind: z.literal(changeKind.putPlan), revision, plan: planSchema }),
    z.strictObject({ kind: z.literal(changeKind.deletePlan), revision, name }),
    z.strictObject({ kind: z.literal(changeKind.putOrganisation), revision, organisation: organisationSchema }),
    z.strictObject({ kind: z.literal(changeKind.deleteOrganisation), revision, name }),
    z.strictObject({ kind: z.literal(changeKind.createKey), key: keySchema }),
    z.strictObject({ kind: z.literal(changeKind.revokeKey), id: z.string() }),
]);

/** Schema of an edit: changes that are accepted together or not at all. */
export const editSchema = z.strictObject({
    id: z.string().min(8).max(64),
    author: z.string().max(200).optional(),
    /** Offset up to which the author had read the stream. An edit appended 10,000 records later is refused. */
    baseOffset: z.number().int().nonnegative().optional(),
    changes: z.array(changeSchema).min(1),
});

/** One change of an edit. */
export type Change = z.infer<typeof changeSchema>;
/** An operator's edit, one record of the configuration stream. */
export type Edit = z.infer<typeof editSchema>;
