import { createSharedLimit } from "@trefoilladder/limits";
import type { LimitGroup } from "@trefoilladder/limits";
import { bucketSize, createAttemptAllowance } from "@trefoilladder/placement";
import type { AllowanceBounds, AttemptAllowance } from "@trefoilladder/placement";

/** What this instance keeps for each service. */
export interface ServiceState {
    allowance: AttemptAllowance;
    /** Notes whether a request was refused for want of room. */
    note(refused: boolean): void;
    /** Share of late requests that were refused, from 0 to 1. */
    refusedShare(): number;
}

/** Weight of the newest request in the share of refusals. */
const newestWeight = 0.15;

/** Creates the states of services; the buckets of their allowances are kept in a group. */
export function createServiceBook(
    bounds: AllowanceBounds,
    buckets: LimitGroup,
    now: () => number,
): (service: string) => ServiceState {
    const states = new Map<string, ServiceState>();

    function create(service: string): ServiceState {
        const bucket = createSharedLimit({
            ratePerSecond: 0,
            burst: bucketSize(bounds),
            now: now(),
            contactShare: 1,
            heardAt: buckets.heardAt,
        });
        buckets.add(service, bucket);
        let refused = 0;
        return {
            allowance: createAttemptAllowance(bounds, bucket, now),
            note(isRefused) {
                refused += newestWeight * ((isRefused ? 1 : 0) - refused);
            },
            refusedShare: () => refused,
        };
    }

    return service => {
        let state = states.get(service);
        if (state === undefined) {
            state = create(service);
            states.set(service, state);
        }
        return state;
    };
}
