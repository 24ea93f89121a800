import { z } from "zod";

/** Schema of the document that an entry instance serves at `/status` on its inner listener. */
export const statusSchema = z.looseObject({
    instanceId: z.string(),
    incarnation: z.string().optional(),
    /** Offset of the next configuration record that the instance will apply. */
    appliedOffset: z.number().int().nonnegative(),
    /** Whether the configuration is fresh enough to admit requests. */
    fresh: z.boolean().optional(),
    lease: z.looseObject({
        held: z.boolean(),
        /** Time until the contact lease expires without further contact, in milliseconds. */
        remainingMs: z.number(),
    }).optional(),
    ejections: z.array(z.looseObject({
        service: z.string(),
        target: z.string(),
        /** Failure domains that avoid the target; empty when the whole fleet avoids it. */
        domains: z.array(z.string()).default([]),
        evidence: z.string(),
        /** Time until the target may be tried again, in milliseconds. */
        remainingMs: z.number().optional(),
    })).default([]),
    /** Token buckets and delegations that the instance holds. */
    quota: z.array(z.looseObject({
        organisation: z.string(),
        /** Whether the instance owns the bucket or holds a delegation of it. */
        role: z.enum(["owner", "delegation"]),
        ratePerSecond: z.number(),
        burst: z.number(),
        level: z.number(),
    })).default([]),
    /** Histograms of request durations in microseconds by organisation and class, compressed and in base64. */
    histograms: z.record(z.string(), z.string()).optional(),
});

/** State that an entry instance reports. */
export type StatusDocument = z.infer<typeof statusSchema>;
