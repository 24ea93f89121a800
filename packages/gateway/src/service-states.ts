import { createSharedLimit } from "@trefoilladder/limits";
import type { LimitGroup } from "@trefoilladder/limits";
import { createRetryBudget, retryBucketTokens } from "@trefoilladder/placement";
import type { RetryBudget, RetryBudgetBounds } from "@trefoilladder/placement";

/** State of a service on this instance. */
export interface ServiceState {
    retryBudget: RetryBudget;
    /** Records a request and whether it was refused for lack of capacity. */
    recordRequest(refused: boolean): void;
    /** Share of recent requests that were refused, from 0 to 1. */
    refusedShare(): number;
}

/** Share of the bucket of retries at the start, when no request has credited any; the reserve beside the bucket covers it. */
const initialBucketShare = 0.5;
/** Weight of the newest request in the moving average of refusals. */
const newestRequestWeight = 0.15;

/** Creates the states of services; `buckets` holds the token buckets of their retry budgets. */
export function createServiceStates(
    bounds: RetryBudgetBounds,
    buckets: LimitGroup,
    now: () => number,
): (service: string) => ServiceState {
    const states = new Map<string, ServiceState>();

    function create(service: string): ServiceState {
        const burst = retryBucketTokens(bounds);
        const bucket = createSharedLimit({
            ratePerSecond: 0,
            burst,
            initialLevel: burst * initialBucketShare,
            now: now(),
            contactShare: 1,
            lastContactAt: buckets.lastContactAt,
        });
        buckets.add(service, bucket);
        let refusedShare = 0;
        return {
            retryBudget: createRetryBudget(bounds, bucket, now),
            recordRequest(refused) {
                refusedShare += newestRequestWeight * ((refused ? 1 : 0) - refusedShare);
            },
            refusedShare: () => refusedShare,
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
