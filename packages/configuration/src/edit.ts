import { z } from "zod";

const nameSchema = z.string().regex(/^[a-z0-9][a-z0-9_.-]{0,62}$/);

/** Schema of a route of a plan. */
export const routeSchema = z.strictObject({
    name: nameSchema,
    service: nameSchema,
    /** Path prefix, matched on whole segments. */
    pathPrefix: z.string().regex(/^\/[A-Za-z0-9._~/-]*$/),
    methods: z.array(z.enum(["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"])).min(1),
    /** Overrides the default, by which GET and HEAD are idempotent and other methods are not. */
    idempotent: z.boolean().optional(),
});

/** Schema of a plan: routes, rate limit and burst. */
export const planSchema = z.strictObject({
    name: nameSchema,
    /** The routes of an open plan need no key; all anonymous callers share its rate and burst. */
    open: z.boolean().optional(),
    routes: z.array(routeSchema),
    ratePerSecond: z.number().positive(),
    burst: z.number().min(1),
});

/** Schema of an organisation and the name of its plan. */
export const organisationSchema = z.strictObject({ name: nameSchema, plan: nameSchema });

/** Schema of a stored key: it holds the hash of the secret, never the secret. */
export const keySchema = z.strictObject({
    id: z.string().regex(/^[A-Za-z0-9]{8,32}$/),
    organisation: nameSchema,
    secretHash: z.string().regex(/^[0-9a-f]{64}$/),
});

/** Route that the organisations of a plan may use. */
export type Route = z.infer<typeof routeSchema>;
/** Routes and rate limit of the organisations that have the plan. */
export type Plan = z.infer<typeof planSchema>;
/** An organisation and its plan. */
export type Organisation = z.infer<typeof organisationSchema>;
/** Stored key of an organisation. */
export type Key = z.infer<typeof keySchema>;

/** Kinds of changes in an edit. */
export const changeKind = {
    putPlan: "put-plan",
    deletePlan: "delete-plan",
    putOrganisation: "put-organisation",
    deleteOrganisation: "delete-organisation",
    createKey: "create-key",
    revokeKey: "revoke-key",
} as const;

/** Revision of the entity that the change replaces; 0 when the entity does not exist yet. */
const revisionSchema = z.number().int().nonnegative();

const changeSchema = z.discriminatedUnion("kind", [
    z.strictObject({ kind: z.literal(changeKind.putPlan), revision: revisionSchema, plan: planSchema }),
    z.strictObject({ kind: z.literal(changeKind.deletePlan), revision: revisionSchema, name: nameSchema }),
    z.strictObject({
        kind: z.literal(changeKind.putOrganisation),
        revision: revisionSchema,
        organisation: organisationSchema,
    }),
    z.strictObject({ kind: z.literal(changeKind.deleteOrganisation), revision: revisionSchema, name: nameSchema }),
    z.strictObject({ kind: z.literal(changeKind.createKey), key: keySchema }),
    z.strictObject({ kind: z.literal(changeKind.revokeKey), id: z.string() }),
]);

/** Schema of an edit: changes that are applied atomically. */
export const editSchema = z.strictObject({
    id: z.string().min(8).max(64),
    author: z.string().max(200).optional(),
    /** Offset up to which the author had read the stream. An edit appended 10,000 or more records later is invalid. */
    baseOffset: z.number().int().nonnegative().optional(),
    changes: z.array(changeSchema).min(1),
});

/** One change of an edit. */
export type Change = z.infer<typeof changeSchema>;
/** Edit by an operator, stored as one record of the configuration stream. */
export type Edit = z.infer<typeof editSchema>;
