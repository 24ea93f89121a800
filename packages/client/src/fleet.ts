import { createInstanceListClient, instanceRole, instanceState } from "@trefoilladder/platform";
import type { ListedInstance } from "@trefoilladder/platform";
import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";
import { Agent } from "undici";
import { ClientFailure } from "./exit-code";
import { statusSchema } from "./status-document";
import type { StatusDocument } from "./status-document";

/** Status of one instance, or the reason why it is missing. */
export interface InstanceStatus {
    instance: ListedInstance;
    status?: StatusDocument;
    problem?: string;
}

/** The entry instances on the platform's list. */
export interface Fleet {
    /** Fetches the status of every live entry instance; fails with `fleetUnavailable` when the list cannot be read. */
    fetchStatuses(options?: { histograms?: boolean; }): Promise<Result<InstanceStatus[], ClientFailure>>;
    close(): Promise<void>;
}

const statusTimeoutMs = 2_000;
const maxConcurrentCalls = 64;

async function fetchStatus(dispatcher: Agent, instance: ListedInstance, path: string): Promise<InstanceStatus> {
    if (instance.innerPort === undefined) {
        return { instance, problem: "the list gives no inner port" };
    }
    const host = instance.address.includes(":") ? `[${instance.address}]` : instance.address;
    try {
        const response = await dispatcher.request({
            origin: `http://${host}:${instance.innerPort}`,
            path,
            method: "GET",
            signal: AbortSignal.timeout(statusTimeoutMs),
        });
        const text = await response.body.text();
        if (response.statusCode !== 200) {
            return { instance, problem: `status ${response.statusCode}` };
        }
        const parsed = statusSchema.safeParse(JSON.parse(text));
        return parsed.success
            ? { instance, status: parsed.data }
            : { instance, problem: `malformed status: ${parsed.error.issues[0]!.path.join(".")}` };
    }
    catch (error) {
        const timedOut = error instanceof Error && error.name === "TimeoutError";
        return { instance, problem: timedOut ? `no answer within ${statusTimeoutMs} ms` : "no answer" };
    }
}

/** Creates a client of the entry instances on an instance list. */
export function createFleet(instanceListUrl: string): Fleet {
    const list = createInstanceListClient(instanceListUrl);
    const dispatcher = new Agent({ connections: 1, connect: { timeout: statusTimeoutMs } });
    return {
        async fetchStatuses(options = {}) {
            const listed = await list.fetch();
            if (listed.isErr()) {
                return err(
                    new ClientFailure("fleetUnavailable", "the instance list cannot be read", { cause: listed.error }),
                );
            }
            const live = listed.value
                .filter(({ role, state }) => role === instanceRole.entry && state === instanceState.live)
                .sort((a, b) => a.id < b.id ? -1 : 1);
            const path = options.histograms === true ? "/status?histograms=true" : "/status";
            const statuses: InstanceStatus[] = [];
            for (let index = 0; index < live.length; index += maxConcurrentCalls) {
                const batch = live.slice(index, index + maxConcurrentCalls);
                statuses.push(...await Promise.all(batch.map(instance => fetchStatus(dispatcher, instance, path))));
            }
            return ok(statuses);
        },
        async close() {
            await Promise.all([list.close(), dispatcher.destroy()]);
        },
    };
}
