import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";
import { Agent } from "undici";
import { z } from "zod";
import { callJson } from "./http-json";
import { PlatformFailure } from "./platform-failure";

/** Roles of listed instances. */
export const instanceRole = { entry: "entry", target: "target" } as const;

/** States of listed instances. */
export const instanceState = { live: "live", leaving: "leaving" } as const;

const listedInstanceSchema = z.object({
    id: z.string().min(1),
    role: z.enum(instanceRole),
    service: z.string().optional(),
    address: z.string().min(1),
    port: z.number().int().positive(),
    innerPort: z.number().int().positive().optional(),
    domain: z.string().min(1),
    state: z.enum(instanceState),
});

/** One row of the platform's instance list. */
export type ListedInstance = z.infer<typeof listedInstanceSchema>;

/** Client of the platform's instance list, which lags behind the actual state of the instances. */
export interface InstanceListClient {
    /** Returns the list; fails with `platform_unreachable`, `platform_refused` or `platform_bad_answer`. */
    fetch(signal?: AbortSignal): Promise<Result<ListedInstance[], PlatformFailure>>;
    close(): Promise<void>;
}

const listSchema = z.object({ instances: z.array(listedInstanceSchema) });
const listTimeoutMs = 1_000;

/** Creates a client of the instance list at `origin`. */
export function createInstanceListClient(origin: string): InstanceListClient {
    const dispatcher = new Agent({ connections: 1, connect: { timeout: 1_000 } });
    return {
        async fetch(signal) {
            const response = await callJson({
                dispatcher,
                origin,
                path: "/instances",
                method: "GET",
                timeoutMs: listTimeoutMs,
                signal,
            });
            return response.andThen(({ status, body }) => {
                if (status !== 200) {
                    return err(
                        new PlatformFailure("platform_refused", "the instance list rejected a read", {
                            info: { status },
                        }),
                    );
                }
                const parsed = listSchema.safeParse(body);
                return parsed.success
                    ? ok(parsed.data.instances)
                    : err(
                        new PlatformFailure("platform_bad_answer", "the instance list returned a malformed response"),
                    );
            });
        },
        close: () => dispatcher.destroy(),
    };
}
