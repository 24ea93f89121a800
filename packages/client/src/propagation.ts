import type { Clock } from "@trefoilladder/clock";
import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";
import { ClientFailure } from "./exit-code";
import type { Fleet, InstanceStatus } from "./fleet";

/** Progress of an edit across the live instances. */
export interface Propagation {
    /** Ids of the live instances that have applied the edit. */
    applied: string[];
    lagging: { id: string; reason: string; }[];
    /** Whether a majority of the live instances has applied the edit. */
    accepted: boolean;
}

const pollIntervalMs = 200;

function hasApplied({ status }: InstanceStatus, offset: number): boolean {
    return status !== undefined && status.appliedOffset > offset;
}

function summarise(statuses: readonly InstanceStatus[], offset: number): Propagation {
    const applied = statuses.filter(status => hasApplied(status, offset));
    const lagging = statuses.filter(status => !hasApplied(status, offset)).map(({ instance, status, problem }) => ({
        id: instance.id,
        reason: problem ?? `applied offset ${status!.appliedOffset}, needs ${offset + 1}`,
    }));
    return {
        applied: applied.map(({ instance }) => instance.id),
        lagging,
        accepted: applied.length * 2 > statuses.length,
    };
}

/**
 * Waits until every live entry instance has applied the record at an offset, at most `timeoutMs` milliseconds. Fails with
 * `fleetUnavailable` when the instance list cannot be read at the end of the wait.
 */
export async function waitForPropagation(
    parts: { fleet: Fleet; clock: Clock; onProgress: (propagation: Propagation) => void; },
    offset: number,
    timeoutMs: number,
): Promise<Result<Propagation, ClientFailure>> {
    const { fleet, clock, onProgress } = parts;
    const deadlineAt = clock.now() + timeoutMs;
    for (;;) {
        const propagation = (await fleet.fetchStatuses()).map(statuses => summarise(statuses, offset));
        propagation.map(onProgress);
        const complete = propagation.isOk() && propagation.value.accepted && propagation.value.lagging.length === 0;
        if (complete || clock.now() >= deadlineAt) {
            return propagation;
        }
        await clock.sleep(pollIntervalMs);
    }
}

/** Returns a failure that names the lagging instances when the propagation is incomplete. */
export function checkPropagation(propagation: Propagation): Result<Propagation, ClientFailure> {
    const { applied, lagging, accepted } = propagation;
    const total = applied.length + lagging.length;
    const names = lagging.map(({ id, reason }) => `${id} (${reason})`).join(", ");
    if (total === 0) {
        return err(new ClientFailure("fleetUnavailable", "the instance list has no live entry instance"));
    }
    if (!accepted) {
        return err(
            new ClientFailure("notAccepted", `applied by ${applied.length} of ${total} instances; lagging: ${names}`),
        );
    }
    return lagging.length === 0
        ? ok(propagation)
        : err(
            new ClientFailure(
                "lagging",
                `accepted by ${applied.length} of ${total} instances, not in force everywhere; lagging: ${names}`,
            ),
        );
}
